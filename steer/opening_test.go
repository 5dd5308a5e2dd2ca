package steer_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// TestOpeningWaitsForAnEntryThatLapsed has a young list without an upstream of the
// service, while a sidecar lives whose upstream it lacks.
func TestOpeningWaitsForAnEntryThatLapsed(t *testing.T) {
	w := newWorld(1, service)
	lapsed := registry.NewDirectory()
	lapsed.Apply(w.now, registry.Update{Routes: &registry.Routes{Version: 1, List: []registry.Route{{
		Name: "r", Address: route, Targets: []registry.Target{{Service: service, Weight: 1}},
	}}}})
	lapsed.Apply(w.now, registry.Update{State: registry.State{Revision: w.revision}, Whole: true})
	p := opening(caller(1))
	for _, c := range []struct {
		young    bool
		unlisted []registry.Host
		want     steer.Action
	}{
		{true, []registry.Host{w.sites[0].host}, &steer.Hold{Reason: steer.ReasonNoUpstream}},
		{true, nil, steer.Refuse{Reason: steer.ReasonNoUpstream}},
		{false, []registry.Host{w.sites[0].host}, steer.Refuse{Reason: steer.ReasonNoUpstream}},
	} {
		w.balancers[0].SetFleet(&steer.Fleet{Snapshot: lapsed.Snapshot(w.now), Recovering: c.young, Unlisted: c.unlisted})
		must.Eq(t, c.want, w.balancers[0].Packet(w.now, &p, new(steer.Forward)))
	}
}

// TestOpeningRefusedByAllUpstreams fills every upstream.
func TestOpeningRefusedByAllUpstreams(t *testing.T) {
	w := newWorld(1, service, service, service)
	for _, s := range w.sites {
		s.full = true
	}
	must.Eq(t, -1, w.send(0, opening(caller(1))))
	must.Eq(t, []steer.Key{caller(1)}, w.resets)
}

// TestDrainingUpstreamGetsNoOpening drains one upstream that the balancer still believes to be available.
func TestDrainingUpstreamGetsNoOpening(t *testing.T) {
	w := newWorld(1, service, service)
	before := &steer.Fleet{
		Snapshot: w.directory.Snapshot(w.now),
		Sidecars: map[registry.Host]steer.SidecarStatus{w.sites[0].host: {LastHeartbeat: w.now, HeartbeatTimeout: membership.SuspectAfter}},
		Settled:  true,
	}
	w.publish(0, w.entry(0, true))
	w.refresh()
	w.balancers[0].SetFleet(before)
	must.Eq(t, 1, w.send(0, opening(caller(1))))
	must.Eq(t, 0, w.sites[0].taken)
}

// TestOpeningForRemovedTargetIsPassedOn has a sidecar that knows a newer version than the balancer.
func TestOpeningForRemovedTargetIsPassedOn(t *testing.T) {
	w := newWorld(1, service, other)
	old := w.directory.Snapshot(w.now)
	w.routes(2, other)
	w.refresh()
	w.balancers[0].SetFleet(&steer.Fleet{Snapshot: old, Sidecars: map[registry.Host]steer.SidecarStatus{}})
	must.Eq(t, 1, w.send(0, opening(caller(1))))
	must.Eq(t, 0, w.sites[0].taken)
}

// TestAddressOfAnotherService sends an opening to a host that serves something else by now.
func TestAddressOfAnotherService(t *testing.T) {
	w := newWorld(1, service, service)
	stale := w.directory.Snapshot(w.now)
	w.sites[0].service = other
	w.startSidecar(0)
	w.startUpstream(0)
	w.refresh()
	w.balancers[0].SetFleet(&steer.Fleet{Snapshot: stale, Sidecars: map[registry.Host]steer.SidecarStatus{w.sites[0].host: {LastHeartbeat: w.now, HeartbeatTimeout: membership.SuspectAfter}}})
	must.Eq(t, 1, w.send(0, opening(caller(1))))
	must.Eq(t, 0, w.sites[0].taken)
}

