package flow_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/flow"
)

// TestStatefulPlanned checks that no invariant is violated and no flow breaks under
// planned changes, losses of balancers and packets, and arbitrary caller behaviour.
func TestStatefulPlanned(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(m.actions(false))
		m.finish()
	})
}

// TestStatefulFaults adds unplanned faults. Flows may break, but the invariants on
// requests, services and refusals must hold.
func TestStatefulFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(m.actions(true))
		m.finish()
	})
}

// A machine draws the actions of one case.
type machine struct {
	t       *rapid.T
	w       *world
	checked int // number of plans checked
}

func newMachine(t *rapid.T) *machine {
	n := rapid.IntRange(1, 5).Draw(t, "fitting")
	w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 4).Draw(t, "balancers"), n, rapid.IntRange(1, min(2, 7-n)).Draw(t, "report"))
	w.repeat = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "repeat")
	w.loss = rapid.SampledFrom([]float64{0, 0.02, 0.05}).Draw(t, "loss")
	w.maxDelay = rapid.SampledFrom([]time.Duration{10 * time.Millisecond, 300 * time.Millisecond}).Draw(t, "delay")
	if rapid.Bool().Draw(t, "pass") {
		w.config.Admitter = flow.Threshold{Flows: 2}
	}
	w.without = flag.Lookup(withoutFlag).Value.String()
	w.start()
	m := &machine{t: t, w: w}
	if rapid.Bool().Draw(t, "settled") {
		w.run(200 * time.Second)
	}
	return m
}

func (m *machine) actions(faults bool) map[string]func(*rapid.T) {
	as := map[string]func(*rapid.T){
		"":         m.check,
		"open":     m.open,
		"open2":    m.open,
		"request":  m.request,
		"request2": m.request,
		"cancel":   m.cancel,
		"close":    m.close,
		"reopen":   m.reopen,
		"wait":     m.wait,
		"long":     m.waitLong,
		"rest":     m.rest,
		"add":      m.add,
		"leave":    m.leave,
		"weight":   m.weight,
		"rollback": m.rollback,
		"remove":   m.remove,
		"drain":    m.drain,
		"address":  m.moveAddress,
		"upstream": m.upstream,
		"balancer": m.replaceBalancer,
		"platform": m.togglePlatform,
		"storm":    m.storm,
		"late":     m.lateOpening,
		"stuck":    m.stickBalancer,
		"arrive":   m.openAtMovedUpstream,
		"fill":     m.fill,
	}
	if faults {
		as["kill"] = m.kill
		as["pause"] = m.pause
		as["resume"] = m.resume
		as["restart"] = m.restart
		as["partition"] = m.partition
		as["heal"] = m.heal
		as["killOwner"] = m.killOwner
		as["pauseOwner"] = m.pauseOwner
		as["isolateOwner"] = m.isolateOwner
		as["pauseBalancer"] = m.pauseBalancer
		as["outlast"] = m.outlastTakeover
		as["oversleep"] = m.pausePastTakeover
	}
	return as
}

// check fails the case on the first violation, and when it has drawn a bundle that
// operators could not publish.
func (m *machine) check(t *rapid.T) {
	for ; m.checked < len(m.w.plans); m.checked++ {
		if err := bundle.Check(m.w.plans[m.checked].bundle()); err != nil {
			t.Fatalf("drew an invalid bundle: %v", err)
		}
	}
	if len(m.w.oracle.violations) > 0 {
		const lines = 2000
		for _, line := range m.w.trace[max(0, len(m.w.trace)-lines):] {
			t.Log(line.String())
		}
		t.Fatalf("%s", m.w.oracle.violations[0])
	}
}

// finish ends all faults and delivers the messages in transit.
func (m *machine) finish() {
	m.w.heal()
	m.w.run(10 * time.Second)
	m.check(m.t)
}

func (m *machine) service(t *rapid.T) bundle.ServiceID {
	return rapid.SampledFrom([]bundle.ServiceID{fitting, report}).Draw(t, "service")
}

