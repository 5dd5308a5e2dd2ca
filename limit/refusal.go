package limit

import "time"

// Reason says why work was refused.
type Reason uint8

// The reasons of a refusal.
const (
	// Rate is for a service that gets more new flows than its limit.
	Rate Reason = 1
	// Prefix is for a caller prefix that opens more flows than its limit.
	Prefix Reason = 2
	// Fair is for a caller prefix above its share while the service is at its limit.
	Fair Reason = 3
	// Late is for work that cannot finish before its deadline.
	Late Reason = 4
	// Shed is for work that made room for work that a refusal would harm more.
	Shed Reason = 5
	// Memory is for a queue that holds as much as it may.
	Memory Reason = 6
)

// String returns the reason as one short word.
func (r Reason) String() string {
	switch r {
	case Rate:
		return "rate"
	case Prefix:
		return "prefix"
	case Fair:
		return "fair"
	case Late:
		return "late"
	case Shed:
		return "shed"
	case Memory:
		return "memory"
	}
	return "unknown"
}

// Refusal is what a caller whose work was not started is told.
type Refusal struct {
	// ID names the work in the queue; zero for a refusal by a balancer.
	ID     uint64
	Reason Reason
	// After is when the caller may come back, counted from now and above 0.
	After time.Duration
}

// Source is a source of random numbers from 0 up to 1, as *rand.Rand of
// math/rand/v2 is.
type Source interface {
	Float64() float64
}

// RetryAfter is how refused callers are told to come back. The zero value selects
// the defaults.
type RetryAfter struct {
	// Least is the shortest time, from 1 ms to 1 min. Zero selects 500 ms.
	Least time.Duration
	// Spread is the width over which the times are drawn evenly, from 1 ms to
	// 10 min. Zero selects 4 s.
	Spread time.Duration
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
	return RetryAfter{Least: fullLeast, Spread: fullSpread}
}

// After draws a time that is at least wait.
func (r RetryAfter) After(wait time.Duration, rnd Source) time.Duration {
	if r.Least == 0 {
		r.Least = defaultLeast
	}
	if r.Spread == 0 {
		r.Spread = defaultSpread
	}
	least := max(r.Least, wait)
	return least + time.Duration(rnd.Float64()*float64(r.Spread))
}
