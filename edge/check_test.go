package edge_test

import (
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"go.uber.org/zap/zapcore"
)

const (
	// stableWindow is the time without disruption after which a machine is in touch.
	stableWindow = 4 * time.Second
	// flowSlack is the time for which packets of a flow may reach other upstreams.
	flowSlack = 2 * time.Second
	// maxElsewhere is the number of packets that may reach other upstreams within flowSlack.
	maxElsewhere = 2
	maxTrace     = 400
	noteWindow   = 15 * time.Second // of events before a violation
	traceBefore  = time.Second      // of hops before a violation began
)

// span is a period of unplanned disruption; to is zero while it lasts.
type span struct {
	from, to time.Time
	// soft is true when it concerned only the entry of an upstream in the store.
	soft bool
}

// flow is what the checker records of one flow.
type flow struct {
	owner     *upstream // nil until it is open
	closed    bool
	judged    bool             // a violation was reported
	taker     *machine         // the balancer that took the last packet
	sent      map[packetID]int // how often the caller sent a packet
	elsewhere []arrival        // since the last packet at the owner
	trace     []hop
}

// packetID identifies a packet of a flow and its retransmissions.
type packetID struct {
	sequence uint32
	data     int
}

// transmission is one of the transmissions of a packet by the caller.
type transmission struct {
	packet packetID
	number int
}

// arrival is a packet that reached an upstream other than the owner of its flow.
type arrival struct {
	at    time.Time
	taker *machine
	sent  transmission
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
	// violations break the rule; those in exempt would if the store and the entries in it had
	// not been disrupted.
	violations, exempt []string
	opens              int
	resets             []string // by processes, of flows that had opened
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
	return c.disruptAs(span{}, list)
}

// disruptEntries is like disrupt, but for the entries of upstreams in the store.
func (c *checker) disruptEntries(list ...*machine) (end func()) {
	return c.disruptAs(span{soft: true}, list)
}

func (c *checker) disruptAs(s span, list []*machine) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.from = time.Now()
	index := make(map[*machine]int)
	for _, m := range list {
		index[m] = len(c.disrupted[m])
		c.disrupted[m] = append(c.disrupted[m], s)
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
// until now. Disruptions of entries count if soft is true.
func (c *checker) inTouch(m *machine, from time.Time, soft bool) bool {
	for _, s := range c.disrupted[m] {
		if s.soft && !soft {
			continue
		}
		if s.to.IsZero() || s.to.After(from.Add(-stableWindow)) {
			return false
		}
	}
	return true
}

func (c *checker) flow(k steer.Key) *flow {
	f := c.flows[k]
	if f == nil {
		f = &flow{sent: make(map[packetID]int)}
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

// logged records what a process logged about a flow.
func (c *checker) logged(h registry.Host, what string, fields []zapcore.Field) {
	enc := zapcore.NewMapObjectEncoder()
	for _, f := range fields {
		f.AddTo(enc)
	}
	var at [2]registry.Endpoint
	for i, name := range []string{"caller", "address"} {
		text, _ := enc.Fields[name].(string)
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			if *virtualLog {
				c.note("%v: %s %v", h, what, enc.Fields)
			}
			return
		}
		at[i] = registry.Endpoint{Host: hostOf(a), Port: a.Port()}
	}
	c.record(steer.Key{Caller: at[0], Address: at[1]}, h, h, false, fmt.Sprint(what, " ", enc.Fields["reason"]))
}

// flowLog passes what a process logs about flows to a checker. It implements zapcore.Core.
type flowLog struct {
	check *checker
	host  registry.Host
}

func (l flowLog) Enabled(zapcore.Level) bool        { return true }
func (l flowLog) With([]zapcore.Field) zapcore.Core { return l }
func (l flowLog) Sync() error                       { return nil }
func (l flowLog) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	return ce.AddCore(e, l)
}

func (l flowLog) Write(e zapcore.Entry, fields []zapcore.Field) error {
	l.check.logged(l.host, e.Message, fields)
	return nil
}

// took records that a balancer received a packet of a caller.
func (c *checker) took(p *steer.Packet, m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flow(p.CallerKey())
	f.taker = m
	f.sent[packetID{p.Sequence, p.Data}]++
}

// opened records that a flow opened at an upstream.
func (c *checker) opened(k steer.Key, u *upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f := c.flow(k); f.closed { // the caller uses its port again
		delete(c.flows, k)
		c.flow(k).taker = f.taker
	}
	c.flow(k).owner = u
	c.opens++
}

// closed records that the caller ended or gave up a flow.
func (c *checker) closed(w *world, k steer.Key) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flow(k)
	if f.owner != nil {
		c.endElsewhere(k, f)
	}
	f.closed, f.trace = true, nil
}

