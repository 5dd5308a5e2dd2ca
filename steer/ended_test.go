package steer_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// stopSidecar publishes the fleet after the sidecar of an instance announced that it stops.
func (sim *simulation) stopSidecar(i int) {
	s := sim.instances[i]
	sim.publishFleet()
	f := *sim.balancers[0].Fleet()
	f.Sidecars[s.host] = steer.SidecarStatus{DataCentre: dataCentreOf(i), Stopping: true, Ended: s.sidecar.Load(sim.now, 0).Ended}
	for _, b := range sim.balancers {
		b.SetFleet(&f)
	}
	for _, o := range sim.instances {
		o.sidecar.SetFleet(&f)
	}
}

// TestFlowResetAfterPowerLossDuringRelease loses everything while an upstream drains.
// Its sidecar starts once more, finds that nothing listens, and stops with its instance,
// while the entry is still in the list. Flows that nobody holds must be reset without
// waiting for the entry to expire.
func TestFlowResetAfterPowerLossDuringRelease(t *testing.T) {
	for _, ended := range []bool{true, false} {
		sim := newSimulation(1, service, service)
		at := sim.open(0, flowKey(1))
		lost := sim.request(flowKey(1), at)
		sim.restartAll()
		sim.instances[0].running = false
		sim.publish(0, sim.entry(0, true))
		sim.publishFleet()
		if ended {
			sim.instances[0].sidecar.RefusedAtStop()
		}
		sim.stopSidecar(0)
		sim.send(0, lost)
		if ended {
			must.Eq(t, []steer.Key{flowKey(1)}, sim.resets)
		} else {
			must.SliceEmpty(t, sim.resets)
		}
	}
}

// TestStoppingSidecarReportsEnd checks what a stopping sidecar takes as proof that its
// upstream has ended.
func TestStoppingSidecarReportsEnd(t *testing.T) {
	start := func(draining bool) (*simulation, *steer.Sidecar) {
		sim := newSimulation(1, service)
		sim.publish(0, sim.entry(0, draining))
		sim.publishFleet()
		return sim, sim.instances[0].sidecar
	}
	_, s := start(true)
	must.False(t, s.Ended())
	s.RefusedAtStop()
	must.True(t, s.Ended())

	_, s = start(false)
	s.RefusedAtStop()
	must.False(t, s.Ended(), must.Sprint("the upstream is not expected to end"))

	sim, s := start(true)
	sim.instances[0].sidecar.FromUpstream(sim.now, reply(flowKey(1), steer.ACK, 1, 10))
	s.RefusedAtStop()
	must.False(t, s.Ended(), must.Sprint("the upstream sends packets and may accept no connections"))
	r := registry.Route{Name: "r", Address: routeAddress, Targets: []registry.Target{{Service: service, Weight: 1}}}
	sim.directory.Apply(sim.now, registry.Update{Routes: &registry.Routes{Version: 2, List: []registry.Route{r}, Services: map[string]registry.Service{service: {Listens: true}}}})
	sim.publishFleet()
	must.True(t, s.Ended(), must.Sprint("it accepts connections while it runs"))

	sim, s = start(false)
	s.Connected()
	sim.send(0, opening(flowKey(1)))
	sim.instances[0].running = false
	sim.send(0, opening(flowKey(2)))
	sim.now += time.Second
	s.ConnectionRefused(sim.now)
	must.True(t, s.Ended(), must.Sprint("no reaction to a packet, and nothing listens"))
}

// TestFlowsOfEndedUpstreamAreReset checks that a balancer resets the flows that it
// remembers at an upstream that has ended.
func TestFlowsOfEndedUpstreamAreReset(t *testing.T) {
	sim := newSimulation(1, service)
	at := sim.open(0, flowKey(1))
	sim.deliverNotices()
	sim.instances[at].sidecar = steer.NewSidecar(steer.SidecarConfig{Self: sim.instances[at].host, DataCentre: near, Service: service, MaxFlow: maxFlow, Started: sim.now})
	sim.publish(0, sim.entry(0, true))
	sim.publishFleet()
	sim.instances[at].sidecar.RefusedAtStop()
	sim.stopSidecar(0)
	must.SliceLen(t, 1, sim.balancers[0].EvictOrphans(sim.now))
}
