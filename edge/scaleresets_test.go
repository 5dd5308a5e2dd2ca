package edge_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

const (
	// shortFreeze and longFreeze bound freezes of about the time after which processes count
	// as lost.
	shortFreeze = 800 * time.Millisecond
	longFreeze  = 1300 * time.Millisecond
	// lateRestart bounds how long a sidecar with a late start is down. It is longer than the
	// time after which a stopped sidecar does not count as restarting any more.
	lateRestart = 16 * time.Second
)

// The troubles that concern balancers of one data centre at once, and sidecars beside them.
var (
	resetPlans = []trouble{
		{4, rollBesideStops}, {3, startTogether}, {3, startBesideRevoked}, {2, returnLate}, {2, rollBalancersTogether}, {2, replaceBalancers}, {1, releaseShare},
	}
	resetFaults = []trouble{
		{3, freezeBalancers}, {3, cutSeveralOneWay}, {2, killBalancers}, {2, revokeEntries}, {1, killProcess},
	}
)

// TestFlowsStayInBalancerStarts guards against resets of open flows by balancers that start
// together, or that lack announcements and reports because their peers start and stop, too.
func TestFlowsStayInBalancerStarts(t *testing.T) {
	playSeedsOn(t, scaledDeployments, func(w *world, d time.Duration) { w.disturbWith(d, resetPlans, moves) })
}

// TestFlowsStayInBalancerTroubles is like TestFlowsStayInBalancerStarts, with disruptions of
// several balancers beside.
func TestFlowsStayInBalancerTroubles(t *testing.T) {
	playSeedsOn(t, scaledDeployments, func(w *world, d time.Duration) { w.disturbWith(d, resetPlans, resetFaults, moves) })
}

// claimIn claims up to n of the machines of a data centre that match.
func (w *world) claimIn(d draws, dc, n int, match func(m *machine) bool) []*machine {
	var list []*machine
	for range n {
		m := w.claim(d, func(m *machine) bool { return dataCentreOf(m.host) == dc && match(m) })
		if m == nil {
			break
		}
		list = append(list, m)
	}
	return list
}

// rollBesideStops restarts several balancers of a data centre, and some of its sidecars so that
// they stop when the balancers have just started.
func rollBesideStops(w *world, d draws) {
	dc := d.IntN(3)
	balancers := w.claimIn(d, dc, 2+d.IntN(8), isBalancer)
	sidecars := w.claimIn(d, dc, 1+d.IntN(4), hasUpstream)
	w.check.note("restart of %d balancers and %d sidecars of data centre %d", len(balancers), len(sidecars), dc)
	gap := d.between(0, 200*time.Millisecond)
	for _, b := range balancers {
		w.restartBeside(b, d.pause())
		time.Sleep(gap)
	}
	for _, m := range sidecars {
		time.Sleep(d.between(0, 1500*time.Millisecond))
		w.restartBeside(m, d.pause())
	}
}

// startTogether stops several balancers of a data centre, and starts them at the same moment
// beside sidecars of all data centres that restart.
func startTogether(w *world, d draws) {
	dc := d.IntN(3)
	w.startAtOnce(d, dc, w.claimIn(d, dc, 2+d.IntN(8), isBalancer))
}

// startAtOnce restarts claimed balancers, which start at the same moment while sidecars that
// stopped shortly before are down.
func (w *world) startAtOnce(d draws, dc int, balancers []*machine) {
	w.check.note("%d balancers of data centre %d start at once", len(balancers), dc)
	ended := make(chan struct{}, len(balancers))
	for _, b := range balancers {
		w.troubles.Go(func() {
			w.terminate(b)
			ended <- struct{}{}
		})
	}
	for range balancers {
		<-ended
	}
	for range 1 + d.IntN(4) {
		if m := w.claim(d, hasUpstream); m != nil {
			w.restartBeside(m, d.between(time.Second, 1800*time.Millisecond))
		}
	}
	time.Sleep(d.between(0, time.Second))
	for _, b := range balancers {
		w.start(b)
		w.release(b)
		time.Sleep(d.between(0, 20*time.Millisecond))
	}
	if d.IntN(2) == 0 {
		time.Sleep(d.between(0, 1500*time.Millisecond))
		w.moveTo(dc)
		time.Sleep(d.between(0, 3*time.Second))
		w.moveHome()
	}
}

