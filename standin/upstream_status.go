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
	// InUse is how many slots run a request.
	InUse int `json:"inuse"`
	// Queue is how many requests wait.
	Queue int `json:"queue"`
	// Connections is how many TCP connections are held.
	Connections int `json:"connections"`
}

// UpstreamOverride replaces what the endpoints would report. The zero value is the truth.
type UpstreamOverride struct {
	// Load is reported in place of the true load when it is not nil.
	Load *UpstreamLoad
	// Health is "up" or "down" in place of the true health. Empty is the truth.
	Health string
}

// upstreamReport is what the endpoints say. It is safe for concurrent use.
type upstreamReport struct {
	mu         sync.Mutex // guards all fields
	override   UpstreamOverride
	laggedLoad UpstreamLoad // the load as it was at the last sample
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

// SetOverride replaces what the endpoints report from now on.
func (u *Upstream) SetOverride(override UpstreamOverride) {
	u.report.mu.Lock()
	defer u.report.mu.Unlock()
	u.report.override = override
}

// SetLeaving makes the health endpoint say that the upstream is leaving. It goes on serving.
func (u *Upstream) SetLeaving() {
	u.report.mu.Lock()
	defer u.report.mu.Unlock()
	u.report.leaving = true
}

// Load returns the true load.
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

// ReportedLoad returns what the load endpoint says.
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

// sampleLoad keeps the lagging load until ctx is done.
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

// serveHealth answers 200 "up" or 503 "down" or "leaving".
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
