package edge_test

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
)

const (
	// stableWindow is the time without disruption after which a machine is in touch.
	stableWindow = 4 * time.Second
	// flowSlack is the time for which packets of a flow may reach other upstreams.
	flowSlack = 2 * time.Second
	// maxElsewhere is the number of packets that may reach other upstreams within flowSlack.
	maxElsewhere = 2
	maxTrace     = 400
	noteWindow   = 15 * time.Second
)

// span is a period of unplanned disruption; to is zero while it lasts.
type span struct{ from, to time.Time }

// flow is what the checker records of one flow.
type flow struct {
	owner     *upstream // nil until it is open
	closed    bool
	judged    bool     // a violation was reported
	taker     *machine // the balancer that took the last packet
	elsewhere []arrival
	trace     []hop
}

// arrival is a packet that reached an upstream other than the owner of its flow.
type arrival struct {
	at    time.Time
	taker *machine
}

// hop is one transmission of a packet of a flow.
type hop struct {
	at       time.Time
	from, to registry.Host
	what     string
	lost     bool
}

// checker holds the rule FLOW. Planned work exempts nothing. An unplanned disruption
// exempts a violation when it concerned the upstream, the balancer that took the packets,
// the sender of the reset, or the store within stableWindow.
type checker struct {
	start time.Time

	mu        sync.Mutex
	flows     map[steer.Key]*flow
	disrupted map[*machine][]span // the key nil stands for the store
	notes     []string
	noteTimes []time.Time
	// violations break the rule; those in exempt would if the store had been stable.
	violations, exempt []string
	opens              int
}

func newChecker() *checker {
	return &checker{start: time.Now(), flows: make(map[steer.Key]*flow), disrupted: make(map[*machine][]span)}
}

func (c *checker) since(t time.Time) float64 { return t.Sub(c.start).Seconds() }

// note records an event for the traces of violations.
func (c *checker) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notes = append(c.notes, fmt.Sprintf("%8.3f %s", c.since(time.Now()), fmt.Sprintf(format, args...)))
	c.noteTimes = append(c.noteTimes, time.Now())
}

// disrupt records an unplanned disruption of machines, or of the store, until the returned
// function is called.
func (c *checker) disrupt(list ...*machine) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	from := time.Now()
	index := make(map[*machine]int)
	for _, m := range list {
		index[m] = len(c.disrupted[m])
		c.disrupted[m] = append(c.disrupted[m], span{from: from})
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for m, i := range index {
			c.disrupted[m][i].to = time.Now()
		}
	}
}

// inTouch reports whether no unplanned disruption concerned m from stableWindow before from
// until now.
func (c *checker) inTouch(m *machine, from time.Time) bool {
	for _, s := range c.disrupted[m] {
		if s.to.IsZero() || s.to.After(from.Add(-stableWindow)) {
			return false
		}
	}
	return true
}

func (c *checker) flow(k steer.Key) *flow {
	f := c.flows[k]
	if f == nil {
		f = new(flow)
		c.flows[k] = f
	}
	return f
}

// record adds a hop to the trace of a flow.
func (c *checker) record(k steer.Key, from, to registry.Host, lost bool, what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flow(k)
	if len(f.trace) >= maxTrace {
		f.trace = f.trace[maxTrace/2:]
	}
	f.trace = append(f.trace, hop{at: time.Now(), from: from, to: to, what: what, lost: lost})
}

// took records that a balancer received a packet of a caller.
func (c *checker) took(k steer.Key, m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flow(k).taker = m
}

// opened records that a flow opened at an upstream.
func (c *checker) opened(k steer.Key, u *upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flow(k).owner = u
	c.opens++
}

// closed records that the caller ended or gave up a flow.
func (c *checker) closed(k steer.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flow(k)
	f.closed, f.trace = true, nil
}

// arrived records that a packet of a flow reached an upstream. The caller holds world.mu.
func (c *checker) arrived(k steer.Key, u *upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flow(k)
	switch {
	case f.owner == nil || f.closed:
	case f.owner == u:
		f.elsewhere = nil
	default:
		a := arrival{at: time.Now(), taker: f.taker}
		f.elsewhere = append(f.elsewhere, a)
		time.AfterFunc(flowSlack, func() { c.checkElsewhere(k, f, a.at) })
	}
}

// checkElsewhere checks the packets of a flow in the window that began at from.
func (c *checker) checkElsewhere(k steer.Key, f *flow, from time.Time) {
	f.owner.w.mu.Lock()
	defer f.owner.w.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	takers := []*machine{f.owner.machine}
	for _, a := range f.elsewhere {
		if !a.at.Before(from) {
			n++
			takers = append(takers, a.taker)
		}
	}
	// A packet at the owner clears the list, also of packets after from.
	if n > maxElsewhere && f.elsewhere[0].at.Compare(from) <= 0 {
		c.judge(k, f, from, takers, fmt.Sprintf("%d packets at other upstreams and none at %s within %v", n, f.owner.id, flowSlack))
	}
}

// reset checks a reset that a process sent to a caller.
func (c *checker) reset(w *world, k steer.Key, sender *machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if f := c.flow(k); f.owner != nil {
		c.judge(k, f, time.Now(), []*machine{f.owner.machine, f.taker, sender}, "reset by "+sender.name)
	}
}

// judge reports a violation unless an unplanned disruption exempts it. The caller holds
// world.mu and c.mu.
func (c *checker) judge(k steer.Key, f *flow, from time.Time, machines []*machine, what string) {
	if f.closed || f.judged || f.owner.state != upstreamRuns || f.owner.flows[k] == nil {
		return
	}
	for _, m := range machines {
		if !c.inTouch(m, from) {
			return
		}
	}
	f.judged = true
	text := c.describe(k, f, what)
	if c.inTouch(nil, from) {
		c.violations = append(c.violations, text)
	} else {
		c.exempt = append(c.exempt, text)
	}
}

// describe returns a violation with the trace of its flow and the last events.
func (c *checker) describe(k steer.Key, f *flow, what string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%.3f: flow %v of %s: %s\n", c.since(time.Now()), k.Caller, f.owner.id, what)
	for i, n := range c.notes {
		if time.Since(c.noteTimes[i]) < noteWindow {
			fmt.Fprintf(&b, "  event %s\n", n)
		}
	}
	for _, h := range f.trace {
		if time.Since(h.at) > noteWindow/2 {
			continue
		}
		lost := ""
		if h.lost {
			lost = " (lost)"
		}
		fmt.Fprintf(&b, "  hop %8.3f %v > %v %s%s\n", c.since(h.at), h.from, h.to, h.what, lost)
	}
	return b.String()
}
