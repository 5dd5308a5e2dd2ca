package pace

import "time"

const (
	// rampTimeout is the time without an unexpected answer after which a ramp ends, so
	// that an upstream without requests is not limited forever.
	rampTimeout = 10 * time.Second
	// rampFactor is the number of windows per slot from which an upstream is not limited.
	rampFactor = 2
	// unexpectedFactor is the factor on the expected work from which an answer is not as
	// expected. Cold upstreams take up to twice as long.
	unexpectedFactor = 2.5
	// medianFactor is the factor on the service's median up to which an upstream runs at
	// the median, in the mean of at least meanAnswers answers.
	medianFactor = 1.25
	meanAnswers  = 24
	// expectationTimeout is the time after which an opening without a request does not
	// count as a request any longer. Callers send the first one after a round trip.
	expectationTimeout = 100 * time.Millisecond
)

// Cause is why a ramp started.
type Cause uint8

// The causes of ramps.
const (
	NoCause Cause = iota
	Started
	Reacted
	Repaired
	Readmitted
	Recovered
)

// String returns the cause as in events.
func (c Cause) String() string {
	switch c {
	case NoCause:
		return "none"
	case Started:
		return "started"
	case Reacted:
		return "silent"
	case Repaired:
		return "failing"
	case Readmitted:
		return "evacuated"
	case Recovered:
		return "slow"
	}
	return "unknown"
}

// Ramp limits the concurrent requests of an upstream after its start: the window starts
// at one, doubles with each window of answers as expected, and returns to one when most
// of a window's answers are not. While the mean of the last answers is not known to be at the
// service's median, it does not exceed the slots, so that no queue forms. The zero value limits nothing. It is not safe for
// concurrent use.
type Ramp struct {
	cause       Cause
	window      int           // 0 when nothing is limited
	answers     int           // of the current window
	unexpected  int           // of answers
	total       int           // answers since the start or the last return to one
	mean        time.Duration // moving average of the times of total
	since       time.Duration // when the window was last set to one
	expected    int           // openings whose first request is expected
	lastOpening time.Duration
}

// Start starts a ramp from one.
func (r *Ramp) Start(now time.Duration, cause Cause) {
	*r = Ramp{cause: cause, window: 1, since: now}
}

// Window returns the maximum number of concurrent requests, 0 when they are not limited.
func (r *Ramp) Window() int {
	return r.window
}

// Cause returns why the ramp started, NoCause when there is none.
func (r *Ramp) Cause() Cause {
	return r.cause
}

// Opened records that an opening was delivered to the upstream.
func (r *Ramp) Opened(now time.Duration) {
	if r.window > 0 {
		r.expected++
		r.lastOpening = now
	}
}

// Began records that a request was delivered.
func (r *Ramp) Began() {
	r.expected = max(0, r.expected-1)
}

// Full reports whether the upstream has a window of requests, with active ones and those
// that recent openings announce.
func (r *Ramp) Full(now time.Duration, active int) bool {
	if now-r.lastOpening >= expectationTimeout {
		r.expected = 0
	}
	return r.window > 0 && active+r.expected >= r.window
}

// Answered records an answer. took is how long the request occupied its slot, expected
// how long it should, 0 when that is not known; median is the median of the service's
// upstreams, 0 when it is not known.
func (r *Ramp) Answered(now, took, expected, median time.Duration, slots int) {
	if r.window == 0 {
		return
	}
	r.answers++
	r.total++
	r.mean += (took - r.mean) / time.Duration(min(meanAnswers, r.total))
	if expected > 0 && float64(took) > unexpectedFactor*float64(expected) {
		r.unexpected++
	}
	atMedian := r.total >= meanAnswers && float64(r.mean) <= medianFactor*float64(median)
	if atMedian {
		*r = Ramp{}
		return
	}
	if r.answers >= r.window {
		r.endWindow(now, median > 0, slots)
	}
}

// endWindow sets the next window. It does not exceed the slots when capped is true.
func (r *Ramp) endWindow(now time.Duration, capped bool, slots int) {
	if 2*r.unexpected > r.answers {
		r.Start(now, r.cause)
		return
	}
	r.window, r.answers, r.unexpected = 2*r.window, 0, 0
	if capped {
		r.window = min(r.window, max(1, slots))
	}
	if r.window >= rampFactor*max(1, slots) {
		*r = Ramp{}
	}
}

// Failed records that the upstream shed a request or reset it.
func (r *Ramp) Failed(now time.Duration) {
	if r.window > 0 {
		r.Start(now, r.cause)
	}
}

// Expire ends a ramp that has lasted for too long.
func (r *Ramp) Expire(now time.Duration) {
	if r.window > 0 && now-r.since >= rampTimeout {
		*r = Ramp{}
	}
}
