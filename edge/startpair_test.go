package edge_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/registry"
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

// TestFlowsStayWhenHearingBalancerStops guards against resets by balancers of other data centres
// when the only balancer of one that receives the heartbeats of its sidecars stops.
func TestFlowsStayWhenHearingBalancerStops(t *testing.T) {
	d := deployments[0]
	d.balancers, d.callers = []int{3, 3, 3}, 40
	playInTurn(t, 1, d, stopHearingBalancer)
}

// stopHearingBalancer cuts two of the three balancers of a data centre from its sidecars, in the
// direction towards the balancers, and stops the third one.
func stopHearingBalancer(w *world, m *machine) {
	w.moveTo((dataCentreOf(m.host) + 1) % 3)
	near := w.list(func(o *machine) bool { return isBalancer(o) && o.dataCentre == m.dataCentre })
	deaf := map[registry.Host]bool{near[0].host: true, near[1].host: true}
	sidecars := make(map[registry.Host]bool)
	for _, o := range w.list(func(o *machine) bool { return hasUpstream(o) && o.dataCentre == m.dataCentre }) {
		sidecars[o.host] = true
	}
	end := w.check.disrupt(near[:2]...)
	c := &cut{matches: func(from, to registry.Host) bool { return sidecars[from] && deaf[to] }}
	w.net.cut(c)
	w.check.note("nothing of the sidecars reaches %s and %s", near[0].name, near[1].name)
	time.Sleep(stableWindow)
	w.terminate(near[2])
	time.Sleep(stableWindow)
	w.net.mend(c)
	end()
	w.start(near[2])
	time.Sleep(time.Second)
}

// TestFlowsStayWhenOlderBalancersAreKilled guards against resets by a balancer that starts just after
// the others of its data centre were killed, and does not learn of a sidecar that stopped before,
// while the entry of its upstream is revoked.
func TestFlowsStayWhenOlderBalancersAreKilled(t *testing.T) {
	d := deployments[0]
	d.balancers, d.callers = []int{3, 3, 3}, 40
	playInTurn(t, 1, d, startBesideKilled)
}

// startBesideKilled restarts one balancer of the data centre of a sidecar, and kills the others
// before it starts, while the sidecar restarts and the entry of its upstream is revoked.
func startBesideKilled(w *world, m *machine) {
	dc := dataCentreOf(m.host)
	w.moveTo((dc + 1) % 3)
	w.store.revoke(m.upstream.id, true)
	w.check.note("entry revoked: %s", m.upstream.id)
	time.Sleep(3 * time.Second)
	near := w.list(func(o *machine) bool { return isBalancer(o) && o.dataCentre == m.dataCentre })
	w.terminate(near[0])
	w.terminate(m)
	time.Sleep(300 * time.Millisecond)
	end := w.check.disrupt(near[1:]...)
	for _, b := range near[1:] {
		w.kill(b)
	}
	time.Sleep(300 * time.Millisecond)
	w.start(near[0])
	time.Sleep(800 * time.Millisecond)
	w.moveTo(dc)
	time.Sleep(restartTime)
	w.start(m)
	w.store.revoke(m.upstream.id, false)
	for _, b := range near[1:] {
		w.start(b)
	}
	end()
}

// TestFlowsStayWhenBalancersHearOnlyEachOther guards against resets by balancers of other data
// centres when those of one, which are fewer than its sidecars, receive nothing but each other's
// heartbeats.
func TestFlowsStayWhenBalancersHearOnlyEachOther(t *testing.T) {
	d := deployments[0]
	d.balancers, d.upstreamsA, d.callers = []int{3, 3, 3}, []int{5, 5, 5}, 40
	playInTurn(t, 1, d, cutBalancersOff)
}

// cutBalancersOff cuts all balancers of a data centre from all other machines, in the direction
// towards the balancers.
func cutBalancersOff(w *world, m *machine) {
	w.moveTo((dataCentreOf(m.host) + 1) % 3)
	near := w.list(func(o *machine) bool { return isBalancer(o) && o.dataCentre == m.dataCentre })
	deaf := make(map[registry.Host]bool)
	for _, b := range near {
		deaf[b.host] = true
	}
	end := w.check.disrupt(near...)
	c := &cut{matches: func(from, to registry.Host) bool { return deaf[to] && !deaf[from] }}
	w.net.cut(c)
	w.check.note("the balancers of %s receive nothing from others", m.dataCentre)
	time.Sleep(stableWindow)
	w.net.mend(c)
	end()
	time.Sleep(time.Second)
}
