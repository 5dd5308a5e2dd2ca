package load

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the exponential decay.
const rateTimeConstant = time.Second

// decayingRate is an exponentially decaying event rate. The zero value is a
// rate of 0.
type decayingRate struct {
	sum  float64 // events per second at the time last
	last time.Time
}

// add records one event.
func (p *decayingRate) add(now time.Time) {
	p.sum = p.rate(now) + 1/rateTimeConstant.Seconds()
	p.last = now
}

// rate returns the rate at now in events per second.
func (p *decayingRate) rate(now time.Time) float64 {
	age := now.Sub(p.last)
	if p.sum == 0 || age <= 0 {
		return p.sum
	}
	return p.sum * math.Exp(-age.Seconds()/rateTimeConstant.Seconds())
}
