package timer_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/corianderbay/corianderbay/timer"
	"github.com/shoenig/test/must"
)

func TestEveryTicksInVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := timer.New(timer.Config{})
		sub := s.Every(time.Minute)
		defer sub.Stop()
		begin := s.Now()
		<-sub.C
		<-sub.C
		must.Eq(t, 2*time.Minute, s.Since(begin))
	})
}

func TestSleepEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := timer.New(timer.Config{})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		must.ErrorIs(t, s.Sleep(ctx, time.Hour), context.DeadlineExceeded)
	})
}

// TestSuspensionCountsAsPause suspends the instance for five seconds. The
// monotonic clock excludes them, so without Config.Suspended the pause would go
// undetected.
func TestSuspensionCountsAsPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended atomic.Int64
		suspended.Store(int64(time.Hour)) // suspension before the start, not counted
		s := timer.New(timer.Config{Suspended: func() time.Duration { return time.Duration(suspended.Load()) }})
		detector := timer.NewPauseDetector(s)
		var gap time.Duration
		detector.OnResume(func(d time.Duration) { gap = d })
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { detector.Run(ctx) })
		time.Sleep(time.Second)
		must.Eq(t, 0, detector.Epoch())
		suspended.Add(int64(5 * time.Second))
		time.Sleep(time.Second)
		must.Eq(t, 1, detector.Epoch())
		must.Between(t, 5*time.Second, gap, 5200*time.Millisecond)
		must.Eq(t, 7*time.Second, s.Uptime())
		cancel()
		wg.Wait()
	})
}

// TestShortPauseDelaysPackets checks for how long what a process reads counts as delayed after it
// stood still for less than a pause.
func TestShortPauseDelaysPackets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ticks := make(chan time.Time)
		wrap := func(<-chan time.Time) (<-chan time.Time, func()) { return ticks, func() {} }
		d := timer.NewPauseDetector(timer.New(timer.Config{Wrap: wrap}))
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { d.Run(ctx) })
		for _, c := range []struct {
			sleep         time.Duration // since the last check or case
			delayed, tick bool
		}{
			{249 * time.Millisecond, false, true},
			{249 * time.Millisecond, false, false},
			{time.Millisecond, true, true},
			{0, true, false},
			{49 * time.Millisecond, true, true},
			{time.Millisecond, false, false},
		} {
			time.Sleep(c.sleep)
			must.Eq(t, c.delayed, d.Delayed())
			if c.tick {
				ticks <- time.Now()
				synctest.Wait()
			}
		}
		must.Eq(t, 0, d.Epoch())
		cancel()
		wg.Wait()
	})
}
