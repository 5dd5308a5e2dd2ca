package steer_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// TestOpeningWaitsForExpiredEntry has a list without an upstream of the service,
// while a sidecar is alive whose upstream is missing from it. The opening is held only
// while the fleet is recovering.
func TestOpeningWaitsForExpiredEntry(t *testing.T) {
	sim := newSimulation(1, service)
	expired := registry.NewDirectory()
	expired.Apply(sim.now, registry.Update{Routes: &registry.Routes{Version: 1, List: []registry.Route{{
		Name: "r", Address: routeAddress, Targets: []registry.Target{{Service: service, Weight: 1}},
	}}}})
	expired.Apply(sim.now, registry.Update{State: registry.State{Revision: sim.revision}, Whole: true})
	p := opening(flowKey(1))
	for _, c := range []struct {
		recovering bool
		unlisted   []registry.Host
		want       steer.Action
	}{
		{true, []registry.Host{sim.instances[0].host}, &steer.Hold{Reason: steer.ReasonNoUpstream}},
		{true, nil, steer.Refuse{Reason: steer.ReasonNoUpstream}},
		{false, []registry.Host{sim.instances[0].host}, steer.Refuse{Reason: steer.ReasonNoUpstream}},
	} {
		sim.balancers[0].SetFleet(&steer.Fleet{Snapshot: expired.Snapshot(sim.now), Recovering: c.recovering, Unlisted: c.unlisted})
		must.Eq(t, c.want, sim.balancers[0].Packet(sim.now, &p, new(steer.Forward)))
	}
}

// TestOpeningRefusedByAllUpstreams checks that the caller gets a reset when every
// upstream is full.
func TestOpeningRefusedByAllUpstreams(t *testing.T) {
	sim := newSimulation(1, service, service, service)
	for _, s := range sim.instances {
		s.full = true
	}
	must.Eq(t, -1, sim.send(0, opening(flowKey(1))))
	must.Eq(t, []steer.Key{flowKey(1)}, sim.resets)
}

// TestDrainingUpstreamGetsNoOpening drains an upstream that is still available in the
// fleet of the balancer.
func TestDrainingUpstreamGetsNoOpening(t *testing.T) {
	sim := newSimulation(1, service, service)
	before := &steer.Fleet{
		Snapshot: sim.directory.Snapshot(sim.now),
		Sidecars: map[registry.Host]steer.SidecarStatus{sim.instances[0].host: {LastSeen: sim.now, HeartbeatTimeout: membership.LocalHeartbeatTimeout}},
		Settled:  true,
	}
	sim.publish(0, sim.entry(0, true))
	sim.publishFleet()
	sim.balancers[0].SetFleet(before)
	must.Eq(t, 1, sim.send(0, opening(flowKey(1))))
	must.Eq(t, 0, sim.instances[0].openings)
}

// TestAddressOfAnotherService sends an opening to a host that serves another service
// than in the balancer's outdated list.
func TestAddressOfAnotherService(t *testing.T) {
	sim := newSimulation(1, service, service)
	stale := sim.directory.Snapshot(sim.now)
	sim.instances[0].service = otherService
	sim.startSidecar(0)
	sim.startUpstream(0)
	sim.publishFleet()
	sim.balancers[0].SetFleet(&steer.Fleet{Snapshot: stale, Sidecars: map[registry.Host]steer.SidecarStatus{sim.instances[0].host: {LastSeen: sim.now, HeartbeatTimeout: membership.LocalHeartbeatTimeout}}})
	must.Eq(t, 1, sim.send(0, opening(flowKey(1))))
	must.Eq(t, 0, sim.instances[0].openings)
}

