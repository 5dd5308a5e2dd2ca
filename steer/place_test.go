package steer_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// TestPlacement checks which upstream is chosen for a new flow by load.
func TestPlacement(t *testing.T) {
	tests := map[string]struct {
		loads []membership.Load // of instances 0 and 1 (near) and 2 (far)
		want  int
	}{
		"fewer flows":           {[]membership.Load{{Flows: 5}, {Flows: 3}, {}}, 1},
		"fewer queued":          {[]membership.Load{{Flows: 3, Active: 8}, {Flows: 5, Active: 1}, {}}, 1},
		"silent upstream":       {[]membership.Load{{Silent: true}, {Flows: 50}, {}}, 1},
		"refusing upstream":     {[]membership.Load{{Refusing: true}, {Flows: 50}, {}}, 1},
		"near before far":       {[]membership.Load{{Flows: 50, Busy: 1500}, {Flows: 50, Busy: 1500}, {}}, 0},
		"far when near is full": {[]membership.Load{{Flows: 50, Busy: 2500}, {Flows: 51, Busy: 2500}, {Flows: 60, Busy: 100}}, 2},
		"near when far is full": {[]membership.Load{{Flows: 50, Busy: 2500}, {Flows: 51, Busy: 2500}, {Flows: 9, Busy: 2400}}, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(1, service, service, service)
			f := &steer.Fleet{Snapshot: sim.directory.Snapshot(sim.now), Sidecars: map[registry.Host]steer.SidecarStatus{}}
			for i, s := range sim.instances {
				f.Sidecars[s.host] = steer.SidecarStatus{Load: tc.loads[i], LastSeen: sim.now, HeartbeatTimeout: membership.LocalHeartbeatTimeout}
			}
			sim.balancers[0].SetFleet(f)
			p := opening(flowKey(1))
			a, ok := sim.balancers[0].Packet(sim.now, &p, new(steer.Forward)).(*steer.Forward)
			must.True(t, ok)
			must.Eq(t, sim.instances[tc.want].host, a.Host)
		})
	}
}

// TestLoadCounts checks the counters of a sidecar through the stages of one flow.
func TestLoadCounts(t *testing.T) {
	sim := newSimulation(1, service)
	s := sim.instances[0].sidecar
	k := flowKey(1)
	at := sim.send(0, opening(k))
	must.Eq(t, 1, s.Flows())
	p := sim.request(k, at)
	sim.send(0, p)
	must.Eq(t, 1, s.Active())
	sim.send(0, p) // a retransmission does not count as another request
	must.Eq(t, 1, s.Active())
	s.FromUpstream(sim.now, reply(k, steer.ACK, 1, 900))
	must.Eq(t, 0, s.Active())
	p.Sequence += 100
	p.Flags |= steer.FIN
	sim.send(0, p)
	s.FromUpstream(sim.now, reply(k, steer.ACK|steer.FIN, 1, 900))
	must.Eq(t, 0, s.Flows())
	must.Eq(t, 0, s.Active())
}

// TestBurstIsSpreadWithoutLoadReports guards against overloading one upstream when many
// flows are opened at once through one balancer that receives no load in between. The
// longest queue determines how many requests are answered in time.
func TestBurstIsSpreadWithoutLoadReports(t *testing.T) {
	sim := newSimulation(1, service, service, service) // two near, one far
	for n := range 60 {
		sim.send(0, opening(flowKey(n)))
	}
	for i, s := range sim.instances {
		must.Between(t, 15, s.openings, 25, must.Sprintf("instance %d accepted %d of 60 openings", i, s.openings))
	}
}

// TestCrowdedSidecarPassesNewFlowsOn has a balancer whose load of the first upstream is
// outdated, so that only the sidecar can detect the queue.
func TestCrowdedSidecarPassesNewFlowsOn(t *testing.T) {
	sim := newSimulation(1, service, service)
	stale := &steer.Fleet{
		Snapshot: sim.directory.Snapshot(sim.now),
		Sidecars: map[registry.Host]steer.SidecarStatus{sim.instances[0].host: {LastSeen: sim.now, HeartbeatTimeout: membership.LocalHeartbeatTimeout}},
		Settled:  true,
	}
	for n := range 10 {
		sim.balancers[0].SetFleet(stale)
		sim.balancers[0].LoadUpdated(sim.instances[0].host)
		at := sim.send(0, opening(flowKey(n)))
		sim.send(0, sim.request(flowKey(n), at))
		sim.publishFleet()
	}
	must.Eq(t, 10, sim.instances[0].sidecar.Active()+sim.instances[1].sidecar.Active())
	must.Between(t, 2, sim.instances[1].sidecar.Active(), 5)
}

