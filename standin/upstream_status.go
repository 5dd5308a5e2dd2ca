package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// UpstreamLoad is what the load endpoint reports.
type UpstreamLoad struct {
	Slots int `json:"slots"`
	// InUse is the number of slots that run a request.
	InUse int `json:"inuse"`
	// Queue is the number of waiting requests.
	Queue int `json:"queue"`
	// Connections is the number of TCP connections.
	Connections int `json:"connections"`
}

// UpstreamOverride replaces the responses of the endpoints with false values. The
// zero value overrides nothing.
type UpstreamOverride struct {
	// Load replaces the actual load if it is not nil.
	Load *UpstreamLoad
	// Health is "up" or "down" and replaces the actual health unless it is empty.
	Health string
}

// upstreamReport holds the state that the endpoints report. It is safe for concurrent use.
type upstreamReport struct {
	mu         sync.Mutex // guards all fields
	override   UpstreamOverride
	laggedLoad UpstreamLoad // the load one sampling interval before the last sample
	leaving    bool
}

const statusTimeout = 5 * time.Second

func (u *Upstream) newServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", u.serveHealth)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, u.ReportedLoad()) })
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, u.Runs()) })
	mux.HandleFunc("POST /leave", func(http.ResponseWriter, *http.Request) { u.SetLeaving() })
	return &http.Server{Handler: mux, ReadHeaderTimeout: statusTimeout}
}

// SetOverride replaces the override of the endpoints' responses.
func (u *Upstream) SetOverride(override UpstreamOverride) {
	u.report.mu.Lock()
	defer u.report.mu.Unlock()
	u.report.override = override
}

// SetLeaving makes the health endpoint report that the upstream is leaving. Requests are still served.
func (u *Upstream) SetLeaving() {
	u.report.mu.Lock()
	defer u.report.mu.Unlock()
	u.report.leaving = true
}

// Load returns the actual load.
func (u *Upstream) Load() UpstreamLoad {
	u.mu.Lock()
	connections := len(u.conns)
	u.mu.Unlock()
	return UpstreamLoad{
		Slots:       u.cfg.Slots,
		InUse:       int(u.inUse.Load()),
		Queue:       len(u.jobs),
		Connections: connections,
	}
}

// ReportedLoad returns the load that the load endpoint reports.
func (u *Upstream) ReportedLoad() UpstreamLoad {
	u.report.mu.Lock()
	override, lagged := u.report.override.Load, u.report.laggedLoad
	u.report.mu.Unlock()
	if override != nil {
		return *override
	}
	if u.cfg.LoadLag > 0 {
		return lagged
	}
	return u.Load()
}

// sampleLoad updates the lagged load every LoadLag until ctx is done.
func (u *Upstream) sampleLoad(ctx context.Context) {
	if u.cfg.LoadLag == 0 {
		return
	}
	sub := u.cfg.Timers.Every(u.cfg.LoadLag)
	defer sub.Stop()
	previous := u.Load()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sub.C:
		}
		u.report.mu.Lock()
		u.report.laggedLoad = previous
		u.report.mu.Unlock()
		previous = u.Load()
	}
}

// serveHealth responds with 200 "up", or with 503 "down" or "leaving".
func (u *Upstream) serveHealth(w http.ResponseWriter, _ *http.Request) {
	u.report.mu.Lock()
	health, leaving := u.report.override.Health, u.report.leaving
	u.report.mu.Unlock()
	if health == "" {
		health = "up"
		if leaving {
			health = "leaving"
		}
	}
	if health != "up" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write([]byte(health + "\n"))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
