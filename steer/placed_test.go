package steer_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// TestPlacedByOthers guards against a balancer with few flows that estimates the flows of
// the others from their number instead of their reports.
func TestPlacedByOthers(t *testing.T) {
	tests := map[string]struct {
		peers         int
		placedByPeers float64
		wantSame      bool // whether the second flow goes to the upstream of the first one
	}{
		"not reported":           {wantSame: true},
		"others place as many":   {peers: 1, placedByPeers: 1, wantSame: true},
		"others place ten times": {peers: 1, placedByPeers: 10},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(0, service, service)
			b := steer.NewBalancer(steer.BalancerConfig{Self: balancerHost(0), DataCentre: near, MaxFlow: maxFlow, Placing: steer.PlaceByTime})
			f := &steer.Fleet{
				Snapshot:      sim.directory.Snapshot(sim.now),
				Sidecars:      make(map[registry.Host]steer.SidecarStatus),
				LiveBalancers: 2,
				PlacingPeers:  tc.peers,
				PlacedByPeers: tc.placedByPeers,
				Settled:       true,
			}
			for i, in := range sim.instances {
				f.Sidecars[in.host] = steer.SidecarStatus{Load: membership.Load{Flows: 5 * i}, LastSeen: sim.now, HeartbeatTimeout: time.Minute}
			}
			b.SetFleet(f)
			place := func(n int) registry.Host {
				p := opening(flowKey(n))
				a, ok := b.Packet(sim.now, &p, new(steer.Forward)).(*steer.Forward)
				must.True(t, ok)
				return a.Host
			}
			must.Eq(t, sim.instances[0].host, place(1))
			must.Eq(t, tc.wantSame, place(2) == sim.instances[0].host)
		})
	}
}

// TestPlacedIsReported guards against a report of placed flows that does not follow the
// rate, or that other methods send to builds which do not accept it.
func TestPlacedIsReported(t *testing.T) {
	for _, placing := range []steer.Placing{steer.PlaceByLoad, steer.PlaceByTime} {
		sim := newSimulation(0, service, service)
		b := steer.NewBalancer(steer.BalancerConfig{Self: balancerHost(0), DataCentre: near, MaxFlow: maxFlow, Placing: placing})
		sim.balancers = append(sim.balancers, b)
		sim.publishFleet()
		for n := range 600 {
			sim.now += 10 * time.Millisecond
			sim.send(0, opening(flowKey(n)))
		}
		if placing == steer.PlaceByLoad {
			must.Eq(t, 0, b.Placed(sim.now))
			continue
		}
		must.Between(t, 90, b.Placed(sim.now), 110)
		must.Eq(t, 1, b.Placed(sim.now+time.Minute))
	}
}
