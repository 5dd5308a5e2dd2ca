package limit

import (
	"sync"
	"time"
)

const (
	// scarcity is the share of the burst below which prefixes are held to their fair share.
	scarcity = 0.5
	// activeWindow is the time over which active prefixes are counted.
	activeWindow = time.Second
	fairBurst    = time.Second
)

// serviceBucket bounds the new flows of one service and counts its active
// prefixes. It is safe for concurrent use.
type serviceBucket struct {
	mu       sync.Mutex
	bucket   bucket
	window   time.Time // start of the present window
	active   int       // prefixes seen in the present window
	previous int       // prefixes seen in the window before
}

// fair returns the share of one prefix when all active ones get the same.
func (s *serviceBucket) fair(service bound, now time.Time) bound {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(now)
	return newBound(service.rate/float64(max(s.active, s.previous, 1)), fairBurst)
}

// seen counts a prefix whose last flow was at last.
func (s *serviceBucket) seen(last, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(now)
	if last.Before(s.window) {
		s.active++
	}
}

// turn begins a new window when the present one is over. The caller holds mu.
func (s *serviceBucket) turn(now time.Time) {
	age := now.Sub(s.window)
	if age < activeWindow {
		return
	}
	s.previous = s.active
	if age >= 2*activeWindow {
		s.previous = 0
	}
	s.active = 0
	s.window = now
}

func (s *serviceBucket) scarce(to bound, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bucket.tokens(to, now) < scarcity*float64(to.burst)
}

func (s *serviceBucket) take(to bound, now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bucket.take(to, now)
}
