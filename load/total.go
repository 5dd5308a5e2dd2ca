package load

import "time"

// total sums the views of the upstreams of one service that take new flows. The
// sums are integers, so that their order does not matter.
type total struct {
	upstreams        int
	slots            int
	busy             int
	weight           int64 // sum of weights, each times its cold-start share in thousandths
	connections      int   // of the upstreams that take new flows
	allConnections   int   // of all upstreams
	limit            int
	serviceTime      time.Duration // sum of the known times in service
	serviceTimeCount int           // how many upstreams service sums
}

const (
	// longFlowRatio is how many flows a busy request stands for from which
	// flows count as long.
	longFlowRatio = 8
	// maxRestUtilization is the share of its slots and connections that the rest may use
	// when upstreams are set aside.
	maxRestUtilization = 0.9
)

// with returns the total with v added.
func (t total) with(v View) total {
	return t.add(v, 1)
}

// minus returns the total before v was added.
func (t total) minus(v View) total {
	return t.add(v, -1)
}

// add returns the total with v added sign times.
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

// withoutCapacity returns the total with the capacity of v taken out and its load kept.
func (t total) withoutCapacity(v View) total {
	t.upstreams--
	t.slots -= v.Slots
	t.limit -= v.Limit
	t.weight -= v.scaledWeight()
	return t
}

// canServe reports whether the capacity of t is enough for the load of all.
func (t total) canServe(all total) bool {
	if t.upstreams < 1 {
		return false
	}
	return float64(min(all.busy, all.slots)) <= maxRestUtilization*float64(t.slots) &&
		float64(all.connections) <= maxRestUtilization*float64(t.limit)
}

// longFlows reports whether most flows are idle most of the time, so that
// connections tell the load of an upstream better than slots do.
func (t total) longFlows() bool {
	return t.allConnections > longFlowRatio*max(t.busy, t.slots)
}

// meanConnections returns the connections of an upstream with weight 1.
func (t total) meanConnections() float64 {
	if t.weight == 0 {
		return 0
	}
	return float64(t.connections) * perMille / float64(t.weight)
}

// meanServiceTime returns the mean time in service in nanoseconds; zero is unknown.
func (t total) meanServiceTime() float64 {
	if t.serviceTimeCount == 0 {
		return 0
	}
	return float64(t.serviceTime) / float64(t.serviceTimeCount)
}
