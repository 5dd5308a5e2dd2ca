package steer

import (
	"sync"
	"time"
)

const (
	// failureWeight is how much the newest outcome counts: three failures in a row make an upstream failing.
	failureWeight = 0.25
	// failingShare is the weighted share of failures from which an upstream is failing.
	failingShare = 0.5
	// failingFor is after how long without an outcome an upstream is trusted again.
	failingFor = 2 * time.Second
	// trialEvery is how often a failing upstream gets a new flow, to see whether it works again.
	trialEvery = 300 * time.Millisecond
	// unansweredAfter is for how long a request has waited when its caller's giving up counts against the upstream.
	unansweredAfter = 500 * time.Millisecond
)

// outcomes tells from what becomes of requests whether an upstream fails: it may
// accept flows and reset them, or never answer. It is safe for concurrent use.
type outcomes struct {
	mu    sync.Mutex
	bad   float64       // weighted share of failures, from 0 to 1
	last  time.Duration // of the last outcome
	trial time.Duration // when a new flow was last let through while failing
}

// failed notes a request that the upstream reset or left without an answer.
func (o *outcomes) failed(now time.Duration) {
	o.note(now, 1)
}

// answered notes a request that the upstream answered.
func (o *outcomes) answered(now time.Duration) {
	o.note(now, 0)
}

func (o *outcomes) note(now time.Duration, failure float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.bad += failureWeight * (failure - o.bad)
	o.last = now
}

// failing reports whether the upstream fails.
func (o *outcomes) failing(now time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.isFailing(now)
}

func (o *outcomes) isFailing(now time.Duration) bool {
	return o.bad >= failingShare && now-o.last < failingFor
}

// admits reports whether a new flow may be offered to the upstream: always
// while it does not fail, and now and then while it does.
func (o *outcomes) admits(now time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.isFailing(now) {
		return true
	}
	if now-o.trial < trialEvery {
		return false
	}
	o.trial = now
	return true
}
