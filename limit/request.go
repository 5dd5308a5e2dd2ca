package limit

import "time"

// Priority orders requests for shedding: lower priorities are refused first.
type Priority uint8

// The priorities that sidecars use with ShedLowestPriority.
const (
	// PriorityRetry is for a request that the caller has sent before.
	PriorityRetry Priority = 1
	// PriorityNewFlow is for a request that opens a flow.
	PriorityNewFlow Priority = 2
	// PriorityEstablished is for a request of a flow that has been answered before.
	PriorityEstablished Priority = 3
)

// Request is a request that waits for a slot of an upstream.
type Request struct {
	// ID is unique among the queued requests.
	ID uint64
	// Arrived is the time at which the request arrived.
	Arrived time.Time
	// Deadline is the time at which the caller's timeout expires; zero means no deadline.
	Deadline time.Time
	Priority Priority
}

// timeLeft returns the time until the deadline, and false when there is none.
func (req Request) timeLeft(now time.Time) (time.Duration, bool) {
	if req.Deadline.IsZero() {
		return 0, false
	}
	return req.Deadline.Sub(now), true
}

// Throughput describes how fast an upstream serves requests.
type Throughput struct {
	// Slots is the number of requests served concurrently, at least 1.
	Slots int
	// ServiceTime is the mean service time; zero when it is unknown.
	ServiceTime time.Duration
	// Reserve is the time set aside before the deadline for serving the request
	// once it has started; zero selects ServiceTime.
	Reserve time.Duration
}

// waitBehind returns the expected wait of a request that is queued behind ahead
// others while no slot is free.
func (t Throughput) waitBehind(ahead int) time.Duration {
	return t.ServiceTime * time.Duration(ahead+1) / time.Duration(t.Slots)
}

// effectiveReserve returns Reserve, or ServiceTime when Reserve is zero.
func (t Throughput) effectiveReserve() time.Duration {
	if t.Reserve > 0 {
		return t.Reserve
	}
	return t.ServiceTime
}
