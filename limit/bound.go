package limit

import (
	"time"

	"golang.org/x/time/rate"
)

// bound is the rate and the burst of a bucket. A rate of 0 sets no limit.
type bound struct {
	rate  float64 // new flows a second, at least 0
	burst int     // at least 1
}

// bounds are those that one flow is held to.
type bounds struct {
	prefix, fair, service bound
}

func newBound(perSecond float64, burst time.Duration) bound {
	return bound{rate: perSecond, burst: max(int(perSecond*burst.Seconds()), 1)}
}

// bucket is a token bucket whose bound may change between two flows.
type bucket struct {
	limiter *rate.Limiter // nil before the first flow
	bound   bound
}

// take removes a token, or returns how long it takes until there is one.
func (b *bucket) take(to bound, now time.Time) (time.Duration, bool) {
	if to.rate == 0 {
		return 0, true
	}
	b.adjust(to, now)
	if b.limiter.AllowN(now, 1) {
		return 0, true
	}
	missing := 1 - b.limiter.TokensAt(now)
	return time.Duration(missing / to.rate * float64(time.Second)), false
}

// tokens returns the tokens that are left.
func (b *bucket) tokens(to bound, now time.Time) float64 {
	b.adjust(to, now)
	return b.limiter.TokensAt(now)
}

func (b *bucket) adjust(to bound, now time.Time) {
	if b.limiter == nil {
		b.limiter = rate.NewLimiter(rate.Limit(to.rate), to.burst)
		b.bound = to
		return
	}
	if b.bound == to {
		return
	}
	b.limiter.SetLimitAt(now, rate.Limit(to.rate))
	b.limiter.SetBurstAt(now, to.burst)
	b.bound = to
}