// flow returns a random open flow.
func (m *machine) flow(t *rapid.T) *callerFlow {
	var open []*callerFlow
	for _, f := range m.w.flows {
		if f.established && !f.closed && !f.broken {
			open = append(open, f)
		}
	}
	if len(open) == 0 {
		t.Skip("no open flow")
	}
	return open[rapid.IntRange(0, len(open)-1).Draw(t, "flow")]
}

func (m *machine) host(t *rapid.T) bundle.UpstreamID {
	return rapid.SampledFrom(m.w.upstreams()).Draw(t, "upstream")
}

func (m *machine) open(t *rapid.T) {
	p := rapid.SampledFrom([]flow.Protocol{flow.TCP, flow.UDP}).Draw(t, "protocol")
	f := m.w.open(p, m.service(t), nil)
	if p == flow.UDP {
		f.request()
	}
	m.w.run(200 * time.Millisecond)
}

func (m *machine) request(t *rapid.T) {
	m.flow(t).request()
	m.w.run(50 * time.Millisecond)
}

func (m *machine) cancel(t *rapid.T) {
	f := m.flow(t)
	for _, r := range f.requests {
		r.done = true
	}
}

func (m *machine) close(t *rapid.T) {
	m.flow(t).close()
}

// reopen opens a flow that reuses the 5-tuple of an open one.
func (m *machine) reopen(t *rapid.T) {
	f := m.flow(t)
	n := m.w.open(f.key.Protocol(), f.service, f)
	if f.key.Protocol() == flow.UDP {
		n.request()
	}
	m.w.run(100 * time.Millisecond)
}

func (m *machine) wait(t *rapid.T) {
	m.w.run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
}

func (m *machine) waitLong(t *rapid.T) {
	m.w.run(time.Duration(rapid.IntRange(3, 40).Draw(t, "s")) * time.Second)
}

func (m *machine) rest(t *rapid.T) {
	m.w.rest(190 * time.Second)
}

func (m *machine) add(t *rapid.T) {
	u := bundle.UpstreamID(rapid.IntRange(1, 7).Draw(t, "upstream"))
	if m.w.latest().lists(u) {
		t.Skip("listed")
	}
	if h := m.w.hosts[u]; h != nil && h.sidecar.Flows() > 0 {
		t.Skip("still in use")
	}
	m.w.addUpstream(m.service(t), u)
}

func (m *machine) leave(t *rapid.T) {
	s := m.service(t)
	us := m.w.active(s)
	if len(us) == 0 {
		t.Skip("none left")
	}
	m.w.leave(s, rapid.SampledFrom(us).Draw(t, "upstream"))
}

func (m *machine) weight(t *rapid.T) {
	s := m.service(t)
	us := m.w.active(s)
	if len(us) == 0 {
		t.Skip("none left")
	}
	u := rapid.SampledFrom(us).Draw(t, "upstream")
	weight := rapid.Uint64Range(1, 4).Draw(t, "weight")
	m.w.publish(func(p *plan) { p.set(s, member{upstream: u, weight: weight}) })
}

// rollback publishes a newer version without leaving upstreams.
func (m *machine) rollback(t *rapid.T) {
	m.w.publish(func(p *plan) {
		for _, s := range []bundle.ServiceID{fitting, report} {
			for _, member := range p.members[s] {
				member.leaving = false
				p.set(s, member)
			}
		}
	})
}

func (m *machine) remove(t *rapid.T) {
	m.w.removeEmpty()
	m.w.run(100 * time.Millisecond)
}

func (m *machine) drain(t *rapid.T) {
	if h := m.w.hosts[m.host(t)]; h.running() {
		h.drain()
	}
}

func (m *machine) moveAddress(t *rapid.T) {
	m.w.moveAddress(m.service(t))
}

func (m *machine) upstream(t *rapid.T) { m.moveUpstream(t) }

