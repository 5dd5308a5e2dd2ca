package steer_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// TestFlowOfRestartedUpstreamIsReset restarts an upstream, so that it loses flows that
// are still in the table of its sidecar.
func TestFlowOfRestartedUpstreamIsReset(t *testing.T) {
	sim := newSimulation(1, service, service)
	at := sim.open(0, flowKey(1))
	p := sim.request(flowKey(1), at)
	sim.startUpstream(at)
	must.Eq(t, -1, sim.send(0, p))
	must.Eq(t, []steer.Key{flowKey(1)}, sim.resets)
}

// TestFlowResetAfterFullRestart restarts all processes at once, after which no upstream
// holds the flow.
func TestFlowResetAfterFullRestart(t *testing.T) {
	sim := newSimulation(1, service, service, otherService)
	at := sim.open(0, flowKey(1))
	p := sim.request(flowKey(1), at)
	sim.restartAll()
	sim.publishFleet()
	must.Eq(t, -1, sim.send(0, p))
	must.Eq(t, []steer.Key{flowKey(1)}, sim.resets)
}

// TestCachedFlowResetAfterUpstreamRestart restarts all upstreams and sidecars at once,
// while the balancer keeps running with the flow in its table.
func TestCachedFlowResetAfterUpstreamRestart(t *testing.T) {
	sim := newSimulation(1, service, service, otherService)
	at := sim.open(0, flowKey(1))
	p := sim.request(flowKey(1), at)
	must.Eq(t, at, sim.send(0, p))
	for i := range sim.instances {
		sim.startSidecar(i)
		sim.startUpstream(i)
	}
	sim.now += time.Second
	sim.publishFleet()
	must.Eq(t, -1, sim.send(0, p))
	must.Eq(t, []steer.Key{flowKey(1)}, sim.resets)
}

// TestFlowConfirmedDuringSearchIsKept guards against resetting a flow that a sidecar
// confirmed after its upstream had returned a packet of an earlier flow with the same
// key.
func TestFlowConfirmedDuringSearchIsKept(t *testing.T) {
	sim := newSimulation(1, service, service)
	at := sim.open(0, flowKey(1))
	returned := func(instance int) bool {
		m := steer.MissReport{Key: flowKey(1), State: registry.State{Revision: sim.revision}, Hosts: []registry.Host{sim.instances[instance].host}}
		_, reset := sim.balancers[0].FlowMissing(sim.now, &m)
		return reset
	}
	sim.now += time.Second
	must.False(t, returned(at))
	sim.now += 10 * time.Millisecond
	sim.balancers[0].Learn(sim.now, flowKey(1), sim.instances[at].host)
	must.False(t, returned(1-at))
}

// TestNoResetWhileAnUpstreamMayHoldFlow guards against a reset while it is uncertain
// whether an upstream that has not returned the packet holds the flow.
func TestNoResetWhileAnUpstreamMayHoldFlow(t *testing.T) {
	cases := map[string]func(f *steer.Fleet, sim *simulation, at int){
		"fleet not settled": func(f *steer.Fleet, _ *simulation, _ int) { f.Settled = false },
		"sidecar silent": func(f *steer.Fleet, sim *simulation, at int) {
			f.Sidecars[sim.instances[at].host] = steer.SidecarStatus{LastSeen: sim.now - time.Hour, HeartbeatTimeout: membership.LocalHeartbeatTimeout}
			sim.instances[at].running = false // packets to it are lost
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(1, service, service, service)
			at := sim.open(0, flowKey(1))
			p := sim.request(flowKey(1), at)
			sim.startBalancer(0)
			f := &steer.Fleet{Snapshot: sim.directory.Snapshot(sim.now), Sidecars: map[registry.Host]steer.SidecarStatus{}, Settled: true}
			prepare(f, sim, at)
			sim.balancers[0].SetFleet(f)
			for i, s := range sim.instances {
				sim.startSidecar(i)
				s.sidecar.SetFleet(f)
				s.open = nil
				s.answered = nil
			}
			must.Eq(t, -1, sim.send(0, p))
			must.SliceEmpty(t, sim.resets)
		})
	}
}

