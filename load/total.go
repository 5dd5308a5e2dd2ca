package load

import "time"

// total is the sum of the views of the upstreams of one service. Leaving upstreams
// contribute only to busy and allConnections: they have load, but no capacity for
// new flows. The sums are integers, so the result does not depend on the order of
// additions.
type total struct {
	upstreams        int
	slots            int
	busy             int   // of all upstreams
	weight           int64 // sum of the scaled weights
	connections      int   // of the upstreams that accept new flows
	allConnections   int   // of all upstreams
	limit            int
	serviceTime      time.Duration // sum of the known mean service times
	serviceTimeCount int           // number of upstreams in serviceTime
}

const (
	// longFlowRatio is the number of flows per busy request or slot above which
	// the flows of a service are treated as long.
	longFlowRatio = 8
	// maxRestUtilization is the utilization of slots and connections that the
	// remaining upstreams may reach when failing ones pass their flows.
	maxRestUtilization = 0.9
)

// with returns the total with v added.
func (t total) with(v View) total {
	return t.add(v, 1)
}

// minus returns the total with v subtracted.
func (t total) minus(v View) total {
	return t.add(v, -1)
}

// add returns the total with v added, or subtracted if sign is -1.
func (t total) add(v View, sign int) total {
	t.allConnections += sign * v.Connections
	t.busy += sign * v.Busy()
	if v.Leaving {
		return t
	}
	t.connections += sign * v.Connections
	t.upstreams += sign
	t.slots += sign * v.Slots
	t.weight += int64(sign) * v.scaledWeight()
	t.limit += sign * v.Limit
	if v.ServiceTime > 0 {
		t.serviceTime += time.Duration(sign) * v.ServiceTime
		t.serviceTimeCount += sign
	}
	return t
}

// withoutCapacity returns the total without the capacity of v but with its load.
func (t total) withoutCapacity(v View) total {
	t.upstreams--
	t.slots -= v.Slots
	t.limit -= v.Limit
	t.weight -= v.scaledWeight()
	return t
}

// canServe reports whether the capacity of t suffices for the load of all.
func (t total) canServe(all total) bool {
	if t.upstreams < 1 {
		return false
	}
	return float64(min(all.busy, all.slots)) <= maxRestUtilization*float64(t.slots) &&
		float64(all.connections) <= maxRestUtilization*float64(t.limit)
}

// longFlows reports whether most flows are idle most of the time, so that
// connections measure the load of an upstream better than slots do.
func (t total) longFlows() bool {
	return t.allConnections > longFlowRatio*max(t.busy, t.slots)
}

// meanConnections returns the mean number of connections per unit of effective
// weight.
func (t total) meanConnections() float64 {
	if t.weight == 0 {
		return 0
	}
	return float64(t.connections) * perMille / float64(t.weight)
}

// meanServiceTime returns the mean service time in nanoseconds; zero means
// unknown.
func (t total) meanServiceTime() float64 {
	if t.serviceTimeCount == 0 {
		return 0
	}
	return float64(t.serviceTime) / float64(t.serviceTimeCount)
}
