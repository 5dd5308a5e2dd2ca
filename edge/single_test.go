package edge_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/shoenig/test/must"
)

// restartTime is how long a restarted sidecar is down.
const restartTime = 1500 * time.Millisecond

// TestFlowsStayInSingleTroubles guards against faults that TestFlowsStayInDrawnTroubles
// found. Each case applies one combination of troubles to the machines of half of the upstreams in turn.
func TestFlowsStayInSingleTroubles(t *testing.T) {
	cases := map[string]func(w *world, m *machine){
		"lost announcement of a stop":    loseAnnouncement,
		"search past a frozen upstream":  searchPastFrozen,
		"search during a restart":        searchDuringRestart,
		"restart beside a revoked entry": restartWhileRevoked,
	}
	for name, apply := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 1, deployments[0])
				for i, m := range w.list(hasUpstream) {
					if i%2 == 0 {
						apply(w, m)
						time.Sleep(stableWindow)
					}
				}
				w.end()
				w.report()
				must.SliceEmpty(t, w.check.exempt)
			})
		})
	}
}

// bounce restarts the sidecar of a machine.
func (w *world) bounce(m *machine) {
	w.terminate(m)
	time.Sleep(restartTime)
	w.start(m)
}

// loseAnnouncement restarts a sidecar whose announcement to one balancer is lost.
func loseAnnouncement(w *world, m *machine) {
	near := w.list(func(o *machine) bool { return o.service == "" && o.dataCentre == m.dataCentre })
	c := &cut{matches: func(from, to registry.Host) bool { return from == m.host && to == near[0].host }}
	w.net.cut(c)
	time.AfterFunc(100*time.Millisecond, func() { w.net.mend(c) })
	w.bounce(m)
}

// moveAll lets all callers send their packets to another data centre than the one of m.
func (w *world) moveAll(m *machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.callers {
		c.dataCentre = (dataCentreOf(m.host) + 1) % 3
	}
	w.check.note("all callers move")
}

// searchPastFrozen freezes an upstream and moves the callers, so that flows of others in its
// data centre are searched for.
func searchPastFrozen(w *world, m *machine) {
	end := w.check.disrupt(m)
	defer end()
	w.mu.Lock()
	m.upstream.state = upstreamFrozen
	w.mu.Unlock()
	time.Sleep(500 * time.Millisecond)
	w.moveAll(m)
	time.Sleep(4 * time.Second)
	w.mu.Lock()
	m.upstream.state = upstreamRuns
	w.mu.Unlock()
}

// searchDuringRestart moves the callers while a sidecar restarts.
func searchDuringRestart(w *world, m *machine) {
	time.AfterFunc(500*time.Millisecond, func() { w.moveAll(m) })
	w.bounce(m)
}

// restartWhileRevoked restarts a sidecar, and moves the callers, while the entry of its
// upstream is missing from the store although the upstream runs.
func restartWhileRevoked(w *world, m *machine) {
	w.store.revoke(m.upstream.id, true)
	time.Sleep(3 * time.Second)
	searchDuringRestart(w, m)
	w.store.revoke(m.upstream.id, false)
}
