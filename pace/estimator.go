package pace

import (
	"math"
	"time"
)

// All levels are natural logarithms: service times vary by factors, and a single long
// request moves a mean of logarithms little.
const (
	// maxClasses is the number of routes with an expected work of their own; others share
	// the last one.
	maxClasses = 8
	// matureSamples is the number of samples from which a class contributes to the pace
	// and Work is reported.
	matureSamples = 4
	// paceSamples and levelSamples are the numbers of samples over which the pace and the
	// level of a class are averaged: with a spread of 0.5 and a tail, the estimates of two
	// equally fast upstreams rarely differ by 25%.
	paceSamples  = 320
	levelSamples = 1280
	// spreadSamples is the same for the variance.
	spreadSamples = 256
	// mixSamples is the number of samples of the mix of classes after which all counts
	// are halved, so that the mix changes slowly and alike at all upstreams.
	mixSamples = 2048

	// A change of the pace is detected by a cumulative sum of residuals: each counts for
	// at most residualLimit, less changeSlack, and the pace changes at changeThreshold.
	// A request that takes seven times as long contributes at most 0.9 of 3.7, and one that
	// takes as long as usual removes 0.9.
	residualLimit   = 1.8
	changeSlack     = 0.9
	changeThreshold = 3.7

	// fasterThreshold is the threshold for a faster pace: short requests are not more
	// frequent than their spread explains.
	fasterThreshold = 2.5
	// overdueExcess is the residual from which a request that is still in its slot counts
	// in that sum before it is answered, once and for the full residualLimit.
	overdueExcess = 1.3

	// minPace and maxPace bound the pace: a quarter of and eleven times the usual work.
	minPace = -1.4
	maxPace = 2.4
	// slowPace is the pace from which an upstream is slow, 2.5 times its usual work, and
	// recoveredPace the one below which it has recovered, 1.6 times.
	slowPace      = 0.92
	recoveredPace = 0.47

	// usualTimeConstant is the time constant with which a lasting pace becomes the usual
	// one; slowTimeConstant is the same while the upstream is slow.
	usualTimeConstant = 30 * time.Second
	slowTimeConstant  = 2 * time.Minute
	// staleAfter is the age of the last sample from which an idle upstream's pace returns
	// to the usual one, with the time constant staleTimeConstant.
	staleAfter        = 2 * time.Second
	staleTimeConstant = 5 * time.Second
	// silenceSamples is the number of samples over which a request that is still in its
	// slot for longer than expected is averaged.
	silenceSamples = 256
	// silenceSlack is the excess over the expected time that long requests in all slots
	// explain: seven times as long.
	silenceSlack = 1.95

	// minSample is the shortest service time that is distinguished.
	minSample = 10 * time.Microsecond
	// initialVariance is the variance of residuals before the first samples.
	initialVariance = 0.3
	maxVariance     = 0.7
)

// class is what is known about the requests of one route.
type class struct {
	route   uint64
	samples int
	level   float64 // logarithm of the usual service time in nanoseconds
	count   int     // samples in the mix
}

// excursion is one side of the cumulative sum.
type excursion struct {
	sum     float64 // 0 while there is none
	total   float64 // of the deviations from the usual level
	samples int
}

// add adds a residual that has the sign of the side, and the sample's deviation from the
// usual level.
func (x *excursion) add(residual, deviation float64) {
	x.sum += residual - changeSlack
	if x.sum <= 0 {
		*x = excursion{}
		return
	}
	x.total += deviation
	x.samples++
}

// estimator estimates the service time of an upstream from samples.
type estimator struct {
	classes    [maxClasses]class
	used       int // classes in use
	lastClass  uint8
	pace       float64 // current deviation from the usual levels
	samples    int     // number of samples in pace; at most paceSamples
	variance   float64 // of the residuals
	slower     excursion
	faster     excursion
	mix        int           // sum of the counts of classes
	total      uint64        // samples
	lastSample time.Duration // valid if total > 0
	updatedAt  time.Duration // of update
	slow       bool
}

