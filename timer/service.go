// Package timer is the one place that reads the clock. Parts of the system
// subscribe to a Service instead of calling the time package, so that a test
// in a testing/synctest bubble controls every wait.
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
	// PauseThreshold is the gap between two expected ticks from which the process
	// counts as having been paused. Zero selects defaultPauseAfter.
	PauseThreshold time.Duration
	// Suspended returns for how long the instance has been suspended in all, which
	// Uptime then counts; the monotonic clock leaves it out. A Heartbeat has to
	// run. Nil counts none; Suspended of this package asks the system.
	Suspended func() time.Duration
}

const (
	defaultPauseThreshold = time.Second
	// minSuspension is below what is taken for the distance between two readings of clocks.
	minSuspension = 50 * time.Millisecond
)

// Service tells the time and wakes subscribers. It is safe for concurrent use.
type Service struct {
	cfg   Config
	start time.Time // fixed after New
	// suspendedBefore is for how long the instance had been suspended before the start.
	suspendedBefore time.Duration
	suspended       atomic.Int64 // nanoseconds for which it was suspended since; 0 unless counted
}

// New returns a Service that runs on the process clock.
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

// updateSuspended counts the time for which the instance was suspended since the last call.
func (s *Service) updateSuspended() {
	if s.cfg.Suspended == nil {
		return
	}
	total := s.cfg.Suspended() - s.suspendedBefore
	if total-time.Duration(s.suspended.Load()) >= minSuspension {
		s.suspended.Store(int64(total))
	}
}

// Suspended returns for how long the instance has been suspended since it was
// booted, or 0 when that cannot be told.
func Suspended() time.Duration {
	var boot, mono unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &mono) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - mono.Nano())
}

// Now returns the present time with its monotonic reading.
func (s *Service) Now() time.Time {
	return time.Now()
}

// Since returns the time that has passed since t.
func (s *Service) Since(t time.Time) time.Duration {
	return time.Since(t)
}

// Uptime returns the time since the service was made.
func (s *Service) Uptime() time.Duration {
	return time.Since(s.start) + time.Duration(s.suspended.Load())
}

// PauseThreshold returns the gap from which a process counts as having been paused.
func (s *Service) PauseThreshold() time.Duration {
	return s.cfg.PauseThreshold
}

// Every subscribes to a tick each period. The caller stops the subscription.
// It panics when period is not positive.
func (s *Service) Every(period time.Duration) *Subscription {
	t := time.NewTicker(period)
	return &Subscription{C: t.C, stop: t.Stop}
}

// After subscribes to one tick after d. The caller stops the subscription.
func (s *Service) After(d time.Duration) *Subscription {
	t := time.NewTimer(d)
	return &Subscription{C: t.C, stop: func() { t.Stop() }}
}

// Sleep waits for d or until ctx is done, and then returns the error of ctx.
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
	// C receives a tick when it is due. Ticks are dropped for slow receivers.
	C <-chan time.Time

	stop func() // never nil
}

// Stop ends the subscription. It may be called more than once.
func (s *Subscription) Stop() {
	s.stop()
}
