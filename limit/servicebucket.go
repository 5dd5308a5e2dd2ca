package limit

import (
	"sync"
	"time"
)

const (
	// fairShareThreshold is a fraction of the service's burst. While fewer tokens
	// remain, prefixes are limited to their fair share.
	fairShareThreshold = 0.5
	// activeWindow is the length of the windows in which active prefixes are counted.
	activeWindow   = time.Second
	fairShareBurst = time.Second
)

// serviceBucket limits the new flows of one service and counts its active caller
// prefixes. It is safe for concurrent use.
type serviceBucket struct {
	mu               sync.Mutex
	bucket           bucket
	windowStart      time.Time // start of the current window
	activePrefixes   int       // prefixes seen in the current window
	previousPrefixes int       // prefixes seen in the previous window
}

// fairShareLimit returns the limit of one prefix when all active prefixes get
// equal shares.
func (s *serviceBucket) fairShareLimit(limit bucketLimit, now time.Time) bucketLimit {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotateWindow(now)
	return newBucketLimit(limit.rate/float64(max(s.activePrefixes, s.previousPrefixes, 1)), fairShareBurst)
}

// recordFlow counts the prefix as active unless its last flow was in the current
// window already.
func (s *serviceBucket) recordFlow(lastFlow, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotateWindow(now)
	if lastFlow.Before(s.windowStart) {
		s.activePrefixes++
	}
}

// rotateWindow starts a new window when the current one has ended. The caller
// holds mu.
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