// TestNoResetWhileLocalUpstreamIsUnlisted has a recovering fleet whose list lacks an
// upstream that only its own sidecar reports. The flow is reset once the fleet is no
// longer recovering, since an entry that is still missing then belongs to an upstream
// that has left.
func TestNoResetWhileLocalUpstreamIsUnlisted(t *testing.T) {
	sim := newSimulation(1, service, service)
	at := sim.open(0, flowKey(1))
	p := sim.request(flowKey(1), at)
	sim.startUpstream(at)
	empty := registry.NewDirectory()
	empty.Apply(sim.now, registry.Update{State: registry.State{Revision: sim.revision}, Whole: true})
	empty.Apply(sim.now, sim.directory.Since(sim.now, 0, registry.State{Revision: sim.revision}))
	sim.startSidecar(at)
	h := steer.Header{Balancer: balancerHost(0), Service: registry.HashService(service), State: registry.State{Revision: sim.revision}}
	sim.startBalancer(0)
	for _, recovering := range []bool{true, false} {
		f := &steer.Fleet{Snapshot: empty.Snapshot(sim.now), Settled: true, Recovering: recovering}
		sim.balancers[0].SetFleet(f)
		sim.instances[at].sidecar.SetFleet(f)
		must.Eq(t, -1, sim.execute(&steer.Forward{Host: sim.instances[at].host, Header: h}, p))
		must.Eq(t, recovering, len(sim.resets) == 0)
	}
}

// TestNoResetOnOutdatedList guards against a reset when an upstream is missing from the
// list of the sidecars but not from that of the balancer, or the other way round.
func TestNoResetOnOutdatedList(t *testing.T) {
	for _, behind := range []string{"sidecars", "balancer"} {
		t.Run(behind, func(t *testing.T) {
			sim := newSimulation(1, service, service, service)
			older := registry.NewDirectory()
			older.Apply(sim.now, registry.Update{State: registry.State{Revision: 2}, Whole: true, Changes: []registry.Change{
				{Key: sim.instances[0].host.String(), Revision: 1, Upstream: sim.entry(0, false)},
				{Key: sim.instances[1].host.String(), Revision: 2, Upstream: sim.entry(1, false)},
			}})
			older.Apply(sim.now, sim.directory.Since(sim.now, 0, registry.State{Revision: sim.revision}))
			old := &steer.Fleet{Snapshot: older.Snapshot(sim.now), Sidecars: map[registry.Host]steer.SidecarStatus{}, Settled: true}
			if behind == "balancer" {
				sim.balancers[0].SetFleet(old)
			} else {
				for _, s := range sim.instances {
					s.sidecar.SetFleet(old)
				}
			}
			p := opening(flowKey(1))
			p.Flags = steer.ACK
			must.Eq(t, -1, sim.send(0, p))
			must.SliceEmpty(t, sim.resets)
		})
	}
}

// TestFlowsOfStoppedUpstreamAreReset checks that a refused probe connection resets the
// open flows of a stopped upstream, also without further packets.
func TestFlowsOfStoppedUpstreamAreReset(t *testing.T) {
	sim := newSimulation(1, service, service)
	at := sim.open(0, flowKey(1))
	s := sim.instances[at].sidecar
	p := sim.request(flowKey(1), at)
	s.FromUpstream(sim.now, reply(flowKey(1), steer.ACK, 1, 900))
	s.Connected()
	_, ended := s.ConnectionRefused(sim.now)
	must.False(t, ended) // it has reacted to all delivered packets
	p.Sequence += 100
	p.Acknowledged += 900
	sim.instances[at].running = false
	sim.send(0, p)
	sim.now += 120 * time.Millisecond
	must.True(t, s.ShouldProbe(sim.now))
	orphans, ended := s.ConnectionRefused(sim.now)
	must.True(t, ended)
	must.Len(t, 1, orphans)
	must.Eq(t, flowKey(1), orphans[0].CallerKey())
	must.Eq(t, p.Acknowledged, orphans[0].Acknowledged)
	must.True(t, s.Silent(sim.now))
	must.Eq(t, 0, s.Flows())
	must.Eq(t, 0, s.Active())
	// An opening is passed on, and one after the upstream has restarted is not.
	sim.publishFleet()
	must.Eq(t, 1-at, sim.send(0, opening(flowKey(2))))
	sim.startUpstream(at)
	s.Connected()
	must.False(t, s.Silent(sim.now))
}