// moveHome lets all callers send their packets to the data centres in which they began.
func (w *world) moveHome() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.callers {
		c.dataCentre = int(c.host[2])
	}
	w.check.note("all callers move back")
}

// startBesideRevoked is like startTogether while the entries of live upstreams are revoked.
func startBesideRevoked(w *world, d draws) {
	list := w.list(func(m *machine) bool { return m.upstream != nil && d.IntN(2) == 0 })
	defer w.check.disruptEntries(list...)()
	var ids []string
	w.mu.Lock()
	for _, m := range list {
		if m.upstream != nil {
			ids = append(ids, m.upstream.id)
		}
	}
	w.mu.Unlock()
	w.check.note("entries revoked: %v", ids)
	for _, id := range ids {
		w.store.revoke(id, true)
	}
	time.Sleep(d.between(0, 3*time.Second))
	dc := d.IntN(3)
	w.startAtOnce(d, dc, w.claimIn(d, dc, 2+d.IntN(8), isBalancer))
	time.Sleep(d.between(0, 3*time.Second))
	for _, id := range ids {
		w.store.revoke(id, false)
	}
	w.check.note("entries may return: %v", ids)
}

// returnLate restarts a sidecar that is down for up to lateRestart, and may revoke the entry of
// its upstream meanwhile.
func returnLate(w *world, d draws) {
	m := w.claim(d, hasUpstream)
	if m == nil {
		return
	}
	defer w.release(m)
	if id := m.upstream.id; d.IntN(2) == 0 {
		defer w.check.disruptEntries(m)()
		w.check.note("entry revoked: %s", id)
		w.store.revoke(id, true)
		defer w.store.revoke(id, false)
	}
	w.restart(m, d.between(2*time.Second, lateRestart))
}

// replaceBalancers removes some balancers of a data centre while others are added there.
func replaceBalancers(w *world, d draws) {
	dc := d.IntN(3)
	for range 1 + d.IntN(maxAtOnce) {
		w.beside(d.own(), removeBalancer)
		if len(w.list(anyMachine)) < w.maxMachines {
			w.start(w.addMachine(dc, ""))
		}
	}
}

// freezeBalancers freezes several balancers of a data centre for about the time after which
// processes count as lost.
func freezeBalancers(w *world, d draws) {
	for _, m := range w.claimIn(d, d.IntN(3), 1+d.IntN(8), isBalancer) {
		length := d.between(shortFreeze, longFreeze)
		w.troubles.Go(func() {
			defer w.release(m)
			defer w.freeze(m)()
			time.Sleep(length)
		})
	}
}

// killBalancers kills several balancers of a data centre at the same time.
func killBalancers(w *world, d draws) {
	for _, m := range w.claimIn(d, d.IntN(3), 1+d.IntN(8), isBalancer) {
		pause := d.pause()
		w.troubles.Go(func() {
			defer w.release(m)
			defer w.check.disrupt(m)()
			w.check.note("kill of %s", m.name)
			w.kill(m)
			time.Sleep(pause)
			w.start(m)
		})
	}
}

// cutSeveralOneWay cuts some balancers in one direction from all others, or from the sidecars.
func cutSeveralOneWay(w *world, d draws) {
	list := w.claimIn(d, d.IntN(3), 1+d.IntN(6), isBalancer)
	if len(list) == 0 {
		return
	}
	near, others := make(map[registry.Host]bool), make(map[registry.Host]bool)
	for _, m := range list {
		defer w.release(m)
		near[m.host] = true
	}
	match := [](func(m *machine) bool){anyMachine, hasUpstream}[d.IntN(2)]
	for _, m := range w.list(match) {
		others[m.host] = !near[m.host]
	}
	towards := d.IntN(2) == 0
	w.check.note("cut of %d balancers from %d machines, towards them %v", len(list), len(others), towards)
	w.holdCut(d, list, func(from, to registry.Host) bool {
		return towards && near[to] && others[from] || !towards && near[from] && others[to]
	})
}
