package edge_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

const (
	// returnTime is the time from the loss of a reclaimed instance until another one starts.
	returnTime = 4 * time.Second
	// quickRollInterval is the time between two restarts of a quick roll.
	quickRollInterval = 500 * time.Millisecond
	// The range of the delay of datagrams and ticks at a slow instance.
	minLag = 20 * time.Millisecond
	maxLag = 300 * time.Millisecond
	// maxSlowRestart is the longest time for which a process on a slow instance is down.
	maxSlowRestart = 3 * time.Second
)

// instanceTroubles are the troubles of instances and their links.
var instanceTroubles = []trouble{
	{3, reuseAddress},
	{3, reclaimInstance},
	{3, rebornUpstream},
	{3, cutOneWay},
	{1, cutDataCentres},
	{3, slowInstance},
	{2, killStopping},
	{2, freezeStopping},
	{3, restartSeries},
	{2, restartDataCentre},
	{1, rollSidecarsQuickly},
}

// TestFlowsStayInInstanceTroubles is like TestFlowsStayInDrawnTroubles, but draws only
// instanceTroubles and troubles that make balancers search for flows.
func TestFlowsStayInInstanceTroubles(t *testing.T) {
	playSeeds(t, (*world).disturbInstances)
}

// disturbInstances draws troubles of instances for a time.
func (w *world) disturbInstances(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		w.draw(instanceTroubles)
		time.Sleep(time.Duration(w.rand.IntN(1000)) * time.Millisecond)
		w.draw([][]trouble{moves, planned, companions}[w.rand.IntN(3)])
		time.Sleep(time.Duration(200+w.rand.IntN(2800)) * time.Millisecond)
	}
}

// reuse is how an upstream ends whose address is used again.
type reuse int

const (
	reuseDrains   reuse = iota // it drains before
	reuseDark                  // it falls silent, and its host drops attempts to connect
	reuseCrash                 // it crashes
	reuseSidecars              // it crashes, and its sidecar is killed
	reuseKinds
)

// reuseAddress ends an upstream for good. The other service uses its address afterwards.
func reuseAddress(w *world, d draws) {
	m := w.claim(d, hasUpstream)
	if m == nil {
		return
	}
	defer w.release(m)
	u, how := m.upstream, reuse(d.IntN(int(reuseKinds)))
	w.check.note("address of %s is used again, kind %d", u.id, how)
	if how == reuseDrains {
		w.drainUpstream(u)
		time.Sleep(drainTime)
	}
	defer w.check.disrupt(m)()
	switch how {
	case reuseDark:
		w.silence(u)
	default:
		u.end()
	}
	if how == reuseSidecars {
		w.kill(m)
	}
	w.reuseMachine(d, m)
}

// reuseMachine starts an upstream of the other service, and its sidecar, on a machine
// reuseTime after the loss of the one before.
func (w *world) reuseMachine(d draws, m *machine) {
	stopAt := d.between(0, reuseTime-200*time.Millisecond)
	time.Sleep(stopAt)
	if w.running(m) {
		w.terminate(m)
	}
	time.Sleep(reuseTime - stopAt)
	w.mu.Lock()
	m.service = otherService(m.service)
	w.mu.Unlock()
	w.startUpstream(m)
	w.start(m)
}

func (w *world) running(m *machine) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return m.run != nil
}

// drainUpstream lets an upstream drain.
func (w *world) drainUpstream(u *upstream) {
	w.mu.Lock()
	u.draining = true
	w.mu.Unlock()
	w.check.note("%s drains", u.id)
	u.publish()
}

// silence makes an upstream unreachable for good.
func (w *world) silence(u *upstream) {
	w.mu.Lock()
	u.state = upstreamUnreachable
	w.mu.Unlock()
	u.stop()
	w.check.note("upstream %s is dark", u.id)
}

// reclaimInstance takes up to three instances of a data centre away shortly after a notice.
func reclaimInstance(w *world, d draws) {
	dc, notice := d.IntN(3), d.between(time.Second, 2500*time.Millisecond)
	for range 1 + d.IntN(3) {
		m := w.claim(d, func(m *machine) bool { return hasUpstream(m) && dataCentreOf(m.host) == dc })
		if m == nil {
			return
		}
		one := draws{rand.New(rand.NewPCG(d.Uint64(), 3))}
		w.troubles.Go(func() { w.reclaim(one, m, notice) })
	}
}

// reclaim takes an instance away after a notice, as a whole and with or without SIGTERM,
// and starts another one later.
func (w *world) reclaim(d draws, m *machine, notice time.Duration) {
	defer w.release(m)
	u := m.upstream
	w.drainUpstream(u)
	term := time.Duration(0)
	if d.IntN(2) == 0 {
		term = d.between(0, 500*time.Millisecond)
	}
	time.Sleep(notice - term)
	if term > 0 {
		w.check.note("SIGTERM to %s", m.name)
		m.run.stop()
		time.Sleep(term)
	}
	defer w.check.disrupt(m)()
	w.check.note("instance of %s is reclaimed", m.name)
	u.end()
	w.kill(m)
	time.Sleep(returnTime)
	if d.IntN(3) == 0 {
		w.mu.Lock()
		m.service = otherService(m.service)
		w.mu.Unlock()
	}
	w.startUpstream(m)
	w.start(m)
}

