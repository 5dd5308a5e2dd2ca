package steer

import (
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

// coldWindow is the sliding window of the rate of a cold upstream: one second, and the
// time by which a delivery may be delayed on the way to the upstream.
const coldWindow = time.Second + 50*time.Millisecond

// maxRememberedOpenings bounds the memory of an openingWindow, 8 bytes for each opening, when
// operators set a rate that no upstream reaches.
const maxRememberedOpenings = 1 << 16

// ColdLimit is how far openings may exceed the rate that operators set for cold upstreams.
type ColdLimit struct {
	// Overshoot is the factor on the rate. Values below 1 select 1.
	Overshoot float64
	// Slack is the number of openings per second on top.
	Slack int
}

// openings returns the maximum number of openings in any second, from 1 to
// maxRememberedOpenings.
func (c ColdLimit) openings(rate float64) int {
	n := rate*max(1, c.Overshoot) + float64(c.Slack)
	switch {
	case n < 1:
		return 1
	case n < maxRememberedOpenings:
		return int(n)
	}
	return maxRememberedOpenings // also when n is not a number
}

// openingWindow counts the openings delivered to an upstream in a sliding window. It is
// safe for concurrent use.
type openingWindow struct {
	mu sync.Mutex
	// delivered holds the times of the last openings; next is the index of the oldest one.
	// Its length is the limit.
	delivered []time.Duration
	next      int
}

// admit records an opening at now. It returns false, and records nothing, when enforced
// is true and limit openings were delivered within coldWindow.
func (o *openingWindow) admit(now time.Duration, limit int, enforced bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.resize(limit)
	oldest := o.delivered[o.next]
	if enforced && oldest != 0 && now-oldest < coldWindow {
		return false
	}
	o.delivered[o.next] = now
	o.next = (o.next + 1) % limit
	return true
}

// resize changes the number of openings that are remembered, and keeps the newest ones.
func (o *openingWindow) resize(limit int) {
	if len(o.delivered) == limit {
		return
	}
	resized := make([]time.Duration, limit)
	for n := range min(limit, len(o.delivered)) {
		newest := o.next - 1 - n + len(o.delivered)
		resized[limit-1-n] = o.delivered[newest%len(o.delivered)]
	}
	o.delivered, o.next = resized, 0
}

// admitsCold reports whether one more opening may be delivered to the local upstream, and
// records it if so. A cold upstream gets as many in any second as its service's rate and
// ColdLimit permit. An upstream that is missing from the list, of which the sender has a newer
// list, or that has ended since its entry arrived, may be cold.
func (s *Sidecar) admitsCold(now time.Duration, h *Header) bool {
	f := s.fleet.Load()
	if f == nil {
		return true
	}
	rate := f.Snapshot.Service(s.cfg.Service).ColdRate
	if rate == 0 {
		return true
	}
	m, listed := f.Snapshot.Member(s.service, s.cfg.Self)
	mayBeCold := !listed || m.Warmup > 0 || m.Status == registry.Removed || h.State.After(f.Snapshot.State()) || s.liveness.restartedSince(m.LearnedAt, now)
	return s.openings.admit(now, s.cfg.Cold.openings(rate), mayBeCold)
}
