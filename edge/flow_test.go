package edge_test

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

var (
	virtualSeeds = flag.Uint64("virtual.seeds", 4, "number of drawn deployments")
	virtualFirst = flag.Uint64("virtual.first", 1, "the first seed")
)

// deployments are the sizes on which flows are checked.
var deployments = []deployment{
	{balancers: []int{2, 2, 1}, upstreamsA: []int{3, 2, 2}, upstreamsB: []int{1, 1, 1}, callers: 12, heartbeat: 770 * time.Millisecond},
	{balancers: []int{3, 2, 2}, upstreamsA: []int{3, 2, 2}, upstreamsB: []int{1, 1, 1}, callers: 12, heartbeat: 1200 * time.Millisecond},
}

// TestFlowsStayInCalm guards against a simulation that reports violations by itself.
func TestFlowsStayInCalm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, deployments[0])
		time.Sleep(30 * time.Second)
		w.end()
		w.report()
		must.Less(t, w.flowsDone[flowDone], w.flowsDone[flowTimedOut]+w.flowsDone[flowReset])
	})
}

// TestFlowsStayInRoll restarts all processes in turn.
func TestFlowsStayInRoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, deployments[0])
		for _, m := range w.machines {
			w.restart(m)
		}
		w.end()
		w.report()
	})
}

// report reports the violations of a run.
func (w *world) report() {
	w.t.Helper()
	w.t.Logf("seed %d: %d flows opened, %d done, %d reset, %d timed out, %d datagrams, %d violations, %d with an unstable store",
		w.seed, w.check.opens, w.flowsDone[flowDone], w.flowsDone[flowReset], w.flowsDone[flowTimedOut], w.net.delivered,
		len(w.check.violations), len(w.check.exempt))
	for _, v := range w.check.violations {
		w.t.Error(v)
	}
}

func (w *world) restart(m *machine) {
	w.check.note("SIGTERM to %s", m.name)
	w.terminate(m)
	time.Sleep(300*time.Millisecond + time.Duration(w.rand.IntN(1200))*time.Millisecond)
	w.start(m)
	w.check.note("%s is back", m.name)
	time.Sleep(500 * time.Millisecond)
}
