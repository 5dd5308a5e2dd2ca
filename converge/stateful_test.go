package converge_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/converge"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const agreementTimeout = 7 * time.Second

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		must.NoError(exit{}, f.Value.Set("1"))
	}
	must.NoError(exit{}, flag.Lookup("rapid.nofailfile").Value.Set("true"))
	checks := flag.Lookup("rapid.checks")
	if checks.Value.String() == checks.DefValue {
		must.NoError(exit{}, checks.Value.Set("50"))
	}
	os.Exit(m.Run())
}

// exit implements must.T. It ends the program on a failure outside of a test.
type exit struct{}

func (exit) Helper() {}

func (exit) Errorf(string, ...any) { os.Exit(1) }

func (exit) Fatalf(string, ...any) { os.Exit(1) }

// TestStatefulConvergence injects faults into a fleet. At any time the sequence in
// force must not decrease in a process, and its content must not differ between
// processes. Within 7 s without a new fault all processes that reach each other
// must have the same bundle in force.
func TestStatefulConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "near"), rapid.IntRange(1, 5).Draw(t, "far"))
		f.publish(1, 1, true)
		f.run(agreementTimeout)
		s := &actions{f: f, next: 2}
		t.Repeat(map[string]func(*rapid.T){
			"publish":   s.publish,
			"tamper":    s.publishInvalid,
			"replay":    s.republishOld,
			"platform":  s.platform,
			"stale":     s.stale,
			"cutoff":    s.cutOff,
			"pause":     s.pause,
			"restart":   s.restart,
			"cut":       s.cut,
			"heal":      s.heal,
			"list":      s.list,
			"latency":   s.latency,
			"run":       s.run,
			"agreement": s.agreement,
			"":          s.check,
		})
		s.endFaults(t)
	})
}

// actions implements the random actions of the test on a fleet.
type actions struct {
	f    *fleet
	next uint64
}

func (s *actions) randomProcess(t *rapid.T) *process {
	return rapid.SampledFrom(s.f.procs).Draw(t, "process")
}

func (s *actions) publish(*rapid.T) {
	s.f.publish(s.next, 1, true)
	s.next++
}

// publishInvalid publishes a bundle that fails verification, with the next or the last sequence.
func (s *actions) publishInvalid(t *rapid.T) {
	s.f.publish(s.next-rapid.Uint64Range(0, 1).Draw(t, "back"), 9, false)
}

// republishOld publishes an older bundle again.
func (s *actions) republishOld(t *rapid.T) {
	s.f.publish(rapid.Uint64Range(1, s.next-1).Draw(t, "sequence"), 1, true)
}

func (s *actions) platform(t *rapid.T) {
	s.f.down = rapid.Bool().Draw(t, "down")
}

func (s *actions) stale(t *rapid.T) {
	p := s.randomProcess(t)
	p.stale = !p.stale
}

func (s *actions) cutOff(t *rapid.T) {
	p := s.randomProcess(t)
	p.unreachable = !p.unreachable
}

func (s *actions) pause(t *rapid.T) {
	p := s.randomProcess(t)
	p.paused = !p.paused
}

func (s *actions) restart(t *rapid.T) {
	p := s.randomProcess(t)
	if p.alive {
		s.f.kill(p)
	}
	s.f.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
	s.f.start(p)
}

func (s *actions) cut(t *rapid.T) {
	for _, p := range s.f.procs {
		p.partition = rapid.IntRange(0, 2).Draw(t, "group")
	}
}

func (s *actions) heal(*rapid.T) {
	for _, p := range s.f.procs {
		p.partition = 0
	}
}

// list publishes the complete instance list or one that lacks a process.
func (s *actions) list(t *rapid.T) {
	procs := append([]*process(nil), s.f.procs...)
	i := rapid.IntRange(0, len(procs)).Draw(t, "without")
	if i < len(procs) {
		procs = append(procs[:i], procs[i+1:]...)
	}
	s.f.publishList(procs)
}

func (s *actions) latency(t *rapid.T) {
	s.f.latency = time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond
}

func (s *actions) run(t *rapid.T) {
	s.f.run(time.Duration(rapid.IntRange(10, 8000).Draw(t, "ms")) * time.Millisecond)
}

func (s *actions) agreement(t *rapid.T) {
	s.f.run(agreementTimeout)
	if d := s.f.disagreement(); d != "" {
		t.Fatalf("processes did not converge: %s", d)
	}
}

func (s *actions) check(t *rapid.T) {
	if len(s.f.violations) > 0 {
		t.Fatalf("invariant violated: %v", s.f.violations)
	}
}

// endFaults ends all faults and checks that, 30 s later, a new bundle comes into
// force everywhere within 7 s.
func (s *actions) endFaults(t *rapid.T) {
	s.heal(t)
	s.f.down, s.f.latency = false, 20*time.Millisecond
	for _, p := range s.f.procs {
		p.stale, p.unreachable, p.paused = false, false, false
	}
	s.f.publishList(s.f.procs)
	s.f.run(30 * time.Second)
	s.f.publish(s.next, 1, true)
	s.f.run(agreementTimeout)
	s.check(t)
	for _, p := range s.f.procs {
		if p.inForce != s.f.view.bundle {
			t.Fatalf("%s has %v, the platform has %v", p.name, p.inForce, s.f.view.bundle)
		}
		if p.state != converge.StateReady || p.isolated {
			t.Fatalf("%s is %v, isolated %v", p.name, p.state, p.isolated)
		}
	}
}
