package steer_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// TestFlowIsFoundAfterBalancerRestart sends a later packet through a balancer with an
// empty flow table.
func TestFlowIsFoundAfterBalancerRestart(t *testing.T) {
	sim := newSimulation(2, service, service, service, service)
	for n := range 20 {
		at := sim.open(0, flowKey(n))
		sim.dropNotices()
		must.Eq(t, at, sim.send(1, sim.request(flowKey(n), at)), must.Sprintf("flow %d", n))
	}
	must.SliceEmpty(t, sim.resets)
}

// TestSearchIncludesServicesOfOlderRoutes removes a service from the route while flows
// are open there.
func TestSearchIncludesServicesOfOlderRoutes(t *testing.T) {
	sim := newSimulation(2, service, service, otherService, otherService)
	sim.publishRoutes(2, otherService)
	sim.publishFleet()
	at := sim.open(0, flowKey(1))
	must.Eq(t, otherService, sim.instances[at].service)
	sim.publishRoutes(3, service)
	sim.publishFleet()
	sim.dropNotices()
	must.Eq(t, at, sim.send(1, sim.request(flowKey(1), at)))
	must.SliceEmpty(t, sim.resets)
}

// TestSearchWithoutHeartbeats searches through sidecars that have received no heartbeat
// of any other sidecar.
func TestSearchWithoutHeartbeats(t *testing.T) {
	sim := newSimulation(2, service, service)
	at := sim.open(0, flowKey(1))
	sim.dropNotices()
	noHeartbeats := &steer.Fleet{Snapshot: sim.directory.Snapshot(sim.now), Sidecars: map[registry.Host]steer.SidecarStatus{}, Settled: true}
	for _, s := range sim.instances {
		s.sidecar.SetFleet(noHeartbeats)
	}
	must.Eq(t, at, sim.send(1, sim.request(flowKey(1), at)))
}

// TestSearchSkipsLostSidecar guards against a search that ends at a lost sidecar before
// it reaches the upstream that holds the flow.
func TestSearchSkipsLostSidecar(t *testing.T) {
	sim := newSimulation(2, service, service, service, service, service)
	for n := range 20 {
		at := sim.open(0, flowKey(n))
		sim.dropNotices()
		f := &steer.Fleet{Snapshot: sim.directory.Snapshot(sim.now), Sidecars: map[registry.Host]steer.SidecarStatus{}, Settled: true}
		lost := (at + 1) % len(sim.instances)
		f.Sidecars[sim.instances[lost].host] = steer.SidecarStatus{Stopping: true}
		sim.balancers[1].SetFleet(f)
		for _, s := range sim.instances {
			s.sidecar.SetFleet(f)
		}
		sim.instances[lost].running = false
		must.Eq(t, at, sim.send(1, sim.request(flowKey(n), at)))
		sim.instances[lost].running = true
		sim.publishFleet()
	}
}

// TestFlowAtUnlistedUpstreamIsFound restarts all balancers and sidecars after entries
// have expired, so that the new list lacks the upstream that holds the flow.
func TestFlowAtUnlistedUpstreamIsFound(t *testing.T) {
	sim := newSimulation(1, service, service, service)
	for n := range 20 {
		at := sim.open(0, flowKey(n))
		partial := registry.NewDirectory()
		list := registry.Update{State: registry.State{Revision: sim.revision}, Whole: true}
		for i, s := range sim.instances {
			if i != at {
				list.Changes = append(list.Changes, registry.Change{Key: s.host.String(), Revision: 1, Upstream: sim.entry(i, false)})
			}
		}
		partial.Apply(sim.now, list)
		partial.Apply(sim.now, sim.directory.Since(sim.now, 0, registry.State{Revision: sim.revision}))
		f := &steer.Fleet{
			Snapshot: partial.Snapshot(sim.now),
			Sidecars: map[registry.Host]steer.SidecarStatus{},
			Unlisted: []registry.Host{sim.instances[at].host},
			Settled:  true,
		}
		sim.startBalancer(0)
		sim.balancers[0].SetFleet(f)
		for i, s := range sim.instances {
			sim.startSidecar(i)
			s.sidecar.SetFleet(f)
		}
		must.Eq(t, at, sim.send(0, sim.request(flowKey(n), at)))
		sim.publishFleet()
	}
	must.SliceEmpty(t, sim.resets)
}

