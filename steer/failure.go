package steer

import (
	"sync"
	"time"
)

const (
	// failureWeight is the weight of the newest outcome: three failures in a row make
	// an upstream failing.
	failureWeight = 0.25
	// failingThreshold is the weighted failure rate from which an upstream is failing.
	failingThreshold = 0.5
	// failingTimeout is the time without an outcome after which an upstream is no
	// longer failing.
	failingTimeout = 2 * time.Second
	// trialInterval is the interval at which a failing upstream gets a new flow as a
	// trial.
	trialInterval = 300 * time.Millisecond
	// abandonThreshold is how long a request must have been unanswered for its
	// cancellation by the caller to count as a failure.
	abandonThreshold = 500 * time.Millisecond
)

// failureDetector detects from the outcomes of requests that an upstream is failing: it
// may accept flows and reset them, or never answer. It is safe for concurrent use.
type failureDetector struct {
	mu          sync.Mutex
	failureRate float64       // weighted moving average, from 0 to 1
	lastOutcome time.Duration // zero before the first
	lastTrial   time.Duration // when a new flow was last admitted while failing
}

// recordFailure records a request that the upstream reset or did not answer.
func (o *failureDetector) recordFailure(now time.Duration) {
	o.record(now, 1)
}

// recordSuccess records a request that the upstream answered.
func (o *failureDetector) recordSuccess(now time.Duration) {
	o.record(now, 0)
}

func (o *failureDetector) record(now time.Duration, failure float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failureRate += failureWeight * (failure - o.failureRate)
	o.lastOutcome = now
}

// failing reports whether the upstream is failing.
func (o *failureDetector) failing(now time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.failingLocked(now)
}

func (o *failureDetector) failingLocked(now time.Duration) bool {
	return o.failureRate >= failingThreshold && now-o.lastOutcome < failingTimeout
}

// allow reports whether a new flow may be offered to the upstream: always unless it is
// failing, and once per trialInterval while it is.
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
