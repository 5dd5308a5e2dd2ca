package load

import "time"

// total sums the views of the upstreams of one service that take new flows. The
// sums are integers, so that their order does not matter.
type total struct {
	upstreams   int
	slots       int
	busy        int
	weight      int64 // sum of weights, each times its cold-start share in thousandths
	connections int   // of the upstreams that take new flows
	held        int   // of all upstreams
	limit       int
	service     time.Duration // sum of the known times in service
	timed       int           // how many upstreams service sums
}

const (
	// flowsPerRequest is how many flows a busy request stands for from which
	// flows count as long.
	flowsPerRequest = 8
	// restUse is the share of its slots and connections that the rest may use
	// when upstreams are set aside.
	restUse = 0.9
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
	t.held += sign * v.Connections
	t.busy += sign * v.Busy()
	if v.Leaving {
		return t
	}
	t.connections += sign * v.Connections
	t.upstreams += sign
	t.slots += sign * v.Slots
	t.weight += int64(sign) * v.thousandths()
	t.limit += sign * v.Limit
	if v.ServiceTime > 0 {
		t.service += time.Duration(sign) * v.ServiceTime
		t.timed += sign
	}
	return t
}

// without returns the total with the capacity of v taken out and its load kept.
func (t total) without(v View) total {
	t.upstreams--
	t.slots -= v.Slots
	t.limit -= v.Limit
	t.weight -= v.thousandths()
	return t
}

// carries reports whether the capacity of t is enough for the load of all.
func (t total) carries(all total) bool {
	if t.upstreams < 1 {
		return false
	}
	return float64(min(all.busy, all.slots)) <= restUse*float64(t.slots) &&
		float64(all.connections) <= restUse*float64(t.limit)
}

// long reports whether most flows are idle most of the time, so that
// connections tell the load of an upstream better than slots do.
func (t total) long() bool {
	return t.held > flowsPerRequest*max(t.busy, t.slots)
}

// mean returns the connections of an upstream with weight 1.
func (t total) mean() float64 {
	if t.weight == 0 {
		return 0
	}
	return float64(t.connections) * thousandths / float64(t.weight)
}

// typical returns the mean time in service in nanoseconds; zero is unknown.
func (t total) typical() float64 {
	if t.timed == 0 {
		return 0
	}
	return float64(t.service) / float64(t.timed)
}
