package load_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/load"
	"github.com/shoenig/test/must"
)

func newMonitor() *load.Monitor {
	return load.NewMonitor(load.MonitorConfig{Upstream: bundle.Upstream{}}, start.Add(-time.Hour))
}

func TestMonitorCountsRequestsAndFlows(t *testing.T) {
	m := newMonitor()
	m.SetConnections(2)
	m.Accepted(start)
	m.Enqueued()
	m.Started(start)
	v := m.View(start)
	must.Eq(t, 2, v.Connections)
	must.Eq(t, 1.0, v.Rate)
	must.Eq(t, 1, v.InUse)
	must.Eq(t, 1, v.Queue)
	must.False(t, v.Free())

	m.Dequeued()
	m.SetConnections(1)
	m.Answered(start.Add(serviceTime), serviceTime)
	v = m.View(start.Add(serviceTime))
	must.Eq(t, 1, v.Connections)
	must.Eq(t, 0, v.Busy())
	must.Eq(t, serviceTime, v.ServiceTime)
}

// TestNextFreeGrowsWithTimeInService checks that long-running requests are
// expected to keep running.
func TestNextFreeGrowsWithTimeInService(t *testing.T) {
	m := newMonitor()
	m.Started(start)
	m.Answered(start.Add(serviceTime), serviceTime)
	m.Started(start)
	m.Started(start)
	afterOne := m.View(start.Add(serviceTime)).NextFree
	afterTen := m.View(start.Add(10 * serviceTime)).NextFree
	must.Eq(t, serviceTime/2, afterOne)
	must.Eq(t, 5*serviceTime, afterTen)
}

func TestProbePrecedence(t *testing.T) {
	now := start
	t.Run("zero load does not lower the measured load", func(t *testing.T) {
		m := newMonitor()
		m.Started(now)
		m.Probed(load.Probe{Healthy: true, At: now})
		must.Eq(t, 1, m.View(now).InUse)
		must.False(t, m.ProbeContradicted(now))
		m.Started(now)
		must.True(t, m.ProbeContradicted(now))
	})
	t.Run("a load above the measured one counts", func(t *testing.T) {
		m := newMonitor()
		m.Probed(load.Probe{Healthy: true, InUse: 2, At: now})
		must.Eq(t, 2, m.View(now).InUse)
	})
	t.Run("an old probe is ignored", func(t *testing.T) {
		m := newMonitor()
		m.Probed(load.Probe{Healthy: true, InUse: 2, At: now})
		must.Eq(t, 0, m.View(now.Add(time.Minute)).InUse)
	})
	t.Run("unchanged counts are ignored", func(t *testing.T) {
		m := newMonitor()
		for i := range 20 {
			at := now.Add(time.Duration(i) * serviceTime)
			m.Probed(load.Probe{Healthy: true, InUse: 2, At: at})
			m.Started(at)
			m.Answered(at.Add(serviceTime), serviceTime)
		}
		must.Eq(t, 0, m.View(now.Add(20*serviceTime)).InUse)
		must.True(t, m.ProbeContradicted(now.Add(20*serviceTime)))
	})
	t.Run("healthy does not override timeouts", func(t *testing.T) {
		m := newMonitor()
		for range 3 {
			m.Started(now)
			m.TimedOut(now, time.Second)
		}
		m.Probed(load.Probe{Healthy: true, At: now})
		must.True(t, m.View(now).Failing)
		must.True(t, m.ProbeContradicted(now))
	})
	t.Run("unhealthy counts without recent answers", func(t *testing.T) {
		m := newMonitor()
		m.Probed(load.Probe{At: now})
		must.True(t, m.View(now).Failing)
	})
	t.Run("unhealthy does not override recent answers", func(t *testing.T) {
		m := newMonitor()
		m.Started(now)
		m.Answered(now, serviceTime)
		m.Probed(load.Probe{At: now})
		must.False(t, m.View(now).Failing)
		must.True(t, m.ProbeContradicted(now))
	})
}

func TestTimeoutsDoubleHold(t *testing.T) {
	m := newMonitor()
	now := start
	holds := make([]time.Duration, 0, 3)
	for range 3 {
		for !m.View(now).Failing {
			m.Started(now)
			m.TimedOut(now, 0)
		}
		began := now
		for m.View(now).Failing {
			now = now.Add(50 * time.Millisecond)
		}
		holds = append(holds, now.Sub(began))
	}
	must.Eq(t, []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second}, holds)
	must.Less(t, 1.0, m.View(now).Ramp)
	must.Eq(t, 1.0, m.View(now.Add(time.Second)).Ramp)
}

func TestRestartBeginsColdStart(t *testing.T) {
	m := newMonitor()
	must.Eq(t, 1.0, m.View(start).Ramp)
	m.Restarted(start)
	must.Eq(t, 0.1, m.View(start).Ramp)
	must.Eq(t, 1.0, m.View(start.Add(time.Minute)).Ramp)
}
