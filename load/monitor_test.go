package load_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/load"
	"github.com/shoenig/test/must"
)

func newWatch() *load.Monitor {
	return load.NewMonitor(load.MonitorConfig{Upstream: bundle.Upstream{}}, start.Add(-time.Hour))
}

func TestMonitorCountsRequestsAndFlows(t *testing.T) {
	w := newWatch()
	w.SetConnections(2)
	w.Accepted(start)
	w.Enqueued()
	w.Started(start)
	v := w.View(start)
	must.Eq(t, 2, v.Connections)
	must.Eq(t, 1.0, v.Rate)
	must.Eq(t, 1, v.InUse)
	must.Eq(t, 1, v.Queue)
	must.False(t, v.Free())

	w.Dequeued()
	w.SetConnections(1)
	w.Answered(start.Add(serviceTime), serviceTime)
	v = w.View(start.Add(serviceTime))
	must.Eq(t, 1, v.Connections)
	must.Eq(t, 0, v.Busy())
	must.Eq(t, serviceTime, v.ServiceTime)
}

// TestNextFreeGrowsWithTimeInService checks that requests which have run for long
// are expected to run for long.
func TestNextFreeGrowsWithTimeInService(t *testing.T) {
	w := newWatch()
	w.Started(start)
	w.Answered(start.Add(serviceTime), serviceTime)
	w.Started(start)
	w.Started(start)
	afterOne := w.View(start.Add(serviceTime)).NextFree
	afterTen := w.View(start.Add(10 * serviceTime)).NextFree
	must.Eq(t, serviceTime/2, afterOne)
	must.Eq(t, 5*serviceTime, afterTen)
}

func TestProbePrecedence(t *testing.T) {
	now := start
	t.Run("zero load does not hide what is seen", func(t *testing.T) {
		w := newWatch()
		w.Started(now)
		w.Probed(load.Probe{Healthy: true, At: now})
		must.Eq(t, 1, w.View(now).InUse)
		must.False(t, w.ProbeContradicted(now))
		w.Started(now)
		must.True(t, w.ProbeContradicted(now))
	})
	t.Run("more load than seen counts", func(t *testing.T) {
		w := newWatch()
		w.Probed(load.Probe{Healthy: true, InUse: 2, At: now})
		must.Eq(t, 2, w.View(now).InUse)
	})
	t.Run("a late probe does not", func(t *testing.T) {
		w := newWatch()
		w.Probed(load.Probe{Healthy: true, InUse: 2, At: now})
		must.Eq(t, 0, w.View(now.Add(time.Minute)).InUse)
	})
	t.Run("frozen numbers do not", func(t *testing.T) {
		w := newWatch()
		for i := range 20 {
			at := now.Add(time.Duration(i) * serviceTime)
			w.Probed(load.Probe{Healthy: true, InUse: 2, At: at})
			w.Started(at)
			w.Answered(at.Add(serviceTime), serviceTime)
		}
		must.Eq(t, 0, w.View(now.Add(20*serviceTime)).InUse)
		must.True(t, w.ProbeContradicted(now.Add(20*serviceTime)))
	})
	t.Run("healthy does not outweigh timeouts", func(t *testing.T) {
		w := newWatch()
		for range 3 {
			w.Started(now)
			w.TimedOut(now, time.Second)
		}
		w.Probed(load.Probe{Healthy: true, At: now})
		must.True(t, w.View(now).Failing)
		must.True(t, w.ProbeContradicted(now))
	})
	t.Run("unhealthy counts without answers", func(t *testing.T) {
		w := newWatch()
		w.Probed(load.Probe{At: now})
		must.True(t, w.View(now).Failing)
	})
	t.Run("unhealthy does not outweigh answers", func(t *testing.T) {
		w := newWatch()
		w.Started(now)
		w.Answered(now, serviceTime)
		w.Probed(load.Probe{At: now})
		must.False(t, w.View(now).Failing)
		must.True(t, w.ProbeContradicted(now))
	})
}

func TestTimeoutsDoubleHold(t *testing.T) {
	w := newWatch()
	now := start
	holds := make([]time.Duration, 0, 3)
	for range 3 {
		for !w.View(now).Failing {
			w.Started(now)
			w.TimedOut(now, 0)
		}
		began := now
		for w.View(now).Failing {
			now = now.Add(50 * time.Millisecond)
		}
		holds = append(holds, now.Sub(began))
	}
	must.Eq(t, []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second}, holds)
	must.Less(t, 1.0, w.View(now).Ramp)
	must.Eq(t, 1.0, w.View(now.Add(time.Second)).Ramp)
}

func TestRestartBeginsColdStart(t *testing.T) {
	w := newWatch()
	must.Eq(t, 1.0, w.View(start).Ramp)
	w.Restarted(start)
	must.Eq(t, 0.1, w.View(start).Ramp)
	must.Eq(t, 1.0, w.View(start.Add(time.Minute)).Ramp)
}
