package edge_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/shoenig/test/must"
)

const (
	maxLateness  = 6 * time.Second // of a write that the store does late
	maxAnswerLag = 4 * time.Second // of outdated answers
	silentWatch  = time.Second     // before the store drops its history
	// maxClockStep is how far the clock of a machine is set forward or back.
	maxClockStep = 2400 * time.Millisecond
)

// storeTroubles are the troubles of the store and of clocks. Most of them meet planned work.
var storeTroubles = []trouble{
	{3, lapseEntries}, {3, delayAnswers}, {3, compactStore}, {3, delayWrites}, {4, revokeDataCentre}, {2, stepClocks},
}

// TestFlowsStayInStoreTroubles is like TestFlowsStayInDrawnTroubles, with mostly troubles of
// the store and of clocks.
func TestFlowsStayInStoreTroubles(t *testing.T) {
	playSeeds(t, (*world).disturbStore)
}

// disturbStore draws troubles of the store, with planned work and callers that move, for a time.
func (w *world) disturbStore(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		w.draw(storeTroubles)
		time.Sleep(time.Duration(w.rand.IntN(2500)) * time.Millisecond)
		switch w.rand.IntN(3) {
		case 0:
			w.draw(planned)
		case 1:
			w.draw(moves)
			time.Sleep(time.Duration(w.rand.IntN(600)) * time.Millisecond)
			w.draw(companions)
		}
		time.Sleep(time.Duration(200+w.rand.IntN(2800)) * time.Millisecond)
	}
}

// beside starts a trouble with draws of its own beside the present one.
func (w *world) beside(d draws, run func(*world, draws)) {
	own := draws{rand.New(rand.NewPCG(d.Uint64(), 2))}
	w.troubles.Go(func() { run(w, own) })
}

// lapseEntries takes the store away until entries have expired, and lets planned work meet
// its return.
func lapseEntries(w *world, d draws) {
	end := w.check.disrupt(nil)
	fault := []storeFault{storeFails, storeSilent}[d.IntN(2)]
	w.check.note("store away until entries expire, fault %d", fault)
	w.store.setFault(fault, false)
	time.Sleep(3*w.store.heartbeat + leaseLag + d.between(0, 4*time.Second))
	w.besidePlanned(d)
	time.Sleep(d.between(0, 1500*time.Millisecond))
	w.store.setFault(storeAnswers, false)
	w.check.note("store back without the entries that expired")
	end()
}

// besidePlanned starts planned work, and may move callers.
func (w *world) besidePlanned(d draws) {
	list := []func(*world, draws){restartSidecar, rollSidecars, rollBalancers, replaceUpstream, moveCallers, emptyDataCentre}
	w.beside(d, list[d.IntN(len(list))])
	w.beside(d, list[d.IntN(len(list))])
}

// delayAnswers makes what the store answers to some processes outdated.
func delayAnswers(w *world, d draws) {
	defer w.check.disrupt(nil)()
	lag := d.between(time.Second, maxAnswerLag)
	list := w.list(func(*machine) bool { return d.IntN(2) == 0 })
	w.check.note("answers to %d processes are %v late", len(list), lag)
	for _, m := range list {
		w.store.setLag(m.host, lag)
	}
	w.besidePlanned(d)
	time.Sleep(d.span())
	for _, m := range list {
		w.store.setLag(m.host, 0)
	}
	w.check.note("answers are current")
}

// compactStore keeps changes from watches for a time, drops them, and gives outdated lists.
func compactStore(w *world, d draws) {
	defer w.check.disrupt(nil)()
	w.check.note("watches get no changes")
	w.store.silenceWatches()
	w.besidePlanned(d)
	changeRoutes(w, d)
	time.Sleep(silentWatch)
	w.store.compact()
	w.check.note("history dropped, lists are outdated")
	time.Sleep(d.span())
	w.store.endCompaction()
	w.check.note("lists are current")
}

// delayWrites lets the store do writes late, or not answer them, while upstreams are replaced.
func delayWrites(w *world, d draws) {
	defer w.check.disrupt(nil)()
	fault := []writeFault{writesUnanswered, writesLate}[d.IntN(2)]
	w.check.note("writes are not answered, fault %d", fault)
	w.store.setWriteFault(fault)
	w.beside(d, replaceUpstream)
	w.besidePlanned(d)
	time.Sleep(d.between(minTrouble, 2*maxTrouble))
	w.store.setWriteFault(writesAnswered)
	w.check.note("writes are answered")
}

