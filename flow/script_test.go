package flow_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/flow"
)

// TestScenarios runs each file of testdata twice: with all mechanisms, and without
// the one that the file names. The file lists both outcomes, which must differ.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var mechanism string
			d.ScanArgs(t, "without", &mechanism)
			with := newScript(t, d, "").run(d.Input)
			without := newScript(t, d, mechanism).run(d.Input)
			if with == without {
				t.Errorf("%s: the outcome is the same without %q:\n%s", d.Pos, mechanism, with)
			}
			return with + "without " + mechanism + ":\n" + without
		})
	})
}

// A script runs the lines of a scenario, each a verb with arguments.
type script struct {
	t     *testing.T
	w     *world
	names []string // of flows, in the order in which they were opened
	flows map[string]*callerFlow
}

func newScript(t *testing.T, d *datadriven.TestData, without string) *script {
	seed, balancers, n, m, full := 1, 2, 3, 2, 0
	d.MaybeScanArgs(t, "seed", &seed)
	d.MaybeScanArgs(t, "balancers", &balancers)
	d.MaybeScanArgs(t, "fitting", &n)
	d.MaybeScanArgs(t, "report", &m)
	d.MaybeScanArgs(t, "full", &full)
	w := newWorld(uint64(seed), balancers, n, m)
	if full > 0 {
		w.config.Admitter = flow.Threshold{Flows: full}
	}
	w.without = without
	w.start()
	return &script{t: t, w: w, flows: map[string]*callerFlow{}}
}

// run runs the lines and returns the outcome of each flow and the first violated
// invariant.
func (s *script) run(input string) string {
	for line := range strings.Lines(input) {
		if words := strings.Fields(line); len(words) > 0 {
			s.step(words[0], words[1:])
		}
	}
	var b strings.Builder
	for _, name := range s.names {
		fmt.Fprintf(&b, "%s: %s\n", name, s.flows[name].outcome())
	}
	if len(s.w.oracle.violations) == 0 {
		return b.String() + "every promise kept\n"
	}
	return b.String() + "broken promise: " + s.w.oracle.violations[0] + "\n"
}

// outcome describes the flow as its caller saw it.
func (f *callerFlow) outcome() string {
	state := "open"
	switch {
	case f.broken:
		state = "broken"
	case f.closed:
		state = "closed"
	case !f.established:
		state = "opening"
	}
	answered, refused := 0, 0
	for _, r := range f.requests {
		switch {
		case len(r.parts) == 2:
			answered++
		case r.refused:
			refused++
		}
	}
	return fmt.Sprintf("%s, %d of %d requests answered, %d refused", state, answered, len(f.requests), refused)
}

func (s *script) step(verb string, args []string) {
	switch verb {
	case "settle":
		s.w.run(200 * time.Second)
	case "wait":
		s.w.run(s.duration(args[0]))
	case "rest":
		s.w.rest(s.duration(args[0]))
	case "open":
		s.open(args[0], s.service(args[1]), args[2], nil)
	case "reopen":
		f := s.flows[args[0]]
		s.open(f.key.Protocol().String(), f.service, args[1], f)
	case "opening-again":
		s.flows[args[0]].sendSYN()
	case "request":
		s.flows[args[0]].request()
	case "repeat":
		f := s.flows[args[0]]
		f.transmit(f.requests[len(f.requests)-1])
	case "close":
		s.flows[args[0]].close()
	case "storm":
		s.w.storm()
	case "visits":
		s.visits(s.duration(args[0]))
	default:
		s.change(verb, args)
	}
}

// change handles the verbs that change bundles and processes.
func (s *script) change(verb string, args []string) {
	w := s.w
	switch verb {
	case "add":
		w.addUpstream(s.service(args[0]), s.number(args[1]))
	case "leave":
		w.leave(s.service(args[0]), s.upstream(args[1:]))
	case "weight":
		service, u, n := s.service(args[0]), s.upstream(args[2:]), s.number(args[1])
		w.publish(func(p *plan) { p.set(service, member{upstream: u, weight: uint64(n)}) })
	case "remove-empty":
		w.removeEmpty()
	case "move-address":
		w.moveAddress(s.service(args[0]))
	case "move-upstream":
		from := s.service(args[0])
		w.moveUpstream(from, 3-from, s.upstream(args[1:]))
	case "spread":
		w.spread(1)
	case "drain":
		w.hosts[s.upstream(args)].drain()
	case "stick-balancer":
		w.balancers[s.number(args[0])-1].stuck = true
	case "replace-balancer":
		w.balancers[s.number(args[0])-1].dead = true
		w.joinBalancer()
	case "pause-balancer":
		w.balancers[s.number(args[0])-1].paused = true
	case "resume-balancer":
		w.balancers[s.number(args[0])-1].resume()
	case "stop-balancer":
		w.balancers[s.number(args[0])-1].dead = true
	case "platform-down":
		w.platformDown = true
	case "heal":
		w.heal()
	default:
		s.fault(verb, args)
	}
}

// fault handles the verbs for unplanned faults.
func (s *script) fault(verb string, args []string) {
	w := s.w
	switch verb {
	case "kill":
		w.kill(s.upstream(args))
	case "restart":
		u := s.upstream(args)
		w.kill(u)
		w.resume(u)
	case "restart-upstream":
		w.restartUpstream(s.upstream(args))
	case "pause":
		w.pause(s.upstream(args))
	case "resume":
		for _, u := range w.upstreams() {
			w.resume(u)
		}
	case "isolate":
		ns := []node{w.hosts[s.upstream(args)].node()}
		if i := len(args) - 1; args[i] == "balancer-1" {
			ns = append(ns, 1)
		}
		w.isolate(ns...)
	default:
		s.t.Fatalf("unknown verb %q", verb)
	}
}

func (s *script) open(protocol string, service bundle.ServiceID, name string, reuse *callerFlow) {
	p := flow.TCP
	if protocol == "udp" {
		p = flow.UDP
	}
	s.flows[name] = s.w.open(p, service, reuse)
	s.names = append(s.names, name)
}

// visits runs the world for d and records a violation when packets visit too many
// sidecars on average.
func (s *script) visits(d time.Duration) {
	const limit = 1.25
	o := s.w.oracle
	o.visits, o.packets = 0, 0
	s.w.run(d)
	if mean := float64(o.visits) / float64(max(1, o.packets)); mean > limit {
		o.fail("packets visited more than %.2f sidecars", limit)
	}
}

// upstream parses an upstream ID such as "3", or the owner of a flow such as "owner a".
func (s *script) upstream(args []string) bundle.UpstreamID {
	if args[0] != "owner" {
		return s.number(args[0])
	}
	k := s.flows[args[1]].key
	for _, u := range s.w.upstreams() {
		h := s.w.hosts[u]
		if h.conns[k] != nil || h.udpRequests[k] != nil {
			return u
		}
	}
	s.t.Fatalf("flow %s has no owner", args[1])
	return 0
}

func (s *script) number(word string) bundle.UpstreamID {
	n, err := strconv.Atoi(word)
	if err != nil {
		s.t.Fatal(err)
	}
	return bundle.UpstreamID(n)
}

func (s *script) duration(word string) time.Duration {
	d, err := time.ParseDuration(word)
	if err != nil {
		s.t.Fatal(err)
	}
	return d
}

func (s *script) service(name string) bundle.ServiceID {
	if name == "fitting" {
		return fitting
	}
	return report
}
