package limit

import "time"

// Reason says why work was refused.
type Reason uint8

// The reasons of a refusal.
const (
	// ReasonRate is for a service that gets more new flows than its limit.
	ReasonRate Reason = 1
	// ReasonPrefix is for a caller prefix that opens more flows than its limit.
	ReasonPrefix Reason = 2
	// ReasonFairShare is for a caller prefix above its share while the service is at its limit.
	ReasonFairShare Reason = 3
	// ReasonDeadline is for work that cannot finish before its deadline.
	ReasonDeadline Reason = 4
	// ReasonShed is for work that made room for work that a refusal would harm more.
	ReasonShed Reason = 5
	// ReasonQueueFull is for a queue that holds as much as it may.
	ReasonQueueFull Reason = 6
)

// String returns the reason as one short word.
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

// Refusal is what a caller whose work was not started is told.
type Refusal struct {
	// ID names the work in the queue; zero for a refusal by a balancer.
	ID     uint64
	Reason Reason
	// RetryAfter is when the caller may come back, counted from now and above 0.
	RetryAfter time.Duration
}

// RandSource is a source of random numbers from 0 up to 1, as *rand.Rand of
// math/rand/v2 is.
type RandSource interface {
	Float64() float64
}

// RetryAfter is how refused callers are told to come back. The zero value selects
// the defaults.
type RetryAfter struct {
	// Min is the shortest time, from 1 ms to 1 min. Zero selects 500 ms.
	Min time.Duration
	// Jitter is the width over which the times are drawn evenly, from 1 ms to
	// 10 min. Zero selects 4 s.
	Jitter time.Duration
}

const (
	defaultLeast  = 500 * time.Millisecond
	defaultSpread = 4 * time.Second
	fullLeast     = 5 * time.Second
	fullSpread    = 30 * time.Second
)

// FullRetryAfter returns how callers come back that were refused because the
// upstreams hold as many flows as they may: flows end slowly.
func FullRetryAfter() RetryAfter {
	return RetryAfter{Min: fullLeast, Jitter: fullSpread}
}

// Draw draws a time that is at least wait.
func (r RetryAfter) Draw(wait time.Duration, rnd RandSource) time.Duration {
	if r.Min == 0 {
		r.Min = defaultLeast
	}
	if r.Jitter == 0 {
		r.Jitter = defaultSpread
	}
	least := max(r.Min, wait)
	return least + time.Duration(rnd.Float64()*float64(r.Jitter))
}
