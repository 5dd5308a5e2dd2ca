package steer_test

import (
	"testing"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// evacuate begins or ends the evacuation of a data centre. Processes receive it with the
// next fleet.
func (sim *simulation) evacuate(dataCentre string, active bool) {
	sim.revision++
	c := registry.EvacuationChange{DataCentre: dataCentre, Revision: sim.revision}
	if active {
		c.Status = registry.EvacuationActive
	}
	sim.directory.Apply(sim.now, registry.Update{
		State: registry.State{Revision: sim.revision}, From: registry.State{Revision: sim.revision - 1},
		Evacuations: []registry.EvacuationChange{c},
	})
}

// TestEvacuatedUpstreamsGetNoOpening evacuates the near data centre: openings go to the
// far one, and open flows stay where they are.
func TestEvacuatedUpstreamsGetNoOpening(t *testing.T) {
	sim := newSimulation(1, service, service, service)
	must.Eq(t, near, dataCentreOf(sim.open(0, flowKey(1))))
	at := sim.open(0, flowKey(2))
	sim.evacuate(near, true)
	sim.publishFleet()
	for n := 3; n < 10; n++ {
		must.Eq(t, 2, sim.open(0, flowKey(n)))
	}
	must.Eq(t, at, sim.send(0, sim.request(flowKey(2), at)))
	must.SliceEmpty(t, sim.resets)
	sim.evacuate(near, false)
	sim.publishFleet()
	must.Eq(t, near, dataCentreOf(sim.open(0, flowKey(10))))
}

// TestSidecarDeclinesDuringEvacuation has a balancer that has not received the evacuation
// yet. The sidecars pass its openings on, also when their own upstream is not listed.
func TestSidecarDeclinesDuringEvacuation(t *testing.T) {
	sim := newSimulation(1, service, service, service)
	before := sim.balancers[0].Fleet()
	sim.evacuate(near, true)
	sim.publish(0, nil)
	sim.publish(1, nil)
	sim.publishFleet()
	sim.balancers[0].SetFleet(before)
	for n := range 10 {
		must.Eq(t, 2, sim.send(0, opening(flowKey(n))))
	}
	must.Eq(t, 10, sim.instances[2].openings)
}

// TestOpeningBetweenEvacuatedAndFullUpstreams checks that an opening ends with a reset
// when the upstreams of one data centre are evacuated and that of the other one is full.
func TestOpeningBetweenEvacuatedAndFullUpstreams(t *testing.T) {
	sim := newSimulation(1, service, service, service)
	before := sim.balancers[0].Fleet()
	sim.evacuate(near, true)
	sim.publishFleet()
	sim.instances[2].full = true
	for _, f := range []*steer.Fleet{before, sim.balancers[0].Fleet()} {
		sim.balancers[0].SetFleet(f)
		sim.resets = nil
		must.Eq(t, -1, sim.send(0, opening(flowKey(1))))
		must.Eq(t, []steer.Key{flowKey(1)}, sim.resets)
	}
}

// TestAllDataCentresEvacuated checks that openings are refused at once with the reason
// while all data centres are evacuated, and served again afterwards.
func TestAllDataCentresEvacuated(t *testing.T) {
	sim := newSimulation(1, service, service, service)
	sim.evacuate(near, true)
	sim.evacuate(far, true)
	sim.publishFleet()
	p := opening(flowKey(1))
	must.Eq[steer.Action](t, steer.Refuse{Reason: steer.ReasonEvacuated}, sim.balancers[0].Packet(sim.now, &p, new(steer.Forward)))
	sim.evacuate(far, false)
	sim.publishFleet()
	must.Eq(t, 2, sim.send(0, p))
}
