package edge_test

import (
	"testing"
	"time"
)

// TestFlowsStayBesideOutdatedEntries guards against faults of balancers that remember another
// upstream for a flow than the one that holds it, since that one did not answer the opening in time.
func TestFlowsStayBesideOutdatedEntries(t *testing.T) {
	cases := map[string]func(w *world, m *machine){
		"another upstream is frozen":  searchBesideFrozen,
		"the former upstream is lost": loseFormer,
	}
	playCases(t, 8*time.Second, cases)
}

// moveOpenings freezes an upstream while callers move back and forth, so that openings that it
// does not answer are repeated in another data centre, which the callers stay in.
func moveOpenings(w *world, m *machine) {
	dc := dataCentreOf(m.host)
	defer w.check.disrupt(m)()
	w.moveTo(dc)
	w.freezeUpstream(m, true)
	for range 8 {
		time.Sleep(150 * time.Millisecond)
		w.moveTo((dc + 1) % 3)
		time.Sleep(150 * time.Millisecond)
		w.moveTo(dc)
	}
	w.moveTo((dc + 1) % 3)
	w.freezeUpstream(m, false)
	time.Sleep(time.Second)
}

// searchBesideFrozen moves callers back to a data centre in which another upstream is frozen.
func searchBesideFrozen(w *world, m *machine) {
	moveOpenings(w, m)
	dc := dataCentreOf(m.host)
	for _, other := range w.list(func(o *machine) bool { return hasUpstream(o) && o != m && dataCentreOf(o.host) == dc }) {
		end := w.check.disrupt(other)
		w.freezeUpstream(other, true)
		w.moveTo(dc)
		time.Sleep(stableWindow)
		w.moveTo((dc + 1) % 3)
		w.freezeUpstream(other, false)
		end()
	}
}

// loseFormer moves callers back while the sidecar of the upstream that did not answer their
// openings is lost.
func loseFormer(w *world, m *machine) {
	moveOpenings(w, m)
	defer w.check.disrupt(m)()
	w.check.note("kill of %s", m.name)
	w.kill(m)
	time.Sleep(1500 * time.Millisecond)
	w.moveTo(dataCentreOf(m.host))
	time.Sleep(1500 * time.Millisecond)
	w.start(m)
}

// freezeUpstream freezes an upstream, or lets it continue.
func (w *world) freezeUpstream(m *machine, frozen bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m.upstream.state = upstreamRuns
	if frozen {
		m.upstream.state = upstreamFrozen
	}
}
