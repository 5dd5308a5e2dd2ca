package edge_test

import (
	"testing"
	"time"
)

// TestFlowsStayInSingleStoreTroubles guards against faults that TestFlowsStayInStoreTroubles
// found. Each case applies one combination of troubles to the machines of a quarter of the upstreams in turn.
func TestFlowsStayInSingleStoreTroubles(t *testing.T) {
	cases := map[string]func(w *world, m *machine){
		"revoked entry beside restarts of its sidecar and a balancer": restartNextToRevoked,
		"revoked entries beside starts of all balancers":              startBalancersBesideRevoked,
	}
	playCases(t, 6*time.Second, cases)
}

// slowRestartTime is how long a sidecar on a slow machine is down.
const slowRestartTime = 4 * time.Second

// restartNextToRevoked restarts a sidecar whose upstream's entry is revoked, and meanwhile
// starts the balancer of the third data centre, to which the callers move.
func restartNextToRevoked(w *world, m *machine) {
	b := w.list(func(o *machine) bool { return isBalancer(o) && dataCentreOf(o.host) == 2 })[0]
	w.terminate(b)
	id := m.upstream.id
	w.check.note("entry revoked: %s", id)
	w.store.revoke(id, true)
	w.troubles.Go(func() { w.restart(m, slowRestartTime) })
	time.Sleep(restartTime) // until no digest reports the stop of the sidecar any more
	w.start(b)
	w.moveTo(2)
	time.Sleep(slowRestartTime)
	w.store.revoke(id, false)
	w.moveTo(0)
}

// startBalancersBesideRevoked restarts all balancers of a data centre while the entries of
// another one are revoked and its balancers are gone.
func startBalancersBesideRevoked(w *world, m *machine) {
	revoked := w.list(func(o *machine) bool { return hasUpstream(o) && o.dataCentre == m.dataCentre })
	for _, o := range revoked {
		w.store.revoke(o.upstream.id, true)
	}
	w.check.note("entries of %s revoked", m.dataCentre)
	time.Sleep(3 * time.Second)
	next := (dataCentreOf(m.host) + 1) % 3
	for _, b := range w.balancers() {
		if b.dataCentre == m.dataCentre {
			w.check.disrupt(b)()
			w.kill(b)
			w.troubles.Go(func() {
				time.Sleep(slowRestartTime)
				w.start(b)
			})
		} else if dataCentreOf(b.host) == next {
			w.troubles.Go(func() { w.restart(b, 500*time.Millisecond) })
		}
	}
	time.Sleep(700 * time.Millisecond)
	w.moveTo(next)
	time.Sleep(2 * slowRestartTime)
	for _, o := range revoked {
		w.store.revoke(o.upstream.id, false)
	}
}
