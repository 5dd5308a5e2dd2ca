package load

import (
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
)

// BoardConfig holds the settings of a Board. The zero value selects the defaults.
type BoardConfig struct {
	// Service is the service whose reports count; all others are dropped.
	Service bundle.ServiceID
	// Upstream is the one beside which the sidecar runs.
	Upstream bundle.UpstreamID
	// MaxAge is how old a report may be. Zero selects 5 s.
	MaxAge time.Duration
	// Period is the time between two reports to the other sidecars. Zero selects 1 s.
	Period time.Duration
}

const (
	defaultReportAge    = 5 * time.Second
	defaultReportPeriod = time.Second
)

// A Board keeps the latest report of each other sidecar of one service. It is
// safe for concurrent use.
type Board struct {
	cfg BoardConfig // fixed after NewBoard

	mu       sync.RWMutex
	peers    map[bundle.UpstreamID]peer
	total    total   // sum over the views in peers, without the sidecar's own
	warmest  float64 // the highest Ramp in peers, 0 without peers
	sequence uint64
	next     time.Time // when the next own report is due
	bytes    uint64    // of all reports sent and received
}

// peer is the latest report of one other sidecar.
type peer struct {
	sequence uint64
	view     View
	heard    time.Time
}

// NewBoard returns a Board without reports.
func NewBoard(cfg BoardConfig) *Board {
	if cfg.MaxAge == 0 {
		cfg.MaxAge = defaultReportAge
	}
	if cfg.Period == 0 {
		cfg.Period = defaultReportPeriod
	}
	return &Board{cfg: cfg, peers: make(map[bundle.UpstreamID]peer)}
}

// Hear keeps a report of size bytes. It returns false for a report of another
// service, of the sidecar itself, or older than the one that it holds.
func (b *Board) Hear(r Report, size int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytes += uint64(size)
	if r.Service != b.cfg.Service || r.Upstream == b.cfg.Upstream {
		return false
	}
	if p, ok := b.peers[r.Upstream]; ok && p.sequence >= r.Sequence {
		return false
	}
	b.drop(r.Upstream)
	b.peers[r.Upstream] = peer{sequence: r.Sequence, view: r.View(), heard: now}
	b.total = b.total.with(r.View())
	b.warmest = max(b.warmest, r.View().Ramp)
	return true
}

// Due returns the sidecar's next report when it is time to send it.
func (b *Board) Due(own View, now time.Time) (Report, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(b.next) {
		return Report{}, false
	}
	b.next = now.Add(b.cfg.Period)
	// The clock keeps the sequence growing when the sidecar restarts.
	b.sequence = max(b.sequence+1, uint64(now.UnixMilli()))
	return NewReport(b.cfg.Service, b.cfg.Upstream, b.sequence, own), true
}

// Sent counts the bytes of a report that left for one other sidecar.
func (b *Board) Sent(size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytes += uint64(size)
}

// Bytes returns the size of all reports sent and received.
func (b *Board) Bytes() uint64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.bytes
}

// Expire drops the reports that are too old at now.
func (b *Board) Expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, p := range b.peers {
		if now.Sub(p.heard) > b.cfg.MaxAge {
			b.drop(id)
		}
	}
}

// Forget drops an upstream that left the bundle.
func (b *Board) Forget(u bundle.UpstreamID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drop(u)
}

// drop takes an upstream out of peers and total. The caller holds mu.
func (b *Board) drop(u bundle.UpstreamID) {
	p, ok := b.peers[u]
	if !ok {
		return
	}
	delete(b.peers, u)
	b.total = b.total.minus(p.view)
	b.warmest = 0
	for _, other := range b.peers {
		b.warmest = max(b.warmest, other.view.Ramp)
	}
}

// startShare returns the part of its openings that an upstream takes during
// its cold start. It is relative to the warmest of the others: when all are
// equally cold, or none is known, nobody else is there to take the rest. The
// caller holds mu.
func (b *Board) startShare(own View) float64 {
	if b.warmest == 0 {
		return 1
	}
	return min(own.Ramp/b.warmest, 1)
}

// find returns the view of another upstream and whether it is known. The
// caller holds mu.
func (b *Board) find(u bundle.UpstreamID) (View, bool) {
	p, ok := b.peers[u]
	return p.view, ok
}

// mayStandAside reports whether the rest can carry the load without the
// upstreams that are failing, this one included, when those with the lower
// identities go first. The caller holds mu.
func (b *Board) mayStandAside(own View) bool {
	t := b.total.with(own)
	rest := t.without(own)
	for id, p := range b.peers {
		if p.view.Failing && id < b.cfg.Upstream {
			rest = rest.without(p.view)
		}
	}
	return rest.carries(t)
}
