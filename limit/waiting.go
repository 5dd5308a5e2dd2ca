package limit

import "time"

// Priority orders work by the harm of refusing it; the higher rank is harmed more.
type Priority uint8

// The ranks that sidecars use with the rule Class.
const (
	// PriorityRetry is work that the caller sent before.
	PriorityRetry Priority = 1
	// PriorityNewFlow is work that opens a flow.
	PriorityNewFlow Priority = 2
	// PriorityEstablished is work of a flow that has been answered before.
	PriorityEstablished Priority = 3
)

// Request is work that waits for a slot of an upstream.
type Request struct {
	// ID is unique among what waits.
	ID uint64
	// Arrived is when the work arrived.
	Arrived time.Time
	// Deadline is when its caller gives up; zero is never.
	Deadline time.Time
	Priority Priority
}

// left returns the time before the deadline, and whether there is one.
func (w Request) left(now time.Time) (time.Duration, bool) {
	if w.Deadline.IsZero() {
		return 0, false
	}
	return w.Deadline.Sub(now), true
}

// Throughput is how fast an upstream works.
type Throughput struct {
	// Slots is how many requests run at once, at least 1.
	Slots int
	// ServiceTime is the mean time in service; zero is unknown.
	ServiceTime time.Duration
	// Reserve is the time that work needs once it has started; zero selects Service.
	Reserve time.Duration
}

// wait returns how long work waits when ahead others wait before it and no slot is free.
func (p Throughput) wait(ahead int) time.Duration {
	return p.ServiceTime * time.Duration(ahead+1) / time.Duration(p.Slots)
}

// reserve returns the time that work needs once it has started.
func (p Throughput) reserve() time.Duration {
	if p.Reserve > 0 {
		return p.Reserve
	}
	return p.ServiceTime
}
