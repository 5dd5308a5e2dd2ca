package limit

import (
	"time"

	"golang.org/x/time/rate"
)

// bucketLimit is the rate and the burst of a bucket. A rate of 0 means unlimited.
type bucketLimit struct {
	rate  float64 // new flows per second, at least 0
	burst int     // tokens, at least 1
}

// flowLimits are the limits that apply to one new flow.
type flowLimits struct {
	prefix, fairShare, service bucketLimit
}

func newBucketLimit(perSecond float64, window time.Duration) bucketLimit {
	return bucketLimit{rate: perSecond, burst: max(int(perSecond*window.Seconds()), 1)}
}

// bucket is a token bucket whose limit may change between calls.
type bucket struct {
	limiter *rate.Limiter // nil before the first flow
	limit   bucketLimit
}

// take removes a token. When there is none, it returns the time until the next one.
func (b *bucket) take(lim bucketLimit, now time.Time) (time.Duration, bool) {
	if lim.rate == 0 {
		return 0, true
	}
	b.setLimit(lim, now)
	if b.limiter.AllowN(now, 1) {
		return 0, true
	}
	missing := 1 - b.limiter.TokensAt(now)
	return time.Duration(missing / lim.rate * float64(time.Second)), false
}

// tokens returns the number of tokens in the bucket.
func (b *bucket) tokens(lim bucketLimit, now time.Time) float64 {
	b.setLimit(lim, now)
	return b.limiter.TokensAt(now)
}

func (b *bucket) setLimit(lim bucketLimit, now time.Time) {
	if b.limiter == nil {
		b.limiter = rate.NewLimiter(rate.Limit(lim.rate), lim.burst)
		b.limit = lim
		return
	}
	if b.limit == lim {
		return
	}
	b.limiter.SetLimitAt(now, rate.Limit(lim.rate))
	b.limiter.SetBurstAt(now, lim.burst)
	b.limit = lim
}
