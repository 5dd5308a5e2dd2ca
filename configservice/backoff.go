package configservice

import (
	"math/rand/v2"
	"time"
)

const (
	defaultBackoffBase = 200 * time.Millisecond
	defaultBackoffMax  = 5 * time.Second
)

// Backoff spaces retries: each wait is drawn from the upper half of a bound
// that doubles from Base to Max. The zero value selects the defaults. It is not
// safe for concurrent use.
type Backoff struct {
	// Base is the bound of the first wait. Zero selects 200 ms.
	Base time.Duration
	// Max is the bound that waits grow to. Zero selects 5 s.
	Max time.Duration

	failures int // since the last Reset
}

// Next returns the wait before the next retry.
func (b *Backoff) Next(r *rand.Rand) time.Duration {
	bound := b.bound()
	b.failures++
	half := bound / 2
	return half + time.Duration(r.Int64N(int64(half)+1))
}

// Failures returns how many waits were taken since the last Reset.
func (b *Backoff) Failures() int {
	return b.failures
}

// Reset starts again from Base.
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