func newEstimator() estimator {
	return estimator{variance: initialVariance}
}

// class returns the index of a route's class.
func (s *estimator) class(route uint64) uint8 {
	if c := s.lastClass; s.used > 0 && s.classes[c].route == route {
		return c
	}
	s.lastClass = s.findClass(route)
	return s.lastClass
}

func (s *estimator) findClass(route uint64) uint8 {
	for i := range s.used {
		if s.classes[i].route == route {
			return uint8(i)
		}
	}
	if s.used == maxClasses {
		return maxClasses - 1
	}
	s.classes[s.used].route = route
	s.used++
	return uint8(s.used - 1)
}

// age returns the time since the last sample.
func (s *estimator) age(now time.Duration) time.Duration {
	if s.total == 0 {
		return math.MaxInt64
	}
	return now - s.lastSample
}

// expected returns the current service time of a class, 0 when it is not known.
func (s *estimator) expected(c uint8) time.Duration {
	if s.classes[c].samples == 0 {
		return 0
	}
	return time.Duration(math.Exp(s.classes[c].level + s.pace))
}

// add adds a sample. overdue is true when it already counted as evidence for a slower pace.
func (s *estimator) add(now time.Duration, index uint8, took time.Duration, overdue bool) {
	s.total++
	s.lastSample = now
	value := math.Log(float64(max(minSample, took)))
	c := &s.classes[index]
	c.samples++
	s.count(c)
	if c.samples <= matureSamples {
		c.level += (value - s.pace - c.level) / float64(c.samples)
		return
	}
	deviation := value - c.level
	residual := min(residualLimit, max(-residualLimit, deviation-s.pace))
	if !overdue {
		s.slower.add(residual, deviation)
	}
	s.faster.add(-residual, deviation)
	if s.changePace() {
		return
	}
	s.samples = min(paceSamples, s.samples+1)
	s.pace += residual / float64(max(matureSamples, s.samples))
	c.level += residual / float64(min(levelSamples, c.samples))
	s.variance += (residual*residual - s.variance) / spreadSamples
}

// count adds a sample to the mix.
func (s *estimator) count(c *class) {
	c.count++
	s.mix++
	if s.mix < mixSamples {
		return
	}
	s.mix = 0
	for i := range s.used {
		s.classes[i].count /= 2
		s.mix += s.classes[i].count
	}
}

// changePace sets the pace to the mean of an excursion that reached its threshold.
func (s *estimator) changePace() bool {
	x := &s.slower
	if x.sum < changeThreshold {
		x = &s.faster
		if x.sum < fasterThreshold {
			return false
		}
	}
	s.pace = min(maxPace, max(minPace, x.total/float64(x.samples)))
	s.samples = x.samples
	s.slower, s.faster = excursion{}, excursion{}
	return true
}

// classify updates slow.
func (s *estimator) classify() {
	if s.slow {
		s.slow = s.pace > recoveredPace
	} else {
		s.slow = s.pace >= slowPace
	}
}

// update moves a lasting pace into the usual levels, and lets the pace of an idle
// upstream return to the usual one.
func (s *estimator) update(now time.Duration, idle bool) {
	elapsed := now - s.updatedAt
	s.updatedAt = now
	if s.total == 0 || elapsed <= 0 {
		return
	}
	if idle && s.age(now) >= staleAfter {
		s.pace *= math.Exp(-float64(elapsed) / float64(staleTimeConstant))
		return
	}
	timeConstant := usualTimeConstant
	if s.slow {
		timeConstant = slowTimeConstant
	}
	moved := s.pace * (1 - math.Exp(-float64(elapsed)/float64(timeConstant)))
	s.pace -= moved
	for i := range s.used {
		s.classes[i].level += moved
	}
}

// usual returns the mean of the usual service times over the mix.
func (s *estimator) usual() float64 {
	sum := 0.0
	for i := range s.used {
		c := &s.classes[i]
		sum += float64(c.count) * math.Exp(c.level)
	}
	return sum / float64(max(1, s.mix)) * math.Exp(min(maxVariance, s.variance)/2)
}
