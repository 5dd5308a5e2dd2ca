package limit

import "time"

// Rank orders work by the harm of refusing it; the higher rank is harmed more.
type Rank uint8

// The ranks that sidecars use with the rule Class.
const (
	// Repeated is work that the caller sent before.
	Repeated Rank = 1
	// Opened is work that opens a flow.
	Opened Rank = 2
	// Established is work of a flow that has been answered before.
	Established Rank = 3
)

// Waiting is work that waits for a slot of an upstream.
type Waiting struct {
	// ID is unique among what waits.
	ID uint64
	// Joined is when the work arrived.
	Joined time.Time
	// Deadline is when its caller gives up; zero is never.
	Deadline time.Time
	Class    Rank
}

// left returns the time before the deadline, and whether there is one.
func (w Waiting) left(now time.Time) (time.Duration, bool) {
	if w.Deadline.IsZero() {
		return 0, false
	}
	return w.Deadline.Sub(now), true
}

// Pace is how fast an upstream works.
type Pace struct {
	// Slots is how many requests run at once, at least 1.
	Slots int
	// Service is the mean time in service; zero is unknown.
	Service time.Duration
	// Reserve is the time that work needs once it has started; zero selects Service.
	Reserve time.Duration
}

// wait returns how long work waits when ahead others wait before it and no slot is free.
func (p Pace) wait(ahead int) time.Duration {
	return p.Service * time.Duration(ahead+1) / time.Duration(p.Slots)
}

// reserve returns the time that work needs once it has started.
func (p Pace) reserve() time.Duration {
	if p.Reserve > 0 {
		return p.Reserve
	}
	return p.Service
}
