package steer_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// TestWorkIsClamped guards against a wrong report of work that attracts all flows or makes
// an upstream unusable: beyond a quarter of the service's median and eight times it,
// decisions are those at the bound.
func TestWorkIsClamped(t *testing.T) {
	place := func(lowest, highest int) []registry.Host {
		sim := newSimulation(0, service, service, service, service, service, service, service)
		f := &steer.Fleet{Snapshot: sim.directory.Snapshot(sim.now), Sidecars: make(map[registry.Host]steer.SidecarStatus), LiveBalancers: 1, Settled: true}
		for i, work := range []int{lowest, highest, 400, 400, 400, 400, 400} {
			flows := 80 // so that the slowest upstream is needed
			if i == 1 {
				flows = 0
			}
			f.Sidecars[sim.instances[i].host] = steer.SidecarStatus{Load: membership.Load{Work: work, Flows: flows}, LastSeen: sim.now, HeartbeatTimeout: time.Hour}
		}
		b := steer.NewBalancer(steer.BalancerConfig{Self: balancerHost(0), DataCentre: near, MaxFlow: maxFlow, Placing: steer.PlaceByTime})
		b.SetFleet(f)
		var list []registry.Host
		for n := range 2000 {
			sim.now += 10 * time.Millisecond
			p := opening(flowKey(n))
			a, ok := b.Packet(sim.now, &p, new(steer.Forward)).(*steer.Forward)
			must.True(t, ok)
			list = append(list, a.Host)
		}
		must.SliceContains(t, list, sim.instances[1].host)
		return list
	}
	must.Eq(t, place(100, 3200), place(1, 1_000_000))
}
