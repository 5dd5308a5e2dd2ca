package compare

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	paretoExponent = 1.5
	// defaultMaxMinRatio is the ratio of the longest to the shortest duration.
	defaultMaxMinRatio = 300
)

// randomSources holds the random sources of one run. Each has one purpose, so that
// the decisions of a policy never change the arrivals.
type randomSources struct {
	arrivals  *rand.Rand
	durations *rand.Rand
	jitter    *rand.Rand
}

func newRandomSources(seed uint64) randomSources {
	return randomSources{
		arrivals:  rand.New(rand.NewPCG(seed, 1)),
		durations: rand.New(rand.NewPCG(seed, 2)),
		jitter:    rand.New(rand.NewPCG(seed, 3)),
	}
}

// pareto is a bounded Pareto distribution of durations.
type pareto struct {
	minSeconds  float64 // shortest duration, above 0
	maxMinRatio float64 // ratio of longest to shortest duration, above 1
}

func newPareto(mean time.Duration, maxMinRatio float64) pareto {
	if maxMinRatio == 0 {
		maxMinRatio = defaultMaxMinRatio
	}
	mass := 1 - math.Pow(maxMinRatio, -paretoExponent)
	multiple := paretoExponent / (paretoExponent - 1) * (1 - math.Pow(maxMinRatio, 1-paretoExponent)) / mass
	return pareto{minSeconds: mean.Seconds() / multiple, maxMinRatio: maxMinRatio}
}

// draw returns a random duration.
func (p pareto) draw(r *rand.Rand) time.Duration {
	return p.quantile(r.Float64(), paretoExponent)
}

// residual returns the remaining part of a duration that is observed at a random
// moment. Longer durations are observed more often, so the whole duration has an
// exponent that is lower by 1.
func (p pareto) residual(r *rand.Rand) time.Duration {
	total := p.quantile(r.Float64(), paretoExponent-1)
	return time.Duration(float64(total) * r.Float64())
}

func (p pareto) quantile(u, exponent float64) time.Duration {
	mass := 1 - math.Pow(p.maxMinRatio, -exponent)
	seconds := p.minSeconds * math.Pow(1-u*mass, -1/exponent)
	return time.Duration(seconds * float64(time.Second))
}

// interarrival returns an exponentially distributed time between two arrivals.
func interarrival(r *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
}

// pickWeighted returns a random index, weighted by shares that sum to 1.
func pickWeighted(r *rand.Rand, shares []float64) int {
	u := r.Float64()
	for i, s := range shares {
		u -= s
		if u < 0 {
			return i
		}
	}
	return len(shares) - 1
}
