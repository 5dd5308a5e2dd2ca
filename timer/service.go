// Package timer is the only package that reads the clock. Other packages use a
// Service instead of calling package time, so that a test in a testing/synctest
// bubble controls every wait.
//
// Start with Service.Every and Service.After.
package timer

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Config holds the settings of a Service. The zero value selects the defaults.
type Config struct {
	// PauseThreshold is the shortest gap between two checks that counts as a pause
	// of the process. Zero selects 1 s.
	PauseThreshold time.Duration
	// Suspended returns the total time for which the instance was suspended. Uptime
	// then includes it, which the monotonic clock does not, provided that a
	// PauseDetector runs. Nil counts no suspension; the function Suspended reads it
	// from the system.
	Suspended func() time.Duration
	// Wrap, if not nil, returns the channel from which a subscription delivers the ticks of c,
	// and a function that is called when the subscription is stopped. Tests delay ticks with
	// it, as those of a frozen process.
	Wrap func(c <-chan time.Time) (wrapped <-chan time.Time, stop func())
}

const (
	defaultPauseThreshold = time.Second
	// minSuspension is the shortest growth of Suspended that counts; less than that
	// may come from reading its two clocks at slightly different times.
	minSuspension = 50 * time.Millisecond
)

// Service provides the time and timers. It is safe for concurrent use.
type Service struct {
	cfg   Config
	start time.Time // fixed after New
	// suspendedBefore is the total suspension before the start.
	suspendedBefore time.Duration
	suspended       atomic.Int64 // suspension since the start in nanoseconds; 0 without Config.Suspended
}

// New returns a Service that uses the clock of package time. Its uptime starts at 0.
func New(cfg Config) *Service {
	if cfg.PauseThreshold == 0 {
		cfg.PauseThreshold = defaultPauseThreshold
	}
	s := &Service{cfg: cfg, start: time.Now()}
	if cfg.Suspended != nil {
		s.suspendedBefore = cfg.Suspended()
	}
	return s
}

// updateSuspended adds the time for which the instance was suspended since the last call.
func (s *Service) updateSuspended() {
	if s.cfg.Suspended == nil {
		return
	}
	total := s.cfg.Suspended() - s.suspendedBefore
	if total-time.Duration(s.suspended.Load()) >= minSuspension {
		s.suspended.Store(int64(total))
	}
}

// Suspended returns the total time for which the instance was suspended since it
// booted, or 0 if the system clocks cannot be read.
func Suspended() time.Duration {
	var boot, mono unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &mono) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - mono.Nano())
}

// Now returns the current time with a monotonic clock reading.
func (s *Service) Now() time.Time {
	return time.Now()
}

// Since returns the time elapsed since t.
func (s *Service) Since(t time.Time) time.Duration {
	return time.Since(t)
}

// Uptime returns the time since the Service was created, including suspensions if
// Config.Suspended is set.
func (s *Service) Uptime() time.Duration {
	return time.Since(s.start) + time.Duration(s.suspended.Load())
}

// PauseThreshold returns the shortest gap that counts as a pause of the process.
func (s *Service) PauseThreshold() time.Duration {
	return s.cfg.PauseThreshold
}

// Every returns a subscription that ticks each period. The caller must stop it.
// It panics if period is not positive.
func (s *Service) Every(period time.Duration) *Subscription {
	t := time.NewTicker(period)
	return s.subscription(t.C, t.Stop)
}

// After returns a subscription that ticks once after d. The caller must stop it.
func (s *Service) After(d time.Duration) *Subscription {
	t := time.NewTimer(d)
	return s.subscription(t.C, func() { t.Stop() })
}

// subscription returns the subscription of a timer.
func (s *Service) subscription(c <-chan time.Time, stop func()) *Subscription {
	if s.cfg.Wrap == nil {
		return &Subscription{C: c, stop: stop}
	}
	wrapped, end := s.cfg.Wrap(c)
	return &Subscription{C: wrapped, stop: func() {
		stop()
		end()
	}}
}

// Sleep waits for d. If ctx is done first, it returns the error of ctx.
func (s *Service) Sleep(ctx context.Context, d time.Duration) error {
	sub := s.After(d)
	defer sub.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-sub.C:
		return nil
	}
}

// Subscription delivers ticks on C until it is stopped.
type Subscription struct {
	// C receives each tick when it is due. Ticks are dropped for slow receivers.
	C <-chan time.Time

	stop func() // non-nil
}

// Stop ends the subscription. It may be called more than once.
func (s *Subscription) Stop() {
	s.stop()
}
