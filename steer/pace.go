package steer

import (
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/pace"
	"github.com/corianderbay/corianderbay/registry"
)

// workUnit is the unit of membership.Load.Work.
const workUnit = 100 * time.Microsecond

// pacing estimates the service time of the local upstream and limits its requests while
// it ramps up. It is safe for concurrent use.
type pacing struct {
	mu    sync.Mutex
	meter *pace.Meter
	ramp  pace.Ramp
	slots int
	// expected and median are the expected time and the median of the service as of the
	// last call of Pace and the last fleet; 0 when they are not known.
	expected time.Duration
	median   time.Duration
	last     condition // as of the last call of Pace
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
	c.ramp.Began()
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
	shed := c.meter.Shed()
	took, measured := c.meter.Answer(now, l.request)
	switch {
	case measured:
		c.ramp.Answered(now, took, c.expected, c.median, c.slots)
	case c.meter.Shed() != shed:
		c.ramp.Failed(now)
	}
	c.mu.Unlock()
	l.request = 0
}

// fail records that the upstream reset the flow of the pending request.
func (c *pacing) fail(now time.Duration, l *localFlow) {
	c.mu.Lock()
	c.lastEvent = now
	c.meter.Fail(now, l.request)
	c.ramp.Failed(now)
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

// setFleet takes the slots of the local upstream, if the list has it, and the median of
// its service from a fleet.
func (c *pacing) setFleet(f *Fleet, service registry.ServiceHash, self registry.Host) {
	m, listed := f.Snapshot.Member(service, self)
	median := medianOfOthers(f, service, self)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.median = median
	if listed {
		c.slots = m.Slots
		c.meter.SetSlots(m.Slots)
	}
}

// reportedWork returns the work in the unit of reports. Work that is known is at least 1.
func reportedWork(e pace.Estimate) int {
	if e.Work == 0 {
		return 0
	}
	return max(1, int((e.Work+workUnit/2)/workUnit))
}
