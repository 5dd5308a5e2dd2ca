package converge_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestStatefulConflictingBundles publishes two signed bundles with the same
// sequence, the second after a random delay, and each reader sees either of them
// while processes pause briefly. Since all processes reach each other, one
// bundle must come into force everywhere and the other one nowhere.
func TestStatefulConflictingBundles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "near"), rapid.IntRange(1, 6).Draw(t, "far"))
		f.publish(1, 1, true)
		f.run(agreementTimeout)
		f.latency = time.Duration(rapid.IntRange(1, 60).Draw(t, "latency")) * time.Millisecond
		first := rapid.IntRange(1, 2).Draw(t, "first")
		f.publish(2, byte(first), true)
		for _, p := range f.procs {
			pause(t, f, p)
		}
		f.run(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
		f.publish(2, byte(3-first), true)
		for _, p := range f.procs {
			p.stale = rapid.Bool().Draw(t, "stale")
		}
		f.run(pauseWindow + agreementTimeout)
		if len(f.violations) > 0 {
			t.Fatalf("invariant violated: %v", f.violations)
		}
		if d := f.disagreement(); d != "" {
			t.Fatalf("processes did not converge: %s", d)
		}
		if f.procs[0].inForce.Sequence != 2 {
			t.Fatalf("in force is %v, want sequence 2", f.procs[0].inForce)
		}
	})
}

// pauseWindow is the time within which all pauses end.
const pauseWindow = 6 * time.Second

// pause pauses p for up to 3 s with a probability of 1/3.
func pause(t *rapid.T, f *fleet, p *process) {
	if rapid.IntRange(0, 2).Draw(t, "pause") > 0 {
		return
	}
	begin := time.Duration(rapid.IntRange(0, 3000).Draw(t, "begin")) * time.Millisecond
	length := time.Duration(rapid.IntRange(0, 3000).Draw(t, "length")) * time.Millisecond
	f.schedule(begin, func() { p.paused = true })
	f.schedule(begin+length, func() { p.paused = false })
}
