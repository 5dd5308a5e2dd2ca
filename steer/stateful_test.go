package steer_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// machine draws operations on a world. Its model is what the upstreams
// themselves hold: a flow is where its upstream keeps it, and nowhere else.
type machine struct {
	w       *world
	version uint64
	open    map[int]int // flow to upstream, for flows that their upstream holds
	next    int         // number of the next flow
	left    map[int]bool
}

func newMachine() *machine {
	services := []string{service, service, service, service, service, other, other}
	m := &machine{w: newWorld(3, services...), version: 1, open: make(map[int]int), left: make(map[int]bool)}
	return m
}

func (m *machine) anyFlow(t *rapid.T) int {
	if len(m.open) == 0 {
		t.Skip("no flow is open")
	}
	var flows []int
	for n := range m.next {
		if _, ok := m.open[n]; ok {
			flows = append(flows, n)
		}
	}
	return rapid.SampledFrom(flows).Draw(t, "flow")
}

func (m *machine) balancer(t *rapid.T) int {
	return rapid.IntRange(0, len(m.w.balancers)-1).Draw(t, "balancer")
}

func (m *machine) site(t *rapid.T) int {
	return rapid.IntRange(0, len(m.w.sites)-1).Draw(t, "site")
}

// Open opens a flow, and checks that no upstream which is leaving or of another service took it.
func (m *machine) Open(t *rapid.T) {
	n := m.next
	m.next++
	b := m.balancer(t)
	at := m.w.send(b, opening(caller(n)))
	if at < 0 {
		return
	}
	if m.left[at] {
		t.Fatalf("upstream %d took a flow although it is leaving", at)
	}
	if rapid.Bool().Draw(t, "told") {
		m.w.tell()
	}
	if got := m.w.send(b, m.w.request(caller(n), at)); got != at {
		t.Fatalf("flow %d was answered by %d and confirmed at %d", n, at, got)
	}
	m.open[n] = at
}

// Request sends on an open flow through any balancer, and checks that its upstream gets the packet.
func (m *machine) Request(t *rapid.T) {
	n := m.anyFlow(t)
	at := m.open[n]
	if got := m.w.send(m.balancer(t), m.w.request(caller(n), at)); got != at {
		t.Fatalf("a packet of flow %d of upstream %d went to %d", n, at, got)
	}
}

// SendNotices delivers what sidecars have to say.
func (m *machine) SendNotices(*rapid.T) { m.w.tell() }

// LoseNotices loses what sidecars have to say.
func (m *machine) LoseNotices(*rapid.T) { m.w.forget() }

// RestartBalancer starts a balancer anew.
func (m *machine) RestartBalancer(t *rapid.T) {
	m.w.startBalancer(m.balancer(t))
	m.w.refresh()
}

// RestartSidecar starts a sidecar anew, while its upstream goes on.
func (m *machine) RestartSidecar(t *rapid.T) {
	m.w.startSidecar(m.site(t))
	m.w.refresh()
}

// RestartUpstream lets an upstream forget its flows.
func (m *machine) RestartUpstream(t *rapid.T) {
	at := m.site(t)
	m.w.startUpstream(at)
	m.w.refresh()
	delete(m.left, at)
	for n, holder := range m.open {
		if holder == at {
			delete(m.open, n)
		}
	}
}

// Drain lets an upstream say that it is leaving. At least one of each service stays.
func (m *machine) Drain(t *rapid.T) {
	at := rapid.SampledFrom([]int{0, 1, 2, 5}).Draw(t, "site")
	m.left[at] = true
	m.w.publish(at, m.w.entry(at, true))
	m.w.refresh()
}

// Fill makes an upstream take no new flows, or take them again.
func (m *machine) Fill(t *rapid.T) {
	m.w.sites[m.site(t)].full = rapid.Bool().Draw(t, "full")
}

// Routes publishes a version with other services. Open flows stay where they are.
func (m *machine) Routes(t *rapid.T) {
	m.version += uint64(rapid.IntRange(1, 5).Draw(t, "step"))
	switch rapid.IntRange(0, 2).Draw(t, "services") {
	case 0:
		m.w.routes(m.version, service)
	case 1:
		m.w.routes(m.version, other)
	case 2:
		m.w.routes(m.version, service, other)
	}
	m.w.refresh()
}

// Wait lets time pass, less than a flow lives.
func (m *machine) Wait(t *rapid.T) {
	m.w.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	for _, b := range m.w.balancers {
		b.Expire(m.w.now)
	}
}

// Check holds after each operation: no flow that its upstream holds was reset,
// and no count is negative.
func (m *machine) Check(t *rapid.T) {
	for _, k := range m.w.resets {
		for n := range m.open {
			if caller(n) == k {
				t.Fatalf("flow %d was reset while upstream %d holds it", n, m.open[n])
			}
		}
	}
	m.w.resets = nil
	for i, s := range m.w.sites {
		if s.sidecar.Flows() < 0 || s.sidecar.Active() < 0 {
			t.Fatalf("sidecar %d counts %d flows and %d requests", i, s.sidecar.Flows(), s.sidecar.Active())
		}
	}
}

// TestStateful draws operations against the oracle.
func TestStateful(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(rapid.StateMachineActions(m))
	})
}

// TestReturnedPacketWithoutDeliveryRecord gives a sidecar returned packets that it never delivered.
func TestReturnedPacketWithoutDeliveryRecord(t *testing.T) {
	w := newWorld(1, service, service)
	p := opening(caller(1))
	p.Flags |= steer.Returned
	p.Tag = 99
	a, ok := w.sites[0].sidecar.FromUpstream(w.now, &p).(*steer.Forward)
	must.True(t, ok)
	must.Eq(t, w.sites[1].host, a.Host)
}
