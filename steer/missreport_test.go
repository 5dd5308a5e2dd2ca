package steer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// newLargeSimulation returns a simulation with 150 upstreams, 100 of them in the data
// centre of the balancers.
func newLargeSimulation() *simulation {
	services := make([]string, 150)
	for i := range services {
		services[i] = service
		if i%5 == 4 {
			services[i] = otherService
		}
	}
	return newSimulation(2, services...)
}

// TestSearchReachesEveryUpstream checks that a search in a large fleet finds the flow
// at any upstream.
func TestSearchReachesEveryUpstream(t *testing.T) {
	sim := newLargeSimulation()
	for n := range 150 {
		h := steer.Header{Balancer: balancerHost(0), Service: registry.HashService(service), Version: 1, State: registry.State{Revision: sim.revision}}
		if sim.instances[n].service == otherService {
			h.Service = registry.HashService(otherService)
		}
		p := opening(flowKey(n))
		must.Eq(t, n, sim.execute(&steer.Forward{Host: sim.instances[n].host, Header: h}, p))
		sim.dropNotices()
		must.Eq(t, n, sim.send(1, sim.request(flowKey(n), n)), must.Sprintf("flow at upstream %d", n))
		sim.dropNotices()
		sim.startBalancer(1)
		sim.startSidecar(n)
		sim.publishFleet()
		must.Eq(t, n, sim.send(1, sim.request(flowKey(n), n)), must.Sprintf("flow at upstream %d, after a restart of its sidecar", n))
	}
	must.SliceEmpty(t, sim.resets)
}

// TestFlowResetAfterLargeFleetRestart restarts all processes of a large fleet at once,
// after which no upstream holds the flow.
func TestFlowResetAfterLargeFleetRestart(t *testing.T) {
	sim := newLargeSimulation()
	at := sim.open(0, flowKey(1))
	p := sim.request(flowKey(1), at)
	sim.restartAll()
	sim.publishFleet()
	must.Eq(t, -1, sim.send(0, p))
	must.Eq(t, []steer.Key{flowKey(1)}, sim.resets)
}

// TestExhaustedSearchIsNotRepeated checks that the next packet of a flow that no
// upstream holds is dropped without another search, while it is not certain yet that
// the upstream list is complete.
func TestExhaustedSearchIsNotRepeated(t *testing.T) {
	sim := newSimulation(1, service, service, service)
	f := &steer.Fleet{Snapshot: sim.directory.Snapshot(sim.now), Sidecars: map[registry.Host]steer.SidecarStatus{}}
	sim.balancers[0].SetFleet(f)
	for _, s := range sim.instances {
		s.sidecar.SetFleet(f)
	}
	p := opening(flowKey(1))
	p.Flags = steer.ACK
	must.Eq(t, -1, sim.send(0, p))
	must.SliceEmpty(t, sim.resets)
	sim.held = nil
	out := new(steer.Forward)
	must.Eq[steer.Action](t, steer.Drop{Reason: steer.ReasonUnknownFlow}, sim.balancers[0].Packet(sim.now, &p, out))
	sim.now += time.Second
	must.Eq[steer.Action](t, out, sim.balancers[0].Packet(sim.now, &p, out))

	must.Eq(t, -1, sim.execute(out, p))
	sim.publishFleet()
	must.Len(t, 1, sim.balancers[0].ExhaustedSearches(sim.now))
	must.SliceEmpty(t, sim.balancers[0].ExhaustedSearches(sim.now))
}

// TestRetrySearchAfterPacketLoss guards against a search that stalls because its packet
// was lost: a retry reaches the upstreams that have not returned the packet, wherever
// the flow is.
func TestRetrySearchAfterPacketLoss(t *testing.T) {
	sim := newSimulation(1, service, service, service, service, otherService, service)
	for n := range sim.instances {
		h := steer.Header{Balancer: balancerHost(0), Service: registry.HashService(sim.instances[n].service), Version: 1, State: registry.State{Revision: sim.revision}}
		must.Eq(t, n, sim.execute(&steer.Forward{Host: sim.instances[n].host, Header: h}, opening(flowKey(n))))
		sim.dropNotices()
		sim.startBalancer(0)
		sim.publishFleet()
		p := sim.request(flowKey(n), n)
		list, again := sim.balancers[0].RetrySearch(sim.now, &p, 1)
		must.True(t, again)
		must.Len(t, 2, list, must.Sprint("one per data centre"))
		acceptedBy := -1
		for i := range list {
			acceptedBy = max(acceptedBy, sim.execute(&list[i], p))
		}
		must.Eq(t, n, acceptedBy)
		sim.deliverNotices()
		_, again = sim.balancers[0].RetrySearch(sim.now, &p, 1)
		must.False(t, again, must.Sprint("a sidecar has sent a notice for the flow"))
	}
	must.SliceEmpty(t, sim.resets)
}