// moveUpstream moves an upstream to the other service and returns both.
func (m *machine) moveUpstream(t *rapid.T) (bundle.UpstreamID, bundle.ServiceID) {
	from := m.service(t)
	us := m.w.active(from)
	if len(us) < 2 {
		t.Skip("fewer than two active upstreams")
	}
	u := rapid.SampledFrom(us).Draw(t, "upstream")
	if !m.w.transfer(from, 3-from, u) {
		t.Skip("still in use")
	}
	return u, 3 - from
}

// replaceBalancer kills a balancer and starts a new one.
func (m *machine) replaceBalancer(t *rapid.T) {
	m.w.balancers[rapid.IntRange(0, len(m.w.balancers)-1).Draw(t, "balancer")].dead = true
	m.w.joinBalancer()
}

func (m *machine) togglePlatform(t *rapid.T) {
	m.w.platformDown = !m.w.platformDown
}

func (m *machine) kill(t *rapid.T)   { m.w.kill(m.host(t)) }
func (m *machine) pause(t *rapid.T)  { m.w.pause(m.host(t)) }
func (m *machine) resume(t *rapid.T) { m.w.resume(m.host(t)) }
func (m *machine) heal(t *rapid.T)   { m.w.heal() }

func (m *machine) restart(t *rapid.T) { m.w.restartUpstream(m.host(t)) }

// partition puts each process on one of two sides.
func (m *machine) partition(t *rapid.T) {
	m.w.recordFault()
	bits := rapid.Uint64().Draw(t, "sides")
	for _, u := range m.w.upstreams() {
		m.w.sides[m.w.hosts[u].node()] = int(bits>>u) & 1
	}
	m.w.partitionedAt = m.w.now
	for i, b := range m.w.balancers {
		m.w.sides[b.id] = int(bits>>(i%16+16)) & 1
	}
}

func (m *machine) storm(*rapid.T) {
	m.w.storm()
	m.w.run(100 * time.Millisecond)
}

// lateOpening retransmits an opening after the order of candidates changed.
func (m *machine) lateOpening(t *rapid.T) {
	f := m.w.open(flow.TCP, m.service(t), nil)
	m.w.run(100 * time.Millisecond)
	m.weight(t)
	m.w.spread(0.5)
	f.sendSYN()
	m.w.run(100 * time.Millisecond)
}

// stickBalancer prevents a balancer from receiving newer bundles.
func (m *machine) stickBalancer(t *rapid.T) {
	m.w.balancers[rapid.IntRange(0, len(m.w.balancers)-1).Draw(t, "balancer")].stuck = true
}

// owner returns the host where the last request of an open flow ran.
func (m *machine) owner(t *rapid.T) *host {
	h := m.w.oracle.lastRuns[m.flow(t)].host
	if h == nil || !h.running() {
		t.Skip("no owner")
	}
	return h
}

// killOwner kills the owner of a flow while requests run, and may restart it immediately.
func (m *machine) killOwner(t *rapid.T) {
	h := m.owner(t)
	m.w.storm()
	m.w.run(time.Duration(rapid.IntRange(10, 400).Draw(t, "ms")) * time.Millisecond)
	m.w.kill(h.id)
	if rapid.Bool().Draw(t, "restart") {
		h.restart()
	}
	m.w.run(time.Duration(rapid.SampledFrom([]int{1, 5, 30}).Draw(t, "s")) * time.Second)
}

// pauseOwner pauses the owner of a flow while requests arrive, possibly until others
// have taken over.
func (m *machine) pauseOwner(t *rapid.T) {
	h := m.owner(t)
	m.w.pause(h.id)
	m.keepFlowsBusy(t)
	m.w.resume(h.id)
	m.w.storm()
	m.w.run(3 * time.Second)
}

// isolateOwner separates the owner of a flow, and some balancers, from the others.
func (m *machine) isolateOwner(t *rapid.T) {
	ns := []node{m.owner(t).node()}
	for _, b := range m.w.balancers {
		if rapid.Bool().Draw(t, "with") {
			ns = append(ns, b.id)
		}
	}
	m.w.isolate(ns...)
	m.keepFlowsBusy(t)
	if rapid.Bool().Draw(t, "heal") {
		m.w.heal()
	}
}