// rebornUpstream cuts an instance off from all others. Its upstream crashes behind the cut
// and starts again before the cut ends.
func rebornUpstream(w *world, d draws) {
	m := w.claim(d, hasUpstream)
	if m == nil {
		return
	}
	defer w.release(m)
	defer w.check.disrupt(m)()
	c := &cut{matches: func(from, to registry.Host) bool { return from == m.host || to == m.host }}
	w.net.cut(c)
	w.check.note("%s is cut off", m.name)
	time.Sleep(d.between(100*time.Millisecond, 2*time.Second))
	m.upstream.end()
	time.Sleep(d.between(100*time.Millisecond, 2*time.Second))
	w.startUpstream(m)
	time.Sleep(d.span())
	w.net.mend(c)
	w.check.note("cut of %s ends", m.name)
}

// cutOneWay cuts a machine from all balancers of a data centre, in one direction, and may
// restart sidecars or balancers meanwhile.
func cutOneWay(w *world, d draws) {
	m := w.claim(d, anyMachine)
	if m == nil {
		return
	}
	defer w.release(m)
	dc, towards := d.IntN(3), d.IntN(2) == 0
	near := make(map[registry.Host]bool)
	for _, b := range w.list(func(o *machine) bool { return isBalancer(o) && o != m && dataCentreOf(o.host) == dc }) {
		near[b.host] = true
	}
	w.check.note("cut between %s and the balancers of data centre %d, towards them %v", m.name, dc, towards)
	if work := d.IntN(3); work > 0 {
		one := draws{rand.New(rand.NewPCG(d.Uint64(), 3))}
		w.troubles.Go(func() { []func(*world, draws){rollBalancers, rollSidecars}[work-1](w, one) })
	}
	w.holdCut(d, []*machine{m}, func(from, to registry.Host) bool {
		return towards && from == m.host && near[to] || !towards && to == m.host && near[from]
	})
}

// slowInstance makes a machine slow, and may restart its process, which takes longer then.
func slowInstance(w *world, d draws) {
	m := w.claim(d, anyMachine)
	if m == nil {
		return
	}
	defer w.release(m)
	defer w.check.disrupt(m)()
	lag := d.between(minLag, maxLag)
	w.setLag(m, lag)
	w.check.note("%s is slow by %v", m.name, lag)
	time.Sleep(d.span() / 2)
	if d.IntN(2) == 0 {
		w.restart(m, d.between(300*time.Millisecond, maxSlowRestart))
	}
	time.Sleep(d.span() / 2)
	w.setLag(m, 0)
	w.check.note("%s is fast again", m.name)
}

// setLag sets the delay of datagrams and ticks at a machine.
func (w *world) setLag(m *machine, lag time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m.lag = lag
	m.run.state.setLag(lag)
}

// killStopping kills a process shortly after SIGTERM.
func killStopping(w *world, d draws) {
	m := w.claim(d, anyMachine)
	if m == nil {
		return
	}
	defer w.release(m)
	w.check.note("SIGTERM to %s", m.name)
	m.run.stop()
	time.Sleep(d.between(0, 1500*time.Millisecond))
	defer w.check.disrupt(m)()
	w.check.note("kill of %s", m.name)
	w.kill(m)
	time.Sleep(d.pause())
	w.start(m)
}

// freezeStopping freezes a process shortly before or after SIGTERM, and starts it again.
func freezeStopping(w *world, d draws) {
	m := w.claim(d, anyMachine)
	if m == nil {
		return
	}
	defer w.release(m)
	if d.IntN(2) == 0 {
		w.check.note("SIGTERM to %s", m.name)
		m.run.stop()
		time.Sleep(d.between(0, 200*time.Millisecond))
	}
	thaw := w.freeze(m)
	time.Sleep(d.span())
	thaw()
	w.restart(m, d.pause())
}

// restartSeries restarts a process several times in a row.
func restartSeries(w *world, d draws) {
	m := w.claim(d, anyMachine)
	if m == nil {
		return
	}
	defer w.release(m)
	for range 2 + d.IntN(3) {
		w.restart(m, d.between(200*time.Millisecond, time.Second))
		time.Sleep(d.between(0, 800*time.Millisecond))
	}
}

// restartDataCentre restarts some or all sidecars of a data centre at once.
func restartDataCentre(w *world, d draws) {
	dc, count := d.IntN(3), 2+d.IntN(4)
	w.check.note("restart of up to %d sidecars of data centre %d", count, dc)
	for range count {
		m := w.claim(d, func(m *machine) bool { return hasUpstream(m) && dataCentreOf(m.host) == dc })
		if m == nil {
			return
		}
		w.restartBeside(m, d.pause())
	}
}

// restartBeside restarts a claimed machine and returns at once.
func (w *world) restartBeside(m *machine, pause time.Duration) {
	w.troubles.Go(func() {
		defer w.release(m)
		w.restart(m, pause)
	})
}

// rollSidecarsQuickly restarts all sidecars one quickRollInterval after the other, whether or not
// those before are back, while callers move.
func rollSidecarsQuickly(w *world, d draws) {
	one := draws{rand.New(rand.NewPCG(d.Uint64(), 3))}
	w.troubles.Go(func() { moveCallers(w, one) })
	for _, m := range w.list(hasUpstream) {
		if w.claim(d, func(o *machine) bool { return o == m }) == nil {
			continue
		}
		w.restartBeside(m, d.pause())
		time.Sleep(quickRollInterval)
	}
}