// TestRetrySearchSkipsUpstreamsThatReturned has one upstream become reachable after all
// others have returned the packet.
func TestRetrySearchSkipsUpstreamsThatReturned(t *testing.T) {
	sim := newSimulation(1, service, service, service)
	p := opening(flowKey(1))
	p.Flags = steer.ACK
	sim.instances[1].running = false // packets to it are lost
	for range 3 {
		sim.execute(sim.balancers[0].Packet(sim.now, &p, new(steer.Forward)), p)
		list, _ := sim.balancers[0].RetrySearch(sim.now, &p, 1)
		for i := range list {
			sim.execute(&list[i], p)
		}
	}
	must.SliceEmpty(t, sim.resets)
	m := steer.MissReport{Key: flowKey(1), State: registry.State{Revision: sim.revision}, Hosts: []registry.Host{sim.instances[0].host, sim.instances[2].host}}
	_, reset := sim.balancers[0].FlowMissing(sim.now, &m)
	must.False(t, reset)
	list, again := sim.balancers[0].RetrySearch(sim.now, &p, 1)
	must.True(t, again)
	must.Len(t, 1, list)
	must.Eq(t, sim.instances[1].host, list[0].Host)
	sim.instances[1].running = true
	sim.execute(&list[0], p)
	must.Eq(t, []steer.Key{flowKey(1)}, sim.resets)
}

// FuzzMissing checks that a decoded report is encoded to the same bytes.
func FuzzMissing(f *testing.F) {
	m := steer.MissReport{Key: flowKey(7), Acknowledged: 9, State: registry.State{Revision: 3}, Hosts: []registry.Host{{10, 0, 0, 1}}}
	f.Add(m.Append(nil))
	f.Add([]byte("short"))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := steer.ParseMissReport(b)
		if err == nil {
			must.Eq(t, b, m.Append(nil))
		}
	})
}

// TestNoResetWhileSidecarLossIsUnconfirmed guards against resetting a flow when the entry of
// its upstream was removed from the list or never arrived and its sidecar is silent or
// restarts, but its loss is unconfirmed.
func TestNoResetWhileSidecarLossIsUnconfirmed(t *testing.T) {
	cases := map[string]struct {
		status steer.SidecarStatus
		reset  bool
	}{
		"suspected":  {steer.SidecarStatus{Stopping: true, Suspected: true}, false},
		"restarting": {steer.SidecarStatus{Stopping: true}, false},
		"absent":     {steer.SidecarStatus{Stopping: true, AbsentSince: time.Minute}, true},
		"ended":      {steer.SidecarStatus{Stopping: true, Ended: true}, true},
	}
	for name, c := range cases {
		for _, listed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, listed before %v", name, listed), func(t *testing.T) {
				sim := newSimulation(1, service, service, service)
				sim.publish(2, nil)
				sim.now += registry.MissingGrace
				if !listed {
					sim.now += time.Hour
					sim.directory.Expire(sim.now)
				}
				sim.publishFleet()
				f := &steer.Fleet{Snapshot: sim.directory.Snapshot(sim.now), Sidecars: map[registry.Host]steer.SidecarStatus{sim.instances[2].host: c.status}, Settled: true}
				must.Eq(t, listed, f.Snapshot.Listed(sim.instances[2].host))
				sim.balancers[0].SetFleet(f)
				m := steer.MissReport{Key: flowKey(1), State: registry.State{Revision: sim.revision}, Hosts: []registry.Host{sim.instances[0].host, sim.instances[1].host}}
				_, reset := sim.balancers[0].FlowMissing(sim.now, &m)
				must.Eq(t, c.reset, reset)
			})
		}
	}
}

// TestMissReportRoundTrip checks that a report is decoded as it was encoded, and that
// truncated reports are rejected.
func TestMissReportRoundTrip(t *testing.T) {
	want := steer.MissReport{Key: flowKey(7), Acknowledged: 1 << 31, State: registry.State{Era: 1 << 20, Revision: 1 << 40}, Hosts: []registry.Host{{10, 0, 0, 1}, {10, 0, 0, 2}}}
	b := want.Append(nil)
	got, err := steer.ParseMissReport(b)
	must.NoError(t, err)
	must.Eq(t, want, got)
	for n := range b {
		_, err := steer.ParseMissReport(b[:n])
		if !slices.Contains([]int{28, 32}, n) {
			must.Error(t, err)
		}
	}
}

// TestNoResetForSearchAcrossEras guards against a reset based on reports of two eras:
// one upstream returned the packet under the list of the previous era, the other one
// under the current list.
func TestNoResetForSearchAcrossEras(t *testing.T) {
	sim := newSimulation(1, service, service)
	entries := []registry.Change{
		{Key: sim.instances[0].host.String(), Revision: 1, Upstream: sim.entry(0, false)},
		{Key: sim.instances[1].host.String(), Revision: 2, Upstream: sim.entry(1, false)},
	}
	now := registry.State{Era: 1, Revision: 2}
	sim.directory.Apply(sim.now, registry.Update{State: now, Whole: true, Changes: entries})
	sim.balancers[0].SetFleet(&steer.Fleet{Snapshot: sim.directory.Snapshot(sim.now), Settled: true})
	returned := func(s registry.State, instance int) bool {
		m := steer.MissReport{Key: flowKey(1), State: s, Hosts: []registry.Host{sim.instances[instance].host}}
		_, reset := sim.balancers[0].FlowMissing(sim.now, &m)
		return reset
	}
	before := registry.State{Revision: sim.revision}
	must.False(t, returned(before, 0))
	must.False(t, returned(now, 1))
	must.False(t, returned(before, 0))
	must.True(t, returned(now, 0))
}
