package soak_test

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	seeds   = flag.Int("soak.seeds", 0, "how many further seeds TestSoak plays")
	first   = flag.Uint64("soak.first", 1, "the first of them")
	length  = flag.Duration("soak.time", 15*time.Second, "how long each of them plays")
	planned = flag.Bool("soak.planned", false, "whether they play planned changes alone")
)

// shortTime is how long the seeds of CI play.
const shortTime = 6 * time.Second

// TestSoak plays two seeds for a short while, and those that the flags ask for.
func TestSoak(t *testing.T) {
	t.Run("planned", func(t *testing.T) { playSeed(t, 1, true, shortTime) })
	t.Run("faults", func(t *testing.T) { playSeed(t, 2, false, shortTime) })
	for i := range uint64(*seeds) {
		seed := *first + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playSeed(t, seed, *planned, *length) })
	}
}

// playSeed plays one seed and fails for each broken promise.
func playSeed(t *testing.T, seed uint64, planned bool, d time.Duration) {
	w := newWorld(t, seed, planned)
	defer w.close()
	ready, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	w.awaitReady(ready)
	cancel()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	w.run(ctx)
	cancel()
	w.heal()
	router, cancel := context.WithCancel(t.Context())
	w.actions.Go(func() { w.router.Run(router) })
	w.recovers(t.Context())
	cancel()
	t.Logf("%+v, the store came back from a copy %d times", w.ledger.Totals(), w.rewinds)
	if failures := w.ledger.Violations(); len(failures) > 0 {
		w.report(failures)
	}
	must.Positive(t, w.ledger.Totals().Answered)
}

// awaitReady waits until all balancers are in rotation.
func (w *world) awaitReady(ctx context.Context) {
	checks, cancel := context.WithCancel(ctx)
	w.actions.Go(func() { w.router.Run(checks) })
	for w.router.ReadyBalancers() < len(w.balancers) {
		must.NoError(w.t, ctx.Err(), must.Sprint("balancers never became ready"))
		pause(ctx, 20*time.Millisecond)
	}
	cancel()
}

// heal waits until all changes and faults are over.
func (w *world) heal() {
	for {
		w.mu.Lock()
		busy := len(w.resting) > 0 || w.rewinding
		for _, st := range w.sites {
			busy = busy || st.busy
		}
		over := !busy && time.Now().After(w.trouble)
		w.mu.Unlock()
		if over {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}
