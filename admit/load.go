package admit

import (
	"math"
	"time"
)

// Wait returns the expected time until a request that arrives now gets a slot, when
// active requests occupy or wait for slots that each request occupies for work.
func Wait(active float64, slots int, work time.Duration) time.Duration {
	slots = max(1, slots)
	ahead := active + 1 - float64(slots)
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead * float64(work) / float64(slots))
}

// Load is the load of a service, from the reports of its upstreams.
type Load struct {
	// LeastWait is the least expected wait at any upstream that takes new flows.
	LeastWait time.Duration
	// MeanWait is the expected wait at the mean of the upstreams that the process places
	// flows on.
	MeanWait time.Duration
	// Work is the median time for which a request occupies a slot; above 0.
	Work time.Duration
	// Slots is the number of slots of all upstreams that take new flows.
	Slots int
	// Balancers is the number of processes that admit openings to the service; at least 1.
	Balancers int
	// Classes is the number of different priorities among the routes of the service.
	Classes int
}

// capacity returns the requests per second that this process's part of the service can
// serve.
func (l *Load) capacity() float64 {
	return float64(l.Slots) / l.Work.Seconds() / float64(max(1, l.Balancers))
}

// meter is a count that decays with a time constant of one second, so that it equals the
// number of events per second at a steady rate.
type meter struct {
	count     float64
	decayedAt time.Duration
}

// add counts one event.
func (m *meter) add(now time.Duration) {
	m.count = m.perSecond(now) + 1
}

// perSecond returns the number of events per second.
func (m *meter) perSecond(now time.Duration) float64 {
	if now > m.decayedAt {
		m.count *= math.Exp(-(now - m.decayedAt).Seconds())
		m.decayedAt = now
	}
	return m.count
}
