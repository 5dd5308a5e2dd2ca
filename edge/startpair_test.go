package edge_test

import (
	"fmt"
	"testing"
	"time"
)

// TestFlowsStayWhenTwoBalancersStart guards against resets by balancers that start together and
// do not learn of a sidecar that stopped before, while the entry of its upstream is revoked.
func TestFlowsStayWhenTwoBalancersStart(t *testing.T) {
	const count = 5
	d := deployments[0]
	d.balancers, d.callers = []int{count, 1, 1}, 40
	for i := range count {
		for k := range i {
			t.Run(fmt.Sprint(k, " and ", i), func(t *testing.T) {
				playInTurn(t, 1, d, func(w *world, m *machine) {
					near := w.list(func(o *machine) bool { return isBalancer(o) && dataCentreOf(o.host) == 0 })
					startTwoBesideRevoked(w, m, []*machine{near[k], near[i]})
				})
			})
		}
	}
}

// startTwoBesideRevoked starts balancers of the first data centre at the same time, and lets
// callers use them, while a sidecar restarts and the entry of its upstream is revoked.
func startTwoBesideRevoked(w *world, m *machine, balancers []*machine) {
	w.moveTo(1)
	w.store.revoke(m.upstream.id, true)
	w.check.note("entry revoked: %s", m.upstream.id)
	time.Sleep(3 * time.Second)
	for _, b := range balancers {
		w.terminate(b)
	}
	w.terminate(m)
	time.Sleep(100 * time.Millisecond)
	for _, b := range balancers {
		w.start(b)
	}
	time.Sleep(800 * time.Millisecond)
	w.moveTo(0)
	time.Sleep(restartTime)
	w.start(m)
	w.store.revoke(m.upstream.id, false)
}