// TestSidecarWithoutUpstreamDoesNotBlockSearch has a live sidecar that is not in the
// list because its upstream is gone.
func TestSidecarWithoutUpstreamDoesNotBlockSearch(t *testing.T) {
	sim := newSimulation(1, service, service)
	at := sim.open(0, flowKey(1))
	p := sim.request(flowKey(1), at)
	sim.startUpstream(at)
	sim.startBalancer(0)
	noUpstream := steer.NewSidecar(steer.SidecarConfig{Self: registry.Host{10, 9, 9, 9}, DataCentre: near, Service: service, MaxFlow: maxFlow, Started: sim.now})
	sim.instances = append(sim.instances, &instance{host: registry.Host{10, 9, 9, 9}, service: service, sidecar: noUpstream})
	f := &steer.Fleet{
		Snapshot: sim.directory.Snapshot(sim.now),
		Sidecars: map[registry.Host]steer.SidecarStatus{},
		Unlisted: []registry.Host{{10, 9, 9, 9}},
		Settled:  true,
	}
	sim.balancers[0].SetFleet(f)
	for i, s := range sim.instances[:2] {
		sim.startSidecar(i)
		s.sidecar.SetFleet(f)
	}
	noUpstream.SetFleet(f)
	must.Eq(t, -1, sim.send(0, p)) // lost at the sidecar without an upstream
	must.SliceEmpty(t, sim.resets)
	sim.now += 200 * time.Millisecond
	must.True(t, noUpstream.Silent(sim.now))
	must.Eq(t, -1, sim.send(0, p))
	must.Eq(t, []steer.Key{flowKey(1)}, sim.resets)
}

// TestHeldPacketIsResetOnceSettled restarts all processes and sends a packet of a flow
// that no upstream holds. The packet is held until the list is certain to be complete.
func TestHeldPacketIsResetOnceSettled(t *testing.T) {
	sim := newSimulation(1, service, service, otherService)
	at := sim.open(0, flowKey(1))
	p := sim.request(flowKey(1), at)
	unsettled := &steer.Fleet{Snapshot: sim.directory.Snapshot(sim.now), Sidecars: map[registry.Host]steer.SidecarStatus{}}
	sim.startBalancer(0)
	sim.balancers[0].SetFleet(unsettled)
	for i, s := range sim.instances {
		sim.startSidecar(i)
		sim.startUpstream(i)
		s.sidecar.SetFleet(unsettled)
	}
	must.Eq(t, -1, sim.send(0, p))
	must.Len(t, 1, sim.held)
	sim.retryHeld()
	must.SliceEmpty(t, sim.resets)
	sim.publishFleet()
	sim.retryHeld()
	must.Eq(t, []steer.Key{flowKey(1)}, sim.resets)
	must.SliceEmpty(t, sim.held)
}

// TestSearchSkipsStoppedUpstream guards against a search that stalls at a listed
// upstream which has stopped while its sidecar is alive: packets delivered there are
// never returned.
func TestSearchSkipsStoppedUpstream(t *testing.T) {
	sim := newSimulation(1, service, service)
	at := sim.open(0, flowKey(1))
	p := sim.request(flowKey(1), at)
	for i := range sim.instances {
		sim.startSidecar(i)
		sim.startUpstream(i)
	}
	sim.instances[1-at].running = false
	sim.startBalancer(0)
	sim.publishFleet()
	must.Eq(t, -1, sim.send(0, p))
	must.SliceEmpty(t, sim.resets)
	stopped := sim.instances[1-at].sidecar
	must.False(t, stopped.ShouldProbe(sim.now))
	sim.now += 150 * time.Millisecond
	must.True(t, stopped.ShouldProbe(sim.now))
	_, ended := stopped.ConnectionRefused(sim.now)
	must.True(t, ended)
	sim.publishFleet()
	must.Eq(t, -1, sim.send(0, p))
	must.Eq(t, []steer.Key{flowKey(1)}, sim.resets)
}

// TestPacketsFollowPassedOnOpening sends a copy of an opening, and the first packet of
// its flow, before balancers have learned to which upstream it was passed on.
func TestPacketsFollowPassedOnOpening(t *testing.T) {
	sim := newSimulation(1, service, service, service)
	k := flowKey(1)
	p := opening(k)
	first, ok := sim.balancers[0].Packet(sim.now, &p, new(steer.Forward)).(*steer.Forward)
	must.True(t, ok)
	h := first.Header
	for n, s := range sim.instances {
		s.full = s.host == first.Host
		if s.full {
			must.NotEq(t, n, sim.send(0, p))
		}
	}
	accepted := 0
	at := -1
	for n, s := range sim.instances {
		s.full = false
		accepted += s.openings
		if s.openings > 0 {
			at = n
		}
	}
	must.Eq(t, 1, accepted)
	sim.dropNotices()
	must.Eq(t, at, sim.send(0, p))
	must.Eq(t, 1, len(sim.instances[at].answered))
	// The first packet of the flow is not offered to the upstream that returned the
	// opening.
	later := sim.request(k, at)
	i := 0
	for sim.instances[i].host != first.Host {
		i++
	}
	a, ok := sim.instances[i].sidecar.FromBalancer(sim.now, &h, &later).(*steer.Forward)
	must.True(t, ok)
	must.Eq(t, sim.instances[at].host, a.Host)
	must.Eq(t, []registry.Host{first.Host}, a.Header.Visited)
	// A new opening from the same port is placed independently.
	again := opening(k)
	again.Sequence += 1000
	_, ok = sim.instances[i].sidecar.FromBalancer(sim.now, &h, &again).(steer.Deliver)
	must.True(t, ok)
}