// arrived records that a packet reached an upstream. The caller holds world.mu.
func (c *checker) arrived(p *steer.Packet, u *upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := p.CallerKey()
	f := c.flow(k)
	if f.owner == nil || f.closed {
		return
	}
	if f.owner == u {
		c.endElsewhere(k, f)
		return
	}
	id := packetID{p.Sequence, p.Data}
	f.elsewhere = append(f.elsewhere, arrival{at: time.Now(), taker: f.taker, sent: transmission{packet: id, number: f.sent[id]}})
	c.checkElsewhere(k, f)
}

// endElsewhere ends the interval in which packets reached other upstreams only: one reached
// the owner, or none is sent any more.
func (c *checker) endElsewhere(k steer.Key, f *flow) {
	if len(f.elsewhere) > 0 {
		c.checkElsewhere(k, f)
	}
	f.elsewhere = nil
}

// checkElsewhere checks the packets that reached other upstreams since the last one at the
// owner. Each arrival counts, also of copies of one packet.
func (c *checker) checkElsewhere(k steer.Key, f *flow) {
	first, n := f.elsewhere[0].at, len(f.elsewhere)
	if time.Since(first) < flowSlack || n <= maxElsewhere {
		return
	}
	takers := []*machine{f.owner.machine}
	transmissions := make(map[transmission]bool)
	for _, a := range f.elsewhere {
		takers = append(takers, a.taker)
		transmissions[a.sent] = true
	}
	c.judge(k, f, first, takers, fmt.Sprintf("for %v %d copies of %d transmissions reached other upstreams and none %s",
		time.Since(first).Round(time.Millisecond), n, len(transmissions), f.owner.id))
}

// reset checks a reset that a process sent to a caller.
func (c *checker) reset(w *world, k steer.Key, sender *machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if f := c.flow(k); f.owner != nil {
		c.recordReset(k, f, sender)
		c.judge(k, f, time.Now(), []*machine{f.owner.machine, f.taker, sender}, "reset by "+sender.name)
	}
}

// judge reports a violation unless an unplanned disruption exempts it. The caller holds
// world.mu and c.mu.
func (c *checker) judge(k steer.Key, f *flow, from time.Time, machines []*machine, what string) {
	if f.closed || f.judged || f.owner.state != upstreamRuns || f.owner.flows[k] == nil {
		return
	}
	soft := !c.inTouch(nil, from, true)
	for _, m := range machines {
		if !c.inTouch(m, from, false) {
			return
		}
		soft = soft || !c.inTouch(m, from, true)
	}
	f.judged = true
	text := c.describe(k, f, from, what)
	if soft {
		c.exempt = append(c.exempt, text)
	} else {
		c.violations = append(c.violations, text)
	}
}

// describe returns a violation with the trace of its flow and the last events.
func (c *checker) describe(k steer.Key, f *flow, from time.Time, what string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%.3f: flow %v of %s: %s\n", c.since(time.Now()), k.Caller, f.owner.id, what)
	for i, n := range c.notes {
		if time.Since(c.noteTimes[i]) < noteWindow {
			fmt.Fprintf(&b, "  event %s\n", n)
		}
	}
	for _, h := range f.trace {
		if h.at.Before(from.Add(-traceBefore)) {
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
