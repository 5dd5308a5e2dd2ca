package steer

import (
	"sync"
	"time"
)

const (
	// failureWeight is how much the newest outcome counts: three failures in a row make an upstream failing.
	failureWeight = 0.25
	// failingThreshold is the weighted share of failures from which an upstream is failing.
	failingThreshold = 0.5
	// failingTimeout is after how long without an outcome an upstream is trusted again.
	failingTimeout = 2 * time.Second
	// trialInterval is how often a failing upstream gets a new flow, to see whether it works again.
	trialInterval = 300 * time.Millisecond
	// abandonThreshold is for how long a request has waited when its caller's giving up counts against the upstream.
	abandonThreshold = 500 * time.Millisecond
)

// failureDetector tells from what becomes of requests whether an upstream fails: it may
// accept flows and reset them, or never answer. It is safe for concurrent use.
type failureDetector struct {
	mu          sync.Mutex
	failureRate float64       // weighted share of failures, from 0 to 1
	lastOutcome time.Duration // of the last outcome
	lastTrial   time.Duration // when a new flow was last let through while failing
}

// recordFailure notes a request that the upstream reset or left without an answer.
func (o *failureDetector) recordFailure(now time.Duration) {
	o.record(now, 1)
}

// recordSuccess notes a request that the upstream answered.
func (o *failureDetector) recordSuccess(now time.Duration) {
	o.record(now, 0)
}

func (o *failureDetector) record(now time.Duration, failure float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failureRate += failureWeight * (failure - o.failureRate)
	o.lastOutcome = now
}

// failing reports whether the upstream fails.
func (o *failureDetector) failing(now time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.failingLocked(now)
}

func (o *failureDetector) failingLocked(now time.Duration) bool {
	return o.failureRate >= failingThreshold && now-o.lastOutcome < failingTimeout
}

// allow reports whether a new flow may be offered to the upstream: always
// while it does not fail, and now and then while it does.
func (o *failureDetector) allow(now time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.failingLocked(now) {
		return true
	}
	if now-o.lastTrial < trialInterval {
		return false
	}
	o.lastTrial = now
	return true
}
