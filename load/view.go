package load

import (
	"math"
	"time"
)

// View is what a sidecar knows of its own upstream at one moment. It is immutable.
type View struct {
	// Slots is how many requests the upstream runs at once, at least 1.
	Slots int
	// InUse is how many slots hold a request, at least 0.
	InUse int
	// Queue is how many requests wait at the sidecar, at least 0.
	Queue int
	// Connections is how many flows the sidecar owns, at least 0.
	Connections int
	// Rate is how many flows the sidecar accepted a second of late, at least 0.
	Rate float64
	// Limit is how many flows the upstream may hold, at least 1.
	Limit int
	// Weight is the share of new flows, at least 1.
	Weight int
	// ServiceTime is the mean time in service that the sidecar saw; zero is unknown.
	ServiceTime time.Duration
	// NextFree is the expected time until a slot that is in use becomes free, from
	// how long the requests have been in service; zero is unknown.
	NextFree time.Duration
	// Ramp is the cold-start share of new flows, above 0 and at most 1.
	Ramp float64
	// Failing is true while the upstream refuses or times out.
	Failing bool
	// Leaving is true when the upstream takes no new flows.
	Leaving bool
}

// Busy returns the requests in slots and in the queue.
func (v View) Busy() int {
	return v.InUse + v.Queue
}

// Free reports whether a slot is free and nothing waits for it.
func (v View) Free() bool {
	return v.Busy() < v.Slots
}

// ExpectedWait returns how long a request that joins the queue now is expected to wait.
// It is zero while a slot is free or the time in service is unknown.
func (v View) ExpectedWait() time.Duration {
	if v.Free() {
		return 0
	}
	ahead := v.Busy() + 1 - v.Slots
	if v.NextFree > 0 {
		return v.NextFree * time.Duration(ahead)
	}
	return v.ServiceTime * time.Duration(ahead) / time.Duration(v.Slots)
}

// WithFailing returns a copy of the view with Failing set to failing.
func (v View) WithFailing(failing bool) View {
	v.Failing = failing
	return v
}

// WithRamp returns a copy of the view with Ramp set to ramp.
func (v View) WithRamp(ramp float64) View {
	v.Ramp = ramp
	return v
}

// scaledWeight returns the weight times the cold-start share in thousandths, at least 1.
func (v View) scaledWeight() int64 {
	return max(int64(math.Round(float64(v.Weight)*v.Ramp*perMille)), 1)
}

// effectiveWeight returns the weight times the cold-start share.
func (v View) effectiveWeight() float64 {
	return float64(v.scaledWeight()) / perMille
}

// unavailable reports whether the upstream is known to take no new flows.
func (v View) unavailable() bool {
	return v.Leaving || v.Failing || v.full()
}

// full reports whether the upstream holds as many flows as it may.
func (v View) full() bool {
	return v.Connections >= v.Limit
}

// ReportedLoad returns the load that a balancer derives from a report. Connections
// count when they are many for the slots.
func (v View) ReportedLoad() Load {
	if v.Connections > longFlowRatio*max(v.Busy(), v.Slots) {
		return connectionLoad(v)
	}
	return clampLoad(1 + perMille*float64(v.Busy())/float64(v.Slots))
}
