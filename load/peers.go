package load

import (
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
)

// PeersConfig holds the settings of a Peers. The zero value selects the defaults.
type PeersConfig struct {
	// Service is the service whose reports count; all others are dropped.
	Service bundle.ServiceID
	// Upstream is the one beside which the sidecar runs.
	Upstream bundle.UpstreamID
	// MaxAge is how old a report may be. Zero selects 5 s.
	MaxAge time.Duration
	// ReportInterval is the time between two reports to the other sidecars. Zero selects 1 s.
	ReportInterval time.Duration
}

const (
	defaultMaxReportAge   = 5 * time.Second
	defaultReportInterval = time.Second
)

// A Peers keeps the latest report of each other sidecar of one service. It is
// safe for concurrent use.
type Peers struct {
	cfg PeersConfig // fixed after NewPeers

	mu           sync.RWMutex
	byID         map[bundle.UpstreamID]peer
	total        total   // sum over the views in byID, without the sidecar's own
	highestRamp  float64 // the highest Ramp of those in byID that take new flows, 0 without
	sequence     uint64
	nextReportAt time.Time // when the next own report is due
	bytes        uint64    // of all reports sent and received
}

// peer is the latest report of one other sidecar.
type peer struct {
	sequence   uint64
	view       View
	receivedAt time.Time
}

// NewPeers returns a Peers without reports.
func NewPeers(cfg PeersConfig) *Peers {
	if cfg.MaxAge == 0 {
		cfg.MaxAge = defaultMaxReportAge
	}
	if cfg.ReportInterval == 0 {
		cfg.ReportInterval = defaultReportInterval
	}
	return &Peers{cfg: cfg, byID: make(map[bundle.UpstreamID]peer)}
}

// AddReport keeps a report of size bytes. It returns false for a report of another
// service, of the sidecar itself, or older than the one that it holds.
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

// NextReport returns the sidecar's next report when it is time to send it.
func (ps *Peers) NextReport(own View, now time.Time) (Report, bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if now.Before(ps.nextReportAt) {
		return Report{}, false
	}
	ps.nextReportAt = now.Add(ps.cfg.ReportInterval)
	// The clock keeps the sequence growing when the sidecar restarts.
	ps.sequence = max(ps.sequence+1, uint64(now.UnixMilli()))
	return NewReport(ps.cfg.Service, ps.cfg.Upstream, ps.sequence, own), true
}

// RecordSent counts the bytes of a report that left for one other sidecar.
func (ps *Peers) RecordSent(size int) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.bytes += uint64(size)
}

// Bytes returns the size of all reports sent and received.
func (ps *Peers) Bytes() uint64 {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	return ps.bytes
}

// Expire drops the reports that are too old at now.
func (ps *Peers) Expire(now time.Time) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for id, p := range ps.byID {
		if now.Sub(p.receivedAt) > ps.cfg.MaxAge {
			ps.drop(id)
		}
	}
}

// Remove drops an upstream that left the bundle.
func (ps *Peers) Remove(u bundle.UpstreamID) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.drop(u)
}

// drop takes an upstream out of byID and total. The caller holds mu.
func (ps *Peers) drop(u bundle.UpstreamID) {
	p, ok := ps.byID[u]
	if !ok {
		return
	}
	delete(ps.byID, u)
	ps.total = ps.total.minus(p.view)
	ps.updateHighestRamp()
}

// updateHighestRamp finds the warmest of the others. The caller holds mu.
func (ps *Peers) updateHighestRamp() {
	ps.highestRamp = 0
	for _, p := range ps.byID {
		if !p.view.unavailable() {
			ps.highestRamp = max(ps.highestRamp, p.view.Ramp)
		}
	}
}

// coldStartShare returns the part of its openings that an upstream takes during
// its cold start. It is relative to the warmest of the others: when all are
// equally cold, or none is known, nobody else is there to take the rest. The
// caller holds mu.
func (ps *Peers) coldStartShare(own View) float64 {
	if ps.highestRamp == 0 {
		return 1
	}
	return min(own.Ramp/ps.highestRamp, 1)
}

// inShare reports whether an opening belongs to the share of this upstream.
// Upstreams choose independently of each other. The caller holds mu.
func (ps *Peers) inShare(share float64, hash uint64) bool {
	return inShare(share, hash^mixHash(uint64(ps.cfg.Upstream)))
}

// lookup returns the view of another upstream and whether it is known. The
// caller holds mu.
func (ps *Peers) lookup(u bundle.UpstreamID) (View, bool) {
	p, ok := ps.byID[u]
	return p.view, ok
}

// restHasCapacity reports whether the rest can carry the load without the
// upstreams that are failing, this one included, when those with the lower
// identities go first. The caller holds mu.
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