// TestCrowdedServiceOverflows has a route with two services. Flows of a crowded service
// use an upstream of the other one only if it has a free slot.
func TestCrowdedServiceOverflows(t *testing.T) {
	crowded := membership.Load{Flows: 20, Active: 8}
	tests := map[string]struct {
		own, other membership.Load
		want       int
	}{
		"own service has a free slot":    {noLoad, noLoad, 0},
		"own service is crowded":         {crowded, noLoad, 1},
		"both services are crowded":      {crowded, crowded, 0},
		"other service has no free slot": {crowded, membership.Load{Active: 2}, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(1, service, otherService)
			sim.publishRoutes(2, service, otherService)
			f := &steer.Fleet{Snapshot: sim.directory.Snapshot(sim.now), Sidecars: map[registry.Host]steer.SidecarStatus{}}
			for i, load := range []membership.Load{tc.own, tc.other} {
				f.Sidecars[sim.instances[i].host] = steer.SidecarStatus{Load: load, LastSeen: sim.now, HeartbeatTimeout: membership.LocalHeartbeatTimeout}
			}
			sim.balancers[0].SetFleet(f)
			r := f.Snapshot.Route(routeAddress)
			n := 0
			for r.Service(flowKey(n).Hash()) != service {
				n++
			}
			p := opening(flowKey(n))
			a, ok := sim.balancers[0].Packet(sim.now, &p, new(steer.Forward)).(*steer.Forward)
			must.True(t, ok)
			must.Eq(t, sim.instances[tc.want].host, a.Host)
			must.Eq(t, registry.HashService(sim.instances[tc.want].service), a.Header.Service)
		})
	}
}

// TestPlacingWithoutLoads checks placement by hash alone and by two choices.
func TestPlacingWithoutLoads(t *testing.T) {
	for _, placing := range []steer.Placing{steer.PlaceByHash, steer.PlaceByTwoChoices} {
		t.Run(string(placing), func(t *testing.T) {
			sim := newSimulation(0, service, service, service, service, service) // three of them near
			b := steer.NewBalancer(steer.BalancerConfig{Self: balancerHost(0), DataCentre: near, MaxFlow: maxFlow, Placing: placing})
			sim.balancers = append(sim.balancers, b)
			sim.publishFleet()
			for n := range 300 {
				sim.send(0, opening(flowKey(n)))
			}
			most, least, far := 0, 300, 0
			for i, s := range sim.instances {
				if dataCentreOf(i) != near {
					far += s.openings
					continue
				}
				most, least = max(most, s.openings), min(least, s.openings)
			}
			must.Eq(t, 0, far)
			if placing == steer.PlaceByTwoChoices {
				must.LessEq(t, 20, most-least)
			}
			must.Positive(t, least)
		})
	}
}

// TestFailingUpstream guards against sending most flows to an upstream that resets each
// request and therefore has the fewest flows. It gets a trial flow at intervals, and is
// placed normally again once it answers.
func TestFailingUpstream(t *testing.T) {
	sim := newSimulation(1, service, service)
	failing := sim.instances[0]
	n := 0
	// sendRequest opens a flow and sends a request, which the failing upstream resets
	// while fails is true.
	sendRequest := func(fails bool) int {
		n++
		k := flowKey(n)
		at := sim.send(0, opening(k))
		must.NotEq(t, -1, at)
		sim.send(0, sim.request(k, at))
		if at == 0 && fails {
			failing.sidecar.FromUpstream(sim.now, reply(k, steer.RST, 1, 0))
			delete(failing.open, k)
		} else {
			sim.instances[at].sidecar.FromUpstream(sim.now, reply(k, steer.ACK, 1, 900))
		}
		sim.deliverNotices()
		return at
	}
	failed := 0
	for range 200 {
		sim.advance(10 * time.Millisecond)
		if sendRequest(true) == 0 {
			failed++
		}
	}
	must.Between(t, 3, failed, 12)
	must.True(t, failing.sidecar.Load(sim.now, 0).Failing)
	// The upstream answers again.
	sim.advance(3 * time.Second)
	served := 0
	for range 200 {
		sim.advance(10 * time.Millisecond)
		if sendRequest(false) == 0 {
			served++
		}
	}
	must.False(t, failing.sidecar.Load(sim.now, 0).Failing)
	must.Greater(t, 50, served)
}

// TestUnansweredRequests checks that requests cancelled by the caller count as failures
// only when they were unanswered for long.
func TestUnansweredRequests(t *testing.T) {
	for _, tc := range []struct {
		after   time.Duration
		failing bool
	}{{100 * time.Millisecond, false}, {600 * time.Millisecond, true}} {
		sim := newSimulation(1, service)
		for n := range 4 {
			k := flowKey(n)
			at := sim.send(0, opening(k))
			p := sim.request(k, at)
			sim.send(0, p)
			sim.deliverNotices()
			sim.now += tc.after
			p.Sequence += uint32(p.Data)
			p.Data, p.Flags = 0, steer.RST
			sim.send(0, p)
		}
		must.Eq(t, tc.failing, sim.instances[0].sidecar.Load(sim.now, 0).Failing, must.Sprint(tc.after))
	}
}