// TestFlowsOfLostSidecarAreReset has a sidecar that is absent for a short time, for
// longer, and while the balancer itself is isolated.
func TestFlowsOfLostSidecarAreReset(t *testing.T) {
	tests := map[string]struct {
		absent   time.Duration
		isolated bool
		reset    bool
	}{
		"short absence":     {absent: 300 * time.Millisecond},
		"long absence":      {absent: 400 * time.Millisecond, reset: true},
		"isolated balancer": {absent: 400 * time.Millisecond, isolated: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(1, service, service)
			at := sim.open(0, flowKey(1))
			busy := sim.request(flowKey(1), at)
			var idle steer.Key
			for n := 2; idle == (steer.Key{}); n++ {
				if sim.open(0, flowKey(n)) == at {
					idle = flowKey(n)
				}
			}
			sim.deliverNotices()
			f := &steer.Fleet{Snapshot: sim.directory.Snapshot(sim.now), Sidecars: map[registry.Host]steer.SidecarStatus{}, Isolated: tc.isolated}
			f.Sidecars[sim.instances[at].host] = steer.SidecarStatus{Stopping: true, AbsentSince: sim.now}
			sim.balancers[0].SetFleet(f)
			sim.now += tc.absent
			sim.send(0, busy)
			orphans := sim.balancers[0].EvictOrphans(sim.now)
			if !tc.reset {
				must.SliceEmpty(t, sim.resets)
				must.SliceEmpty(t, orphans)
				return
			}
			must.Eq(t, []steer.Key{flowKey(1)}, sim.resets)
			must.Len(t, 1, orphans)
			must.Eq(t, idle, orphans[0].CallerKey())
			must.Eq(t, sim.request(idle, at).Acknowledged, orphans[0].Acknowledged)
		})
	}
}

// TestNonIdempotentRequestIsNotReset guards against aborting a request that is not
// idempotent when its sidecar is lost: the flow is reset only after the timeout of the
// route.
func TestNonIdempotentRequestIsNotReset(t *testing.T) {
	sim := newSimulation(1, service, service)
	at := sim.open(0, flowKey(1))
	sim.deliverNotices()
	r := registry.Route{
		Name: "r", Address: routeAddress, Timeout: 2 * time.Second,
		Targets: []registry.Target{{Service: service, Weight: 1}},
	}
	sim.directory.Apply(sim.now, registry.Update{Routes: &registry.Routes{Version: 2, List: []registry.Route{r}}})
	f := &steer.Fleet{Snapshot: sim.directory.Snapshot(sim.now), Sidecars: map[registry.Host]steer.SidecarStatus{}}
	f.Sidecars[sim.instances[at].host] = steer.SidecarStatus{Stopping: true, AbsentSince: sim.now - time.Second}
	sim.balancers[0].SetFleet(f)
	sim.now += time.Second
	must.Eq(t, at, sim.send(0, sim.request(flowKey(1), at))) // a retransmission; the request was sent a second ago
	must.SliceEmpty(t, sim.balancers[0].EvictOrphans(sim.now))
	sim.now += 1500 * time.Millisecond
	must.Len(t, 1, sim.balancers[0].EvictOrphans(sim.now))
	must.SliceEmpty(t, sim.resets)
}
