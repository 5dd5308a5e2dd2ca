package limit

import "time"

// Reason is the reason for a refusal.
type Reason uint8

// The reasons for a refusal.
const (
	// ReasonRate means that the new flows of the service exceed its limit.
	ReasonRate Reason = 1
	// ReasonPrefix means that the new flows of the caller prefix exceed its limit.
	ReasonPrefix Reason = 2
	// ReasonFairShare means that the caller prefix exceeds its fair share while the
	// service is close to its limit.
	ReasonFairShare Reason = 3
	// ReasonDeadline means that the request cannot finish before its deadline, or that
	// its expected wait exceeds Queue.MaxWait.
	ReasonDeadline Reason = 4
	// ReasonShed means that the request was removed from the queue in favour of one
	// that the shed policy ranks higher.
	ReasonShed Reason = 5
	// ReasonQueueFull means that the queue is at its maximum length.
	ReasonQueueFull Reason = 6
)

// String returns the name of the reason.
func (r Reason) String() string {
	switch r {
	case ReasonRate:
		return "rate"
	case ReasonPrefix:
		return "prefix"
	case ReasonFairShare:
		return "fair"
	case ReasonDeadline:
		return "late"
	case ReasonShed:
		return "shed"
	case ReasonQueueFull:
		return "memory"
	}
	return "unknown"
}

// Refusal reports a request or flow that was not admitted.
type Refusal struct {
	// ID identifies the request in the queue; zero for a refusal by a balancer.
	ID     uint64
	Reason Reason
	// RetryAfter is the time after which the caller may retry, above 0.
	RetryAfter time.Duration
}

// RandSource is a source of random numbers in [0, 1). *rand.Rand of math/rand/v2
// implements it.
type RandSource interface {
	Float64() float64
}

// RetryAfter is the distribution of retry-after times. The jitter keeps refused
// callers from retrying all at once. The zero value selects the defaults.
type RetryAfter struct {
	// Min is the minimum time, from 1 ms to 1 min. Zero selects 500 ms.
	Min time.Duration
	// Jitter is the width of the uniform distribution above the minimum, from 1 ms
	// to 10 min. Zero selects 4 s.
	Jitter time.Duration
}

const (
	defaultMinRetryAfter    = 500 * time.Millisecond
	defaultRetryAfterJitter = 4 * time.Second
	fullMinRetryAfter       = 5 * time.Second
	fullRetryAfterJitter    = 30 * time.Second
)

// FullRetryAfter returns the retry-after times for callers refused because the
// upstreams hold their maximum number of flows. They are longer than the
// defaults, since flows end slowly.
func FullRetryAfter() RetryAfter {
	return RetryAfter{Min: fullMinRetryAfter, Jitter: fullRetryAfterJitter}
}

// Draw returns a random time of at least minWait and at least the minimum.
func (r RetryAfter) Draw(minWait time.Duration, rnd RandSource) time.Duration {
	if r.Min == 0 {
		r.Min = defaultMinRetryAfter
	}
	if r.Jitter == 0 {
		r.Jitter = defaultRetryAfterJitter
	}
	shortest := max(r.Min, minWait)
	return shortest + time.Duration(rnd.Float64()*float64(r.Jitter))
}
