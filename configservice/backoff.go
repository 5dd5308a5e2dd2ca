package configservice

import (
	"math/rand/v2"
	"time"
)

const (
	defaultBackoffBase = 200 * time.Millisecond
	defaultBackoffMax  = 5 * time.Second
)

// Backoff computes exponential delays with jitter between retries. The bound
// doubles from Base to Max with each failure, and each delay is drawn uniformly
// from the upper half of the bound. The zero value uses the defaults. A Backoff
// is not safe for concurrent use.
type Backoff struct {
	// Base is the bound of the first delay. Zero selects 200 ms.
	Base time.Duration
	// Max is the highest bound. Zero selects 5 s.
	Max time.Duration

	failures int // since the last Reset
}

// Next returns the delay before the next retry and counts a failure.
func (b *Backoff) Next(r *rand.Rand) time.Duration {
	bound := b.bound()
	b.failures++
	half := bound / 2
	return half + time.Duration(r.Int64N(int64(half)+1))
}

// Failures returns the number of Next calls since the last Reset.
func (b *Backoff) Failures() int {
	return b.failures
}

// Reset sets the bound back to Base. Call it after a success.
func (b *Backoff) Reset() {
	b.failures = 0
}

func (b *Backoff) bound() time.Duration {
	d, limit := b.Base, b.Max
	if d == 0 {
		d = defaultBackoffBase
	}
	if limit == 0 {
		limit = defaultBackoffMax
	}
	for range b.failures {
		if d >= limit {
			break
		}
		d *= 2
	}
	return min(d, limit)
}
