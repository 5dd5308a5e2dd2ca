package converge_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestStatefulConflictingBundles rolls two signed contents of one number, the second one
// early or late, to readers that see either, while processes are paused for a
// moment. While all reach each other one content comes into force everywhere
// and the other one nowhere.
func TestStatefulConflictingBundles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "near"), rapid.IntRange(1, 6).Draw(t, "far"))
		f.publish(1, 1, true)
		f.run(agreeWithin)
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
		f.run(pausesEnd + agreeWithin)
		if len(f.faults) > 0 {
			t.Fatalf("invariant broken: %v", f.faults)
		}
		if d := f.disagreement(); d != "" {
			t.Fatalf("no agreement: %s", d)
		}
		if f.procs[0].inForce.Sequence != 2 {
			t.Fatalf("in force is %v, want number 2", f.procs[0].inForce)
		}
	})
}

// pausesEnd is when the last pause is over.
const pausesEnd = 6 * time.Second

// pause stops p for a moment, or not at all.
func pause(t *rapid.T, f *fleet, p *process) {
	if rapid.IntRange(0, 2).Draw(t, "pause") > 0 {
		return
	}
	begin := time.Duration(rapid.IntRange(0, 3000).Draw(t, "begin")) * time.Millisecond
	length := time.Duration(rapid.IntRange(0, 3000).Draw(t, "length")) * time.Millisecond
	f.after(begin, func() { p.paused = true })
	f.after(begin+length, func() { p.paused = false })
}
