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
	seedCount = flag.Int("soak.seeds", 0, "number of additional seeds that TestSoak runs")
	firstSeed = flag.Uint64("soak.first", 1, "first additional seed")
	duration  = flag.Duration("soak.time", 15*time.Second, "duration of each additional seed")
	planned   = flag.Bool("soak.planned", false, "run additional seeds with planned changes only, without faults")

	large        = flag.Bool("soak.large", false, "run additional seeds with the processes of largeSize")
	otherProgram = flag.String("soak.other", "", "program of another build that processes are also started with; empty selects the present code with version 1 of the messages")
)

// shortDuration is the duration of the two default seeds, which run in CI.
const shortDuration = 6 * time.Second

// lateVersions is a seed in which versions of the routes went back.
const lateVersions = 68003

// TestSoak runs two seeds for shortDuration, lateVersions, and those that the flags select.
func TestSoak(t *testing.T) {
	t.Run("planned", func(t *testing.T) { runSeed(t, 1, true, smallSize, shortDuration) })
	t.Run("faults", func(t *testing.T) { runSeed(t, 2, false, smallSize, shortDuration) })
	t.Run("versions", func(t *testing.T) { runSeed(t, lateVersions, false, smallSize, 15*time.Second) })
	for i := range uint64(*seedCount) {
		seed := *firstSeed + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, seed, *planned, selectedSize(), *duration) })
	}
}

// largeSize is the size of the largest deployment: about as many processes as a host bears.
var largeSize = size{balancers: 59, fitting: 109, report: 27, dataCentres: 5, callers: 10, readyTime: 90 * time.Second}

// selectedSize returns the size of the deployments of additional seeds.
func selectedSize() size {
	if *large {
		return largeSize
	}
	return smallSize
}

// runSeed runs one seed and fails for each violation of a guarantee.
func runSeed(t *testing.T, seed uint64, plannedOnly bool, sz size, d time.Duration) {
	tb := newTestbed(t, seed, plannedOnly, sz)
	defer tb.close()
	ready, cancel := context.WithTimeout(t.Context(), sz.readyTime)
	tb.awaitReady(ready)
	cancel()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	tb.runLoad(ctx)
	cancel()
	tb.awaitIdle()
	router, cancel := context.WithCancel(t.Context())
	tb.actions.Go(func() { tb.router.Run(router) })
	tb.checkRecovery(t.Context())
	cancel()
	t.Logf("%+v; the store was restored from a copy %d times; the other build was started %d times", tb.checker.Totals(), tb.restores, tb.others)
	for _, p := range tb.processes() {
		p.kill() // completes its log
	}
	tb.checkLogs()
	tb.checkVersions()
	if failures := tb.checker.Violations(); len(failures) > 0 {
		tb.reportFailures(failures)
	}
	must.Positive(t, tb.checker.Totals().Answered)
}

// awaitReady waits until the router reports all balancers as ready.
func (tb *testbed) awaitReady(ctx context.Context) {
	checks, cancel := context.WithCancel(ctx)
	tb.actions.Go(func() { tb.router.Run(checks) })
	for tb.router.ReadyBalancers() < len(tb.balancers) {
		must.NoError(tb.t, ctx.Err(), must.Sprint("balancers did not become ready"))
		pause(ctx, 20*time.Millisecond)
	}
	cancel()
}

// awaitIdle waits until all changes and faults have ended.
func (tb *testbed) awaitIdle() {
	for {
		tb.mu.Lock()
		busy := len(tb.busyProcesses) > 0 || tb.restoring
		for _, st := range tb.sites {
			busy = busy || st.busy
		}
		over := !busy && time.Now().After(tb.lastFault)
		tb.mu.Unlock()
		if over {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}
