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

const agreeWithin = 7 * time.Second

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

// exit ends the program on a failure outside of a test.
type exit struct{}

func (exit) Helper() {}

func (exit) Errorf(string, ...any) { os.Exit(1) }

func (exit) Fatalf(string, ...any) { os.Exit(1) }

// TestStatefulConvergence drives a fleet through faults. At any time versions
// in force never go down in a process and never differ in content at one
// number. After 7 s without a new fault all that reach each other agree.
func TestStatefulConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "near"), rapid.IntRange(1, 5).Draw(t, "far"))
		f.publish(1, 1, true)
		f.run(agreeWithin)
		s := &script{f: f, next: 2}
		t.Repeat(map[string]func(*rapid.T){
			"publish":   s.publish,
			"tamper":    s.tamper,
			"replay":    s.replay,
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
		s.calm(t)
	})
}

// script holds the actions of the test on one fleet.
type script struct {
	f    *fleet
	next uint64
}

func (s *script) any(t *rapid.T) *process {
	return rapid.SampledFrom(s.f.procs).Draw(t, "process")
}

func (s *script) publish(*rapid.T) {
	s.f.publish(s.next, 1, true)
	s.next++
}

// tamper rolls a bundle that fails the checks, at a new number or at the last one.
func (s *script) tamper(t *rapid.T) {
	s.f.publish(s.next-rapid.Uint64Range(0, 1).Draw(t, "back"), 9, false)
}

// replay rolls an older bundle again.
func (s *script) replay(t *rapid.T) {
	s.f.publish(rapid.Uint64Range(1, s.next-1).Draw(t, "sequence"), 1, true)
}

func (s *script) platform(t *rapid.T) {
	s.f.down = rapid.Bool().Draw(t, "down")
}

func (s *script) stale(t *rapid.T) {
	p := s.any(t)
	p.stale = !p.stale
}

func (s *script) cutOff(t *rapid.T) {
	p := s.any(t)
	p.cutOff = !p.cutOff
}

func (s *script) pause(t *rapid.T) {
	p := s.any(t)
	p.paused = !p.paused
}

func (s *script) restart(t *rapid.T) {
	p := s.any(t)
	if p.alive {
		s.f.kill(p)
	}
	s.f.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
	s.f.boot(p)
}

func (s *script) cut(t *rapid.T) {
	for _, p := range s.f.procs {
		p.group = rapid.IntRange(0, 2).Draw(t, "group")
	}
}

func (s *script) heal(*rapid.T) {
	for _, p := range s.f.procs {
		p.group = 0
	}
}

// list publishes a list that lacks one process, or the whole one.
func (s *script) list(t *rapid.T) {
	procs := append([]*process(nil), s.f.procs...)
	i := rapid.IntRange(0, len(procs)).Draw(t, "without")
	if i < len(procs) {
		procs = append(procs[:i], procs[i+1:]...)
	}
	s.f.publishList(procs)
}

func (s *script) latency(t *rapid.T) {
	s.f.latency = time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond
}

func (s *script) run(t *rapid.T) {
	s.f.run(time.Duration(rapid.IntRange(10, 8000).Draw(t, "ms")) * time.Millisecond)
}

func (s *script) agreement(t *rapid.T) {
	s.f.run(agreeWithin)
	if d := s.f.disagreement(); d != "" {
		t.Fatalf("no agreement: %s", d)
	}
}

func (s *script) check(t *rapid.T) {
	if len(s.f.faults) > 0 {
		t.Fatalf("invariant broken: %v", s.f.faults)
	}
}

// calm ends every fault. A new bundle is then in force everywhere within 7 s.
func (s *script) calm(t *rapid.T) {
	s.heal(t)
	s.f.down, s.f.latency = false, 20*time.Millisecond
	for _, p := range s.f.procs {
		p.stale, p.cutOff, p.paused = false, false, false
	}
	s.f.publishList(s.f.procs)
	s.f.run(30 * time.Second)
	s.f.publish(s.next, 1, true)
	s.f.run(agreeWithin)
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