// revokeDataCentre removes the entries of all upstreams of a data centre for a time, while its
// processes are restarted.
func revokeDataCentre(w *world, d draws) {
	dc := d.IntN(3)
	list := w.list(func(m *machine) bool { return m.upstream != nil && dataCentreOf(m.host) == dc })
	defer w.check.disruptEntries(list...)()
	var ids []string
	w.mu.Lock()
	for _, m := range list {
		if m.upstream != nil {
			ids = append(ids, m.upstream.id)
		}
	}
	w.mu.Unlock()
	w.check.note("entries of data centre %d revoked", dc)
	for _, id := range ids {
		w.store.revoke(id, true)
	}
	end := time.Now().Add(d.between(minTrouble, maxRevocation))
	work := []func(*world, draws){
		rollSidecars, replaceUpstream, moveCallers, emptyDataCentre,
		func(w *world, d draws) { w.roll(d, isBalancer) },
		func(w *world, d draws) {
			w.roll(d, func(m *machine) bool { return hasUpstream(m) && dataCentreOf(m.host) == dc })
		},
	}
	for time.Now().Before(end) {
		w.beside(d, work[d.IntN(len(work))])
		time.Sleep(min(time.Until(end), d.between(300*time.Millisecond, 3*time.Second)))
	}
	for _, id := range ids {
		w.store.revoke(id, false)
	}
	w.check.note("entries of data centre %d may return", dc)
}

// stepClocks sets the clocks of some machines forward or back, and back again after a time in
// which upstreams are replaced.
func stepClocks(w *world, d draws) {
	list := w.list(func(*machine) bool { return d.IntN(3) == 0 })
	step := []time.Duration{-maxClockStep, maxClockStep}[d.IntN(2)]
	w.stepClock(list, step)
	w.beside(d, replaceUpstream)
	w.beside(d, silenceUpstream)
	time.Sleep(d.span())
	w.stepClock(list, -step)
}

// stepClock changes the clocks of machines.
func (w *world) stepClock(list []*machine, step time.Duration) {
	w.check.disrupt(list...)()
	w.mu.Lock()
	for _, m := range list {
		m.step += step
	}
	w.mu.Unlock()
	w.check.note("clocks of %d machines step by %v", len(list), step)
}

// setLag sets how far the answers to a process are behind.
func (s *store) setLag(h registry.Host, lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.lags[h] = lag
}

// silenceWatches makes watches return no further changes.
func (s *store) silenceWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.silentAfter = s.revision
}

// compact drops the changes since silenceWatches, and makes reads return the list from before.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.compacted, s.history.staleAfter = s.revision, s.history.silentAfter
	s.history.silentAfter = math.MaxUint64
}

// endCompaction makes reads return the present list.
func (s *store) endCompaction() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.staleAfter = math.MaxUint64
}

// setWriteFault sets what happens to writes.
func (s *store) setWriteFault(f writeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes = f
}

// TestOutdatedAnswersOfStore guards against a store of the tests that answers outdated reads
// with present content.
func TestOutdatedAnswersOfStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore(1, time.Second)
		h := registry.Host{10, 0, 1, 1}
		c := client{store: s, host: h, state: new(processState)}
		s.publish(1, nil)
		s.write(registry.Upstream{ID: "a"})
		time.Sleep(time.Second)
		s.write(registry.Upstream{ID: "b"})
		s.remove("a")
		s.setLag(h, 500*time.Millisecond)
		u, err := c.Read(t.Context())
		must.NoError(t, err)
		must.Eq(t, []string{"a"}, keysOf(u))
		u, err = c.Watch(t.Context(), u.State)
		must.NoError(t, err)
		must.Eq(t, []string{"b", "a"}, keysOf(u))
		must.Eq(t, 4, int(u.State.Revision))
	})
}

func keysOf(u registry.Update) []string {
	var keys []string
	for _, c := range u.Changes {
		keys = append(keys, c.Key)
	}
	return keys
}