// TestConfirmationAtAnotherUpstream has two upstreams answer copies of one opening.
func TestConfirmationAtAnotherUpstream(t *testing.T) {
	w := newWorld(2, service, service)
	k := caller(1)
	first := w.send(0, opening(k))
	w.forget()
	// The other balancer sees the same opening and a busier first upstream.
	f := &steer.Fleet{Snapshot: w.directory.Snapshot(w.now), Sidecars: map[registry.Host]steer.SidecarStatus{}, Settled: true}
	for i, s := range w.sites {
		load := idle
		if i == first {
			load.Flows = 100
		}
		f.Sidecars[s.host] = steer.SidecarStatus{Load: load, LastHeartbeat: w.now, HeartbeatTimeout: membership.SuspectAfter}
	}
	w.balancers[1].SetFleet(f)
	second := w.send(1, opening(k))
	must.NotEq(t, first, second)
	w.forget()
	must.Eq(t, second, w.send(0, w.request(k, second)))
	must.SliceEmpty(t, w.resets)
}

// TestRepeatedOpening goes to another upstream only when the first one's sidecar was not heard since.
func TestRepeatedOpening(t *testing.T) {
	w := newWorld(1, service, service)
	p := opening(caller(1))
	first := w.send(0, p)
	w.advance(200 * time.Millisecond)
	must.Eq(t, first, w.send(0, p))
	w.now += 300 * time.Millisecond // no heartbeat since
	must.NotEq(t, first, w.send(0, p))
}

// TestPacketsFromWrongDirection are dropped by both processes.
func TestPacketsFromWrongDirection(t *testing.T) {
	w := newWorld(1, service)
	for _, flags := range []steer.Flags{steer.SYN | steer.ACK, steer.SYN | steer.Returned, steer.ACK | steer.Returned} {
		p := opening(caller(1))
		p.Flags = flags
		must.Eq[steer.Action](t, steer.Drop{Reason: steer.ReasonInvalid}, w.balancers[0].Packet(w.now, &p, new(steer.Forward)))
		h := steer.Header{Service: registry.HashService(service)}
		must.Eq[steer.Action](t, steer.Drop{Reason: steer.ReasonInvalid}, w.sites[0].sidecar.FromBalancer(w.now, &h, &p))
	}
}

// TestUnknownRoute refuses openings and drops what may belong to a newer route.
func TestUnknownRoute(t *testing.T) {
	w := newWorld(1, service)
	p := opening(caller(1))
	p.Destination.Port++
	must.Eq[steer.Action](t, steer.Refuse{Reason: steer.ReasonNoRoute}, w.balancers[0].Packet(w.now, &p, new(steer.Forward)))
	p.Flags = steer.ACK
	must.Eq[steer.Action](t, steer.Drop{Reason: steer.ReasonNoRoute}, w.balancers[0].Packet(w.now, &p, new(steer.Forward)))
}

// TestFlowTableIsBounded opens more flows than a shard remembers; those
// beyond are found by a search.
func TestFlowTableIsBounded(t *testing.T) {
	w := newWorld(1, service, service)
	const flows = 1<<14 + 100
	key := func(n int) steer.Key {
		k := caller(0)
		k.Caller.Host = registry.Host{byte(n >> 16), byte(n >> 8), byte(n), 1} // one shard
		return k
	}
	for n := range flows {
		p := opening(key(n))
		w.balancers[0].Packet(w.now, &p, new(steer.Forward))
	}
	must.Eq(t, 1<<14, w.balancers[0].Flows())
	at := w.open(0, key(flows))
	must.Eq(t, at, w.send(0, w.request(key(flows), at)))
	h := steer.Header{Service: registry.HashService(service)}
	for n := range flows {
		p := opening(key(n))
		p.Flags = steer.ACK
		w.sites[0].sidecar.FromBalancer(w.now, &h, &p)
	}
	w.advance(time.Minute)
	w.sites[0].sidecar.Expire(w.now)
	must.Eq(t, 0, w.sites[0].sidecar.Active())
}
