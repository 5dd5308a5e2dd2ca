package compare

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// tail is the exponent of the bounded Pareto distribution.
	tail = 1.5
	// defaultWidest is the longest time in multiples of the shortest.
	defaultWidest = 300
)

// streams are the random sources of one run. Each has one purpose, so that
// what a policy does never changes what arrives.
type streams struct {
	arrivals *rand.Rand
	sizes    *rand.Rand
	returns  *rand.Rand
}

func newStreams(seed uint64) streams {
	return streams{
		arrivals: rand.New(rand.NewPCG(seed, 1)),
		sizes:    rand.New(rand.NewPCG(seed, 2)),
		returns:  rand.New(rand.NewPCG(seed, 3)),
	}
}

// pareto is a bounded Pareto distribution of times.
type pareto struct {
	shortest float64 // seconds, above 0
	widest   float64 // longest time in multiples of the shortest, above 1
}

func newPareto(mean time.Duration, widest float64) pareto {
	if widest == 0 {
		widest = defaultWidest
	}
	mass := 1 - math.Pow(widest, -tail)
	multiple := tail / (tail - 1) * (1 - math.Pow(widest, 1-tail)) / mass
	return pareto{shortest: mean.Seconds() / multiple, widest: widest}
}

// draw returns one time.
func (p pareto) draw(r *rand.Rand) time.Duration {
	return p.quantile(r.Float64(), tail)
}

// residual returns what is left of a time that is under way at a random moment.
func (p pareto) residual(r *rand.Rand) time.Duration {
	whole := p.quantile(r.Float64(), tail-1)
	return time.Duration(float64(whole) * r.Float64())
}

func (p pareto) quantile(u, exponent float64) time.Duration {
	mass := 1 - math.Pow(p.widest, -exponent)
	seconds := p.shortest * math.Pow(1-u*mass, -1/exponent)
	return time.Duration(seconds * float64(time.Second))
}

// gap returns an exponential time between two arrivals.
func gap(r *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
}

// pick returns an index by its share. The shares sum to 1.
func pick(r *rand.Rand, shares []float64) int {
	u := r.Float64()
	for i, s := range shares {
		u -= s
		if u < 0 {
			return i
		}
	}
	return len(shares) - 1
}
