package steer_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// stateMachine applies random operations to a simulation. Its model is the state of the
// upstreams: a flow is open where its upstream holds it, and nowhere else.
type stateMachine struct {
	sim      *simulation
	version  uint64
	open     map[int]int // from flow to the upstream that holds it
	next     int         // number of the next flow
	draining map[int]bool
	// evacuated holds the data centres whose evacuation the sidecars have received.
	evacuated map[string]bool
}

func newStateMachine() *stateMachine {
	services := []string{service, service, service, service, service, otherService, otherService}
	m := &stateMachine{sim: newSimulation(3, services...), version: 1, open: make(map[int]int), draining: make(map[int]bool), evacuated: make(map[string]bool)}
	return m
}

func (m *stateMachine) anyFlow(t *rapid.T) int {
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

func (m *stateMachine) balancer(t *rapid.T) int {
	return rapid.IntRange(0, len(m.sim.balancers)-1).Draw(t, "balancer")
}

func (m *stateMachine) instance(t *rapid.T) int {
	return rapid.IntRange(0, len(m.sim.instances)-1).Draw(t, "instance")
}

// Open opens a flow, and checks that no draining or evacuated upstream accepts it and that
// the first request reaches the same upstream.
func (m *stateMachine) Open(t *rapid.T) {
	n := m.next
	m.next++
	b := m.balancer(t)
	at := m.sim.send(b, opening(flowKey(n)))
	if at < 0 {
		return
	}
	if m.draining[at] {
		t.Fatalf("upstream %d accepted a flow while draining", at)
	}
	if m.evacuated[dataCentreOf(at)] {
		t.Fatalf("upstream %d accepted a flow while its data centre is evacuated", at)
	}
	if rapid.Bool().Draw(t, "notify") {
		m.sim.deliverNotices()
	}
	if got := m.sim.send(b, m.sim.request(flowKey(n), at)); got != at {
		t.Fatalf("flow %d was answered by upstream %d and confirmed at %d", n, at, got)
	}
	m.open[n] = at
}

// Request sends a packet on an open flow through any balancer, and checks that the
// upstream of the flow receives it.
func (m *stateMachine) Request(t *rapid.T) {
	n := m.anyFlow(t)
	at := m.open[n]
	if got := m.sim.send(m.balancer(t), m.sim.request(flowKey(n), at)); got != at {
		t.Fatalf("a packet of flow %d of upstream %d was accepted by %d", n, at, got)
	}
}

// SendNotices delivers the notices of sidecars.
func (m *stateMachine) SendNotices(*rapid.T) { m.sim.deliverNotices() }

// LoseNotices drops the notices of sidecars.
func (m *stateMachine) LoseNotices(*rapid.T) { m.sim.dropNotices() }

// RestartBalancer restarts a balancer with empty state.
func (m *stateMachine) RestartBalancer(t *rapid.T) {
	m.sim.startBalancer(m.balancer(t))
	m.sim.publishFleet()
}

// RestartSidecar restarts a sidecar with empty state, while its upstream keeps running.
func (m *stateMachine) RestartSidecar(t *rapid.T) {
	m.sim.startSidecar(m.instance(t))
	m.sim.publishFleet()
}

// RestartUpstream restarts an upstream, which drops its flows.
func (m *stateMachine) RestartUpstream(t *rapid.T) {
	at := m.instance(t)
	m.sim.startUpstream(at)
	m.sim.publishFleet()
	delete(m.draining, at)
	for n, upstream := range m.open {
		if upstream == at {
			delete(m.open, n)
		}
	}
}

// Drain marks an upstream as draining. At least one upstream of each service is never
// drained.
func (m *stateMachine) Drain(t *rapid.T) {
	at := rapid.SampledFrom([]int{0, 1, 2, 5}).Draw(t, "instance")
	m.draining[at] = true
	m.sim.publish(at, m.sim.entry(at, true))
	m.sim.publishFleet()
}

// Evacuate begins or ends the evacuation of a data centre. Balancers may receive it later
// than sidecars, with the next fleet.
func (m *stateMachine) Evacuate(t *rapid.T) {
	dataCentre := rapid.SampledFrom([]string{near, far}).Draw(t, "datacentre")
	m.evacuated[dataCentre] = rapid.Bool().Draw(t, "active")
	m.sim.evacuate(dataCentre, m.evacuated[dataCentre])
	var before []*steer.Fleet
	for _, b := range m.sim.balancers {
		before = append(before, b.Fleet())
	}
	m.sim.publishFleet()
	for i, b := range m.sim.balancers {
		if before[i] != nil && rapid.Bool().Draw(t, "late") {
			b.SetFleet(before[i])
		}
	}
}

// Fill makes an upstream refuse new flows, or accept them again.
func (m *stateMachine) Fill(t *rapid.T) {
	m.sim.instances[m.instance(t)].full = rapid.Bool().Draw(t, "full")
}

// Routes publishes a version of the routes with other services. Open flows stay where
// they are.
func (m *stateMachine) Routes(t *rapid.T) {
	m.version += uint64(rapid.IntRange(1, 5).Draw(t, "step"))
	switch rapid.IntRange(0, 2).Draw(t, "services") {
	case 0:
		m.sim.publishRoutes(m.version, service)
	case 1:
		m.sim.publishRoutes(m.version, otherService)
	case 2:
		m.sim.publishRoutes(m.version, service, otherService)
	}
	m.sim.publishFleet()
}

// Wait advances the clock by less than the lifetime of a flow.
func (m *stateMachine) Wait(t *rapid.T) {
	m.sim.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	for _, b := range m.sim.balancers {
		b.Expire(m.sim.now)
	}
}

// Check runs after each operation. It checks that no flow was reset that its upstream
// still holds, and that no counter is negative.
func (m *stateMachine) Check(t *rapid.T) {
	for _, k := range m.sim.resets {
		for n := range m.open {
			if flowKey(n) == k {
				t.Fatalf("flow %d was reset while upstream %d holds it", n, m.open[n])
			}
		}
	}
	m.sim.resets = nil
	for i, s := range m.sim.instances {
		if s.sidecar.Flows() < 0 || s.sidecar.Active() < 0 {
			t.Fatalf("negative counter of sidecar %d: %d flows, %d requests", i, s.sidecar.Flows(), s.sidecar.Active())
		}
	}
}

// TestStateful applies random operations and compares the result with the model.
func TestStateful(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine()
		t.Repeat(rapid.StateMachineActions(m))
	})
}

// TestStatefulWithCompleteTables is like TestStateful with sidecars that serve their upstreams
// from the first start until they are restarted.
func TestStatefulWithCompleteTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine()
		for i := range m.sim.instances {
			m.sim.startFirstSidecar(i)
		}
		m.sim.publishFleet()
		t.Repeat(rapid.StateMachineActions(m))
	})
}

// TestReturnedPacketWithoutDeliveryRecord sends a sidecar a returned packet that it
// never delivered.
func TestReturnedPacketWithoutDeliveryRecord(t *testing.T) {
	sim := newSimulation(1, service, service)
	p := opening(flowKey(1))
	p.Flags |= steer.Returned
	p.Tag = 99
	a, ok := sim.instances[0].sidecar.FromUpstream(sim.now, &p).(*steer.Forward)
	must.True(t, ok)
	must.Eq(t, sim.instances[1].host, a.Host)
}