// keepFlowsBusy keeps flows in use throughout a fault.
func (m *machine) keepFlowsBusy(t *rapid.T) {
	for range rapid.SampledFrom([]int{1, 4, 14}).Draw(t, "rounds") {
		m.w.storm()
		m.w.run(3 * time.Second)
	}
}

// pauseBalancer pauses a balancer, or resumes a paused one.
func (m *machine) pauseBalancer(t *rapid.T) {
	b := m.w.balancers[rapid.IntRange(0, len(m.w.balancers)-1).Draw(t, "balancer")]
	m.w.log(func() string { return fmt.Sprintf("balancer %d pauses or resumes", b.id) })
	if b.paused {
		b.resume()
		return
	}
	b.paused = true
}

// openAtMovedUpstream opens flows of a service while an upstream that is assigned to
// it, and ranks first for most flows, still serves another one.
func (m *machine) openAtMovedUpstream(t *rapid.T) {
	u, to := m.moveUpstream(t)
	m.w.publish(func(p *plan) { p.set(to, member{upstream: u, weight: 4000}) })
	m.replaceBalancers()
	for range 2 {
		m.w.open(flow.UDP, to, nil).request()
	}
	m.w.run(10 * time.Second)
}

// fill opens more datagram flows than one upstream takes, lets all but the last one
// expire, and continues that one through new balancers.
func (m *machine) fill(t *rapid.T) {
	if m.w.config.Admitter == nil {
		t.Skip("no limit on flows")
	}
	s := m.service(t)
	var last *callerFlow
	for range rapid.IntRange(2, 4).Draw(t, "flows") {
		last = m.w.open(flow.UDP, s, nil)
		last.request()
		m.w.run(200 * time.Millisecond)
	}
	m.w.run(10 * time.Second)
	last.request()
	m.w.run(testIdle - 8*time.Second)
	m.replaceBalancers()
	last.request()
	m.w.run(3 * time.Second)
}

// replaceBalancers replaces each balancer by a new one with the newest bundle.
func (m *machine) replaceBalancers() {
	for _, b := range m.w.balancers {
		if !b.dead {
			b.dead = true
			m.w.joinBalancer()
		}
	}
}

// busyOwner opens a datagram flow of the non-idempotent service and returns the host
// that owns it.
func (m *machine) busyOwner(t *rapid.T) *host {
	const minUpstreams = 3 // so that a majority remains for a takeover
	if len(m.w.active(fitting)) < minUpstreams {
		t.Skip("too few upstreams for a takeover")
	}
	f := m.w.open(flow.UDP, fitting, nil)
	f.request()
	m.w.run(time.Second)
	h := m.w.oracle.lastRuns[f].host
	if h == nil || !h.running() {
		t.Skip("no owner")
	}
	return h
}

// outlastTakeover isolates the owner of a flow together with a balancer until others
// may have taken over, and sends requests through both sides.
func (m *machine) outlastTakeover(t *rapid.T) {
	h := m.busyOwner(t)
	b := m.w.balancers[rapid.IntRange(0, len(m.w.balancers)-1).Draw(t, "balancer")]
	m.w.isolate(h.node(), b.id)
	m.w.rest(30 * time.Second)
	m.sendRequests(3)
	if rapid.Bool().Draw(t, "heal") {
		m.w.heal()
	}
}

// pausePastTakeover pauses the owner of a flow until others may have taken over. A
// balancer that receives no updates meanwhile sends packets that queue in the
// owner's socket.
func (m *machine) pausePastTakeover(t *rapid.T) {
	h := m.busyOwner(t)
	m.w.balancers[rapid.IntRange(0, len(m.w.balancers)-1).Draw(t, "balancer")].stuck = true
	m.w.pause(h.id)
	m.w.run(33 * time.Second)
	m.sendRequests(4)
	m.w.resume(h.id)
	m.w.run(3 * time.Second)
}

// sendRequests sends requests on each flow once per second.
func (m *machine) sendRequests(times int) {
	for range times {
		m.w.storm()
		m.w.run(time.Second)
	}
}
