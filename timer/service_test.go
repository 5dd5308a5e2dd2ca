package timer_test

import (
	"context"
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
