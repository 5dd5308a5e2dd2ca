package steer_test

import (
	"testing"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// The regions of the data centres of simulations.
const (
	nearRegion = "east"
	farRegion  = "west"
)

// publishHomes publishes a version of the route with home regions.
func (sim *simulation) publishHomes(version uint64, homes ...string) {
	r := registry.Route{Name: "r", Address: routeAddress, Homes: homes, Targets: []registry.Target{{Service: service, Weight: 1}}}
	sim.directory.Apply(sim.now, registry.Update{Routes: &registry.Routes{Version: version, List: []registry.Route{r}}})
	sim.publishFleet()
}

// TestOpeningsStayInHomeRegions checks that flows of a route with homes open only there,
// and are reset at once when no home has an upstream.
func TestOpeningsStayInHomeRegions(t *testing.T) {
	sim := newSimulation(1, service, service, service)
	sim.publishHomes(2, farRegion)
	for n := range 10 {
		must.Eq(t, 2, sim.open(0, flowKey(n)))
	}
	sim.publishHomes(3, "north")
	p := opening(flowKey(10))
	must.Eq[steer.Action](t, steer.Refuse{Reason: steer.ReasonHome}, sim.balancers[0].Packet(sim.now, &p, new(steer.Forward)))
	sim.publishHomes(4, nearRegion, farRegion)
	must.Eq(t, near, dataCentreOf(sim.open(0, flowKey(11))))
}

// TestSearchStaysInHomeRegions checks that packets of an unknown flow are delivered to
// upstreams of the home regions alone: they find a flow there, and one that none of
// them holds is reset.
func TestSearchStaysInHomeRegions(t *testing.T) {
	sim := newSimulation(2, service, service, service, service, service, service)
	sim.publishHomes(2, farRegion)
	at := sim.send(0, opening(flowKey(1)))
	must.Eq(t, far, dataCentreOf(at))
	delivered := 0
	deliver := func(p steer.Packet) int {
		var fw steer.Forward
		a := sim.balancers[1].Packet(sim.now, &p, &fw)
		if f, ok := a.(*steer.Forward); ok {
			for i, s := range sim.instances {
				if s.host == f.Host && dataCentreOf(i) != far {
					delivered++
				}
			}
		}
		return sim.execute(a, p)
	}
	must.Eq(t, at, deliver(sim.request(flowKey(1), at)))
	unknown := steer.Packet{Source: flowKey(2).Caller, Destination: routeAddress, Flags: steer.ACK, Sequence: 8, Acknowledged: 9, Data: 100}
	must.Eq(t, -1, deliver(unknown))
	must.Eq(t, []steer.Key{flowKey(2)}, sim.resets)
	must.Zero(t, delivered)
}
