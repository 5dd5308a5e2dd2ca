package converge_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/shoenig/test/must"
)

// TestScenarios runs the scripts in testdata:
//
//	fleet dcs=(3,2)             starts processes in data centres
//	publish seq=2 content=1     publishes a bundle; bad makes its signatures invalid
//	platform down|up            stops or starts the platform
//	reader NAME stale|cutoff|honest
//	                            sets what a reader receives: old values, no answer, current values
//	pause|wake|restart|kill NAME...
//	cut NAME...                 moves the processes to a network partition of their own
//	heal                        ends the partition
//	run for=7s                  advances the virtual time
//	status                      prints the processes by state and bundle in force
//	readers                     prints the processes that read the platform
//	calls limit=N               prints whether at most N platform calls were made since the last calls
//	faults                      prints the violated invariants
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &scenario{t: t}
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			return s.run(d)
		})
	})
}

type scenario struct {
	t     *testing.T
	f     *fleet
	calls int
}

func (s *scenario) run(d *datadriven.TestData) string {
	switch d.Cmd {
	case "fleet":
		var counts []int
		for _, v := range d.CmdArgs[0].Vals {
			n := 0
			_, err := fmt.Sscan(v, &n)
			must.NoError(s.t, err)
			counts = append(counts, n)
		}
		s.f = newFleet(1, counts...)
	case "publish":
		var sequence, content int
		d.ScanArgs(s.t, "seq", &sequence)
		d.ScanArgs(s.t, "content", &content)
		s.f.publish(uint64(sequence), byte(content), !d.HasArg("bad"))
	case "platform":
		s.f.down = d.HasArg("down")
	case "reader":
		p := s.f.proc(d.CmdArgs[0].Key)
		p.stale, p.unreachable = d.HasArg("stale"), d.HasArg("cutoff")
	case "pause", "wake", "restart", "kill", "cut":
		s.applyToProcesses(d)
	case "heal":
		for _, p := range s.f.procs {
			p.partition = 0
		}
	case "run":
		var length string
		d.ScanArgs(s.t, "for", &length)
		span, err := time.ParseDuration(length)
		must.NoError(s.t, err)
		s.f.run(span)
	default:
		return s.report(d)
	}
	return ""
}

func (s *scenario) applyToProcesses(d *datadriven.TestData) {
	for _, a := range d.CmdArgs {
		p := s.f.proc(a.Key)
		switch d.Cmd {
		case "pause", "wake":
			p.paused = d.Cmd == "pause"
		case "cut":
			p.partition = 1
		case "kill":
			s.f.kill(p)
		case "restart":
			s.f.kill(p)
			s.f.start(p)
		}
	}
}

func (s *scenario) report(d *datadriven.TestData) string {
	switch d.Cmd {
	case "status":
		return s.status()
	case "readers":
		var names []string
		for _, p := range s.f.procs {
			if p.alive && p.reading {
				names = append(names, p.name)
			}
		}
		return strings.Join(names, " ") + "\n"
	case "calls":
		var limit int
		d.ScanArgs(s.t, "limit", &limit)
		made := s.f.calls - s.calls
		s.calls = s.f.calls
		if made > limit {
			return fmt.Sprintf("%d calls\n", made)
		}
		return "under the limit\n"
	case "faults":
		if len(s.f.violations) == 0 {
			return "none\n"
		}
		return strings.Join(s.f.violations, "\n") + "\n"
	}
	s.t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

func (s *scenario) status() string {
	lines := make(map[string][]string)
	for _, p := range s.f.procs {
		if !p.alive {
			continue
		}
		line := fmt.Sprintf("%v seq=%d content=%d", p.state, p.inForce.Sequence, p.inForce.Hash[0])
		if p.isolated {
			line += " isolated"
		}
		lines[line] = append(lines[line], p.name)
	}
	var b strings.Builder
	for _, line := range slices.Sorted(maps.Keys(lines)) {
		fmt.Fprintf(&b, "%s: %s\n", line, strings.Join(lines[line], " "))
	}
	return b.String()
}
