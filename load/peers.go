package load

import (
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
)

// PeersConfig holds the settings of a Peers. The zero value selects the defaults.
type PeersConfig struct {
	// Service is the service of the sidecar. Reports of other services are
	// ignored.
	Service bundle.ServiceID
	// Upstream is the sidecar's own upstream.
	Upstream bundle.UpstreamID
	// MaxAge is the age at which a report expires. Zero selects 5 s.
	MaxAge time.Duration
	// ReportInterval is the time between reports to the other sidecars. Zero
	// selects 1 s.
	ReportInterval time.Duration
}

const (
	defaultMaxReportAge   = 5 * time.Second
	defaultReportInterval = time.Second
)

// A Peers stores the latest report of each other sidecar of one service. It is
// safe for concurrent use.
type Peers struct {
	cfg PeersConfig // immutable after NewPeers

	mu           sync.RWMutex
	byID         map[bundle.UpstreamID]peer
	total        total     // sum of the views in byID, without the sidecar's own
	highestRamp  float64   // the highest Ramp of the available upstreams in byID, 0 if none
	sequence     uint64    // of the last report of this sidecar, 0 before the first
	nextReportAt time.Time // when the next report of this sidecar is due
	bytes        uint64    // total size of the reports sent and received
}

// peer is the latest report of one other sidecar.
type peer struct {
	sequence   uint64
	view       View
	receivedAt time.Time
}

// NewPeers returns an empty Peers.
func NewPeers(cfg PeersConfig) *Peers {
	if cfg.MaxAge == 0 {
		cfg.MaxAge = defaultMaxReportAge
	}
	if cfg.ReportInterval == 0 {
		cfg.ReportInterval = defaultReportInterval
	}
	return &Peers{cfg: cfg, byID: make(map[bundle.UpstreamID]peer)}
}

// AddReport stores a report of size bytes that was received at now. It returns
// false for a report that it ignores: one of another service, of the sidecar
// itself, or not newer than the stored one.
func (ps *Peers) AddReport(r Report, size int, now time.Time) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.bytes += uint64(size)
	if r.Service != ps.cfg.Service || r.Upstream == ps.cfg.Upstream {
		return false
	}
	if p, ok := ps.byID[r.Upstream]; ok && p.sequence >= r.Sequence {
		return false
	}
	ps.drop(r.Upstream)
	ps.byID[r.Upstream] = peer{sequence: r.Sequence, view: r.View(), receivedAt: now}
	ps.total = ps.total.with(r.View())
	ps.updateHighestRamp()
	return true
}

// NextReport returns the sidecar's next report, and false when none is due at
// now.
func (ps *Peers) NextReport(own View, now time.Time) (Report, bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if now.Before(ps.nextReportAt) {
		return Report{}, false
	}
	ps.nextReportAt = now.Add(ps.cfg.ReportInterval)
	// The clock keeps the sequence increasing over restarts of the sidecar.
	ps.sequence = max(ps.sequence+1, uint64(now.UnixMilli()))
	return NewReport(ps.cfg.Service, ps.cfg.Upstream, ps.sequence, own), true
}

// RecordSent adds the size in bytes of a report sent to one other sidecar.
func (ps *Peers) RecordSent(size int) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.bytes += uint64(size)
}

// Bytes returns the total size in bytes of all reports sent and received.
func (ps *Peers) Bytes() uint64 {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	return ps.bytes
}

// Expire drops the reports that are older than MaxAge at now.
func (ps *Peers) Expire(now time.Time) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for id, p := range ps.byID {
		if now.Sub(p.receivedAt) > ps.cfg.MaxAge {
			ps.drop(id)
		}
	}
}

// Remove drops the report of an upstream that was removed from the bundle.
func (ps *Peers) Remove(u bundle.UpstreamID) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.drop(u)
}

// drop removes an upstream from byID and total. The caller holds mu.
func (ps *Peers) drop(u bundle.UpstreamID) {
	p, ok := ps.byID[u]
	if !ok {
		return
	}
	delete(ps.byID, u)
	ps.total = ps.total.minus(p.view)
	ps.updateHighestRamp()
}

// updateHighestRamp recomputes highestRamp. The caller holds mu.
func (ps *Peers) updateHighestRamp() {
	ps.highestRamp = 0
	for _, p := range ps.byID {
		if !p.view.unavailable() {
			ps.highestRamp = max(ps.highestRamp, p.view.Ramp)
		}
	}
}

// coldStartShare returns the share of openings that the upstream accepts during
// its cold start. The share is relative to the highest ramp among the others:
// when all are equally cold, or no other is available, no warmer upstream could
// accept the rest. The caller holds mu.
func (ps *Peers) coldStartShare(own View) float64 {
	if ps.highestRamp == 0 {
		return 1
	}
	return min(own.Ramp/ps.highestRamp, 1)
}

// inShare reports whether an opening falls into the given share of this
// upstream. The selections of different upstreams are independent.
func (ps *Peers) inShare(share float64, hash uint64) bool {
	return inShare(share, hash^mixHash(uint64(ps.cfg.Upstream)))
}

// lookup returns the view of another upstream, and false when it has no current
// report. The caller holds mu.
func (ps *Peers) lookup(u bundle.UpstreamID) (View, bool) {
	p, ok := ps.byID[u]
	return p.view, ok
}

// restHasCapacity reports whether the other upstreams can carry the load of the
// service without this one and without the failing ones that have lower IDs.
// The precedence by ID keeps all failing upstreams from passing their flows at
// once when the rest has capacity for some only. The caller holds mu.
func (ps *Peers) restHasCapacity(own View) bool {
	t := ps.total.with(own)
	rest := t.withoutCapacity(own)
	for id, p := range ps.byID {
		if p.view.Failing && id < ps.cfg.Upstream {
			rest = rest.withoutCapacity(p.view)
		}
	}
	return rest.canServe(t)
}