// TestConfirmationAtAnotherUpstream guards against a reset when two upstreams answer
// copies of one opening and the caller confirms the second answer.
func TestConfirmationAtAnotherUpstream(t *testing.T) {
	sim := newSimulation(2, service, service)
	k := flowKey(1)
	first := sim.send(0, opening(k))
	sim.dropNotices()
	// The other balancer receives the same opening, with a higher load of the first
	// upstream.
	f := &steer.Fleet{Snapshot: sim.directory.Snapshot(sim.now), Sidecars: map[registry.Host]steer.SidecarStatus{}, Settled: true}
	for i, s := range sim.instances {
		load := noLoad
		if i == first {
			load.Flows = 100
		}
		f.Sidecars[s.host] = steer.SidecarStatus{Load: load, LastSeen: sim.now, HeartbeatTimeout: membership.LocalHeartbeatTimeout}
	}
	sim.balancers[1].SetFleet(f)
	second := sim.send(1, opening(k))
	must.NotEq(t, first, second)
	sim.dropNotices()
	must.Eq(t, second, sim.send(0, sim.request(k, second)))
	must.SliceEmpty(t, sim.resets)
}

// TestRepeatedOpening checks that a retransmitted opening goes to another upstream only
// when no heartbeat of the first one's sidecar was received in between.
func TestRepeatedOpening(t *testing.T) {
	sim := newSimulation(1, service, service)
	p := opening(flowKey(1))
	first := sim.send(0, p)
	sim.advance(200 * time.Millisecond)
	must.Eq(t, first, sim.send(0, p))
	sim.now += 300 * time.Millisecond // no heartbeat since
	must.NotEq(t, first, sim.send(0, p))
}

// TestPacketsFromWrongDirection checks that balancers and sidecars drop packets with
// flags that the sender cannot have set.
func TestPacketsFromWrongDirection(t *testing.T) {
	sim := newSimulation(1, service)
	for _, flags := range []steer.Flags{steer.SYN | steer.ACK, steer.SYN | steer.Returned, steer.ACK | steer.Returned} {
		p := opening(flowKey(1))
		p.Flags = flags
		must.Eq[steer.Action](t, steer.Drop{Reason: steer.ReasonInvalid}, sim.balancers[0].Packet(sim.now, &p, new(steer.Forward)))
		h := steer.Header{Service: registry.HashService(service)}
		must.Eq[steer.Action](t, steer.Drop{Reason: steer.ReasonInvalid}, sim.instances[0].sidecar.FromBalancer(sim.now, &h, &p))
	}
}

// TestUnknownRoute checks that openings without a route are refused, and that later
// packets, which may belong to a newer route, are dropped.
func TestUnknownRoute(t *testing.T) {
	sim := newSimulation(1, service)
	p := opening(flowKey(1))
	p.Destination.Port++
	must.Eq[steer.Action](t, steer.Refuse{Reason: steer.ReasonNoRoute}, sim.balancers[0].Packet(sim.now, &p, new(steer.Forward)))
	p.Flags = steer.ACK
	must.Eq[steer.Action](t, steer.Drop{Reason: steer.ReasonNoRoute}, sim.balancers[0].Packet(sim.now, &p, new(steer.Forward)))
}

// TestFlowTableIsBounded opens more flows than fit into a shard. Flows beyond the bound
// are found by a search.
func TestFlowTableIsBounded(t *testing.T) {
	sim := newSimulation(1, service, service)
	const flows = 1<<14 + 100
	key := func(n int) steer.Key {
		k := flowKey(0)
		k.Caller.Host = registry.Host{byte(n >> 16), byte(n >> 8), byte(n), 1} // all in one shard
		return k
	}
	for n := range flows {
		p := opening(key(n))
		sim.balancers[0].Packet(sim.now, &p, new(steer.Forward))
	}
	must.Eq(t, 1<<14, sim.balancers[0].Flows())
	at := sim.open(0, key(flows))
	must.Eq(t, at, sim.send(0, sim.request(key(flows), at)))
	h := steer.Header{Service: registry.HashService(service)}
	for n := range flows {
		p := opening(key(n))
		p.Flags = steer.ACK
		sim.instances[0].sidecar.FromBalancer(sim.now, &h, &p)
	}
	sim.advance(time.Minute)
	sim.instances[0].sidecar.Expire(sim.now)
	must.Eq(t, 0, sim.instances[0].sidecar.Active())
}
