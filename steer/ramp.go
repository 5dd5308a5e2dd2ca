package steer

import (
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/pace"
	"github.com/corianderbay/corianderbay/registry"
)

// startTolerance is how long before the sidecar an upstream may have started that counts
// as started together with it.
const startTolerance = 2 * time.Second

// condition is what decides on ramps of the local upstream. Its end starts one.
type condition struct {
	silent, failing, evacuated, slow bool
	// startedAt is the Unix time in milliseconds at which the upstream started; 0 before
	// the first list that has it.
	startedAt int64
}

// PaceStatus is the state of the estimate and of the ramp of the local upstream.
type PaceStatus struct {
	pace.Estimate
	// Median is the median work of the service's upstreams in the last fleet; 0 when it is
	// not known.
	Median time.Duration
	// Window is the maximum number of concurrent requests; 0 when they are not limited.
	Window int
	// Cause is why the ramp started.
	Cause pace.Cause
}

// Pace returns the state of the service time estimate and of the ramp. It has to be
// called regularly, since it starts and ends ramps.
func (s *Sidecar) Pace(now time.Duration) PaceStatus {
	silent, failing := s.Silent(now), s.failures.failing(now)
	c := &s.pacing
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastEvent = now
	e := c.meter.Estimate(now)
	c.expected = e.Usual
	if c.median > 0 {
		c.expected = c.median
	}
	if s.cfg.Ramp {
		s.updateRamp(now, silent, failing, e.Slow)
	}
	return PaceStatus{Estimate: e, Median: c.median, Window: c.ramp.Window(), Cause: c.ramp.Cause()}
}

// updateRamp starts a ramp when the upstream has started or a condition has ended. The
// caller holds the lock.
func (s *Sidecar) updateRamp(now time.Duration, silent, failing, slow bool) {
	c := &s.pacing
	next := condition{silent: silent, failing: failing, slow: slow, startedAt: c.last.startedAt, evacuated: c.last.evacuated}
	started := false
	if f := s.fleet.Load(); f != nil {
		next.evacuated = f.Snapshot.Evacuated(s.cfg.DataCentre)
		if m, listed := f.Snapshot.Member(s.service, s.cfg.Self); listed && m.Status != registry.Removed {
			started = s.hasStarted(&m)
			next.startedAt = max(1, m.StartedAt)
		}
	}
	cause := c.last.ended(&next)
	if started {
		cause = pace.Started
		c.meter.Restart()
	}
	c.last = next
	c.ramp.Expire(now)
	if cause != pace.NoCause {
		c.ramp.Start(now, cause)
	}
}

// ended returns the cause of a ramp when a condition has ended.
func (c *condition) ended(next *condition) pace.Cause {
	switch {
	case c.silent && !next.silent:
		return pace.Reacted
	case c.failing && !next.failing:
		return pace.Repaired
	case c.evacuated && !next.evacuated:
		return pace.Readmitted
	case c.slow && !next.slow:
		return pace.Recovered
	}
	return pace.NoCause
}

// hasStarted reports whether the upstream has started since the last list. For the first
// list it must be warming up or have started with the sidecar or later, and hold no flows:
// a sidecar that is replaced beside a running upstream does not limit it.
func (s *Sidecar) hasStarted(m *registry.Member) bool {
	last := s.pacing.last.startedAt
	if last != 0 {
		return max(1, m.StartedAt) != last
	}
	if s.Flows() > 0 {
		return false
	}
	if s.cfg.StartedAt == 0 || m.StartedAt == 0 {
		return m.Warmup > 0
	}
	return m.StartedAt >= s.cfg.StartedAt-startTolerance.Milliseconds()
}

// limitWindow passes a new flow on when the window of the local upstream is full and
// another upstream accepts it: one with a free slot, or any while all slots here are in
// use. It returns nil when the flow stays. Only the first sidecar that receives the
// opening passes it on for this reason, so that it is never refused for it.
func (s *Sidecar) limitWindow(now time.Duration, h *Header, p *Packet) Action {
	f := s.fleet.Load()
	if !s.cfg.Ramp || f == nil || len(h.Visited) > 0 || !s.pacing.full(now, s.Active()) {
		return nil
	}
	c := s.openingChooser(now, f, h, p)
	pool := f.Snapshot.Pool(s.service)
	if pool == nil {
		return nil
	}
	other := c.choose(pool, func(host registry.Host) bool { return host == s.cfg.Self })
	if other == nil {
		return nil
	}
	self, _ := f.Snapshot.Member(s.service, s.cfg.Self)
	if s.Active() < self.Slots && !hasRoom(f, &c, other) {
		return nil
	}
	return &Forward{Host: other.Address.Host, Header: h.WithVisited(s.cfg.Self), Reason: ReasonWindow}
}

// hasRoom reports whether an upstream has a free slot within its window.
func hasRoom(f *Fleet, c *chooser, m *registry.Member) bool {
	load := f.Sidecars[m.Address.Host].Load
	return c.queueLength(m) < 0 && (load.Window == 0 || load.Active < load.Window)
}

// full reports whether the upstream has a window of requests.
func (c *pacing) full(now time.Duration, active int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ramp.Full(now, active)
}

// opened records an opening that is delivered.
func (c *pacing) opened(now time.Duration) {
	c.mu.Lock()
	c.ramp.Opened(now)
	c.mu.Unlock()
}

// medianOfOthers returns the median work of the upstreams of a service other than self, 0
// when none is known.
func medianOfOthers(f *Fleet, service registry.ServiceHash, self registry.Host) time.Duration {
	p := f.Snapshot.Pool(service)
	if p == nil {
		return 0
	}
	var list []int
	for i := range p.Members {
		host := p.Members[i].Address.Host
		if w := f.Sidecars[host].Load.Work; w > 0 && host != self {
			list = append(list, w)
		}
	}
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return time.Duration(list[len(list)/2]) * workUnit
}
