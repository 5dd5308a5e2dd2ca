package limit

import (
	"sync"
	"time"
)

const (
	// fairShareThreshold is the share of the burst below which prefixes are held to their fair share.
	fairShareThreshold = 0.5
	// activeWindow is the time over which active prefixes are counted.
	activeWindow   = time.Second
	fairShareBurst = time.Second
)

// serviceBucket bounds the new flows of one service and counts its active
// prefixes. It is safe for concurrent use.
type serviceBucket struct {
	mu               sync.Mutex
	bucket           bucket
	windowStart      time.Time // start of the present window
	activePrefixes   int       // prefixes seen in the present window
	previousPrefixes int       // prefixes seen in the window before
}

// fairShareLimit returns the share of one prefix when all active ones get the same.
func (s *serviceBucket) fairShareLimit(limit bucketLimit, now time.Time) bucketLimit {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotateWindow(now)
	return newBucketLimit(limit.rate/float64(max(s.activePrefixes, s.previousPrefixes, 1)), fairShareBurst)
}

// recordFlow counts a prefix whose last flow was at last.
func (s *serviceBucket) recordFlow(lastFlow, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotateWindow(now)
	if lastFlow.Before(s.windowStart) {
		s.activePrefixes++
	}
}

// rotateWindow begins a new window when the present one is over. The caller holds mu.
func (s *serviceBucket) rotateWindow(now time.Time) {
	age := now.Sub(s.windowStart)
	if age < activeWindow {
		return
	}
	s.previousPrefixes = s.activePrefixes
	if age >= 2*activeWindow {
		s.previousPrefixes = 0
	}
	s.activePrefixes = 0
	s.windowStart = now
}

func (s *serviceBucket) belowThreshold(lim bucketLimit, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bucket.tokens(lim, now) < fairShareThreshold*float64(lim.burst)
}

func (s *serviceBucket) take(lim bucketLimit, now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bucket.take(lim, now)
}
