package load

import (
	"math"
	"time"
)

// View is the state of one upstream at one point in time, as measured by its
// sidecar. It is immutable.
type View struct {
	// Slots is the number of requests that the upstream runs concurrently, at
	// least 1.
	Slots int
	// InUse is the number of slots in use, at least 0.
	InUse int
	// Queue is the number of requests queued at the sidecar, at least 0.
	Queue int
	// Connections is the number of flows that the sidecar owns, at least 0.
	Connections int
	// Rate is the recent rate of accepted flows, in flows per second, at least 0.
	Rate float64
	// Limit is the maximum number of flows of the upstream, at least 1.
	Limit int
	// Weight is the relative share of new flows, at least 1.
	Weight int
	// ServiceTime is the mean service time; zero means unknown.
	ServiceTime time.Duration
	// NextFree is the expected time until a slot in use becomes free, estimated
	// from the ages of the running requests; zero means unknown.
	NextFree time.Duration
	// Ramp is the cold-start share of new flows, above 0 and at most 1.
	Ramp float64
	// Failing is true while the upstream refuses requests or times out.
	Failing bool
	// Leaving is true when the upstream accepts no new flows.
	Leaving bool
}

// Busy returns the number of requests in slots and in the queue.
func (v View) Busy() int {
	return v.InUse + v.Queue
}

// Free reports whether a slot is free and no request waits for it.
func (v View) Free() bool {
	return v.Busy() < v.Slots
}

// ExpectedWait returns the expected wait of a request that joins the queue now.
// It is zero while a slot is free or the service time is unknown.
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

// scaledWeight returns the effective weight in thousandths, at least 1.
func (v View) scaledWeight() int64 {
	return max(int64(math.Round(float64(v.Weight)*v.Ramp*perMille)), 1)
}

// effectiveWeight returns the weight multiplied by the cold-start share.
func (v View) effectiveWeight() float64 {
	return float64(v.scaledWeight()) / perMille
}

// unavailable reports whether the upstream is leaving, failing or full.
func (v View) unavailable() bool {
	return v.Leaving || v.Failing || v.full()
}

// full reports whether the upstream is at its flow limit.
func (v View) full() bool {
	return v.Connections >= v.Limit
}

// ReportedLoad returns the load that a balancer derives from a report. It
// measures connections when there are many of them per busy request or slot,
// and busy requests per slot otherwise.
func (v View) ReportedLoad() Load {
	if v.Connections > longFlowRatio*max(v.Busy(), v.Slots) {
		return connectionLoad(v)
	}
	return clampLoad(1 + perMille*float64(v.Busy())/float64(v.Slots))
}
