package steer

import (
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/pace"
	"github.com/corianderbay/corianderbay/registry"
)

// workUnit is the unit of membership.Load.Work.
const workUnit = 100 * time.Microsecond

// pacing estimates the service time of the local upstream. It is safe for concurrent use.
type pacing struct {
	mu    sync.Mutex
	meter *pace.Meter
	// lastEvent is the time of the last event, used for flows that are removed.
	lastEvent time.Duration
}

// begin records the packet of a new request that is delivered.
func (c *pacing) begin(now time.Duration, l *localFlow, address registry.Endpoint) {
	h := address.Host
	route := uint64(h[0])<<40 | uint64(h[1])<<32 | uint64(h[2])<<24 | uint64(h[3])<<16 | uint64(address.Port)
	c.mu.Lock()
	c.lastEvent = now
	l.request = c.meter.Begin(now, route)
	c.mu.Unlock()
}

// extend records a further packet of the pending request that is delivered.
func (c *pacing) extend(now time.Duration, l *localFlow) {
	c.mu.Lock()
	c.lastEvent = now
	c.meter.Extend(now, l.request)
	c.mu.Unlock()
}

// answer records the first data of the answer to the pending request.
func (c *pacing) answer(now time.Duration, l *localFlow) {
	c.mu.Lock()
	c.lastEvent = now
	c.meter.Answer(now, l.request)
	c.mu.Unlock()
	l.request = 0
}

// fail records that the upstream reset the flow of the pending request.
func (c *pacing) fail(now time.Duration, l *localFlow) {
	c.mu.Lock()
	c.lastEvent = now
	c.meter.Fail(now, l.request)
	c.mu.Unlock()
	l.request = 0
}

// giveUp records that the flow of the pending request, if there is one, has ended or is
// removed.
func (c *pacing) giveUp(l *localFlow) {
	if l.request == 0 {
		return
	}
	c.mu.Lock()
	c.meter.GiveUp(c.lastEvent, l.request)
	c.mu.Unlock()
	l.request = 0
}

// setSlots sets the number of slots of the local upstream if the list has it.
func (c *pacing) setSlots(f *Fleet, service registry.ServiceHash, self registry.Host) {
	m, listed := f.Snapshot.Member(service, self)
	if !listed {
		return
	}
	c.mu.Lock()
	c.meter.SetSlots(m.Slots)
	c.mu.Unlock()
}

// Pace returns the estimate of the service time of the local upstream. It has to be
// called regularly.
func (s *Sidecar) Pace(now time.Duration) pace.Estimate {
	c := &s.pacing
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastEvent = now
	return c.meter.Estimate(now)
}

// reportedWork returns the work in the unit of reports. Work that is known is at least 1.
func reportedWork(e pace.Estimate) int {
	if e.Work == 0 {
		return 0
	}
	return max(1, int((e.Work+workUnit/2)/workUnit))
}
