package steer_test

import (
	"testing"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// TestNoResetBeforeReportedUpstreamReturnedPacket guards against the reset of a flow whose
// upstream has no entry and is known only from a peer's report of it.
func TestNoResetBeforeReportedUpstreamReturnedPacket(t *testing.T) {
	sim := newSimulation(1, service, service)
	reported := registry.Host{10, 9, 9, 9}
	sim.startBalancer(0)
	sim.balancers[0].SetFleet(&steer.Fleet{
		Snapshot: sim.directory.Snapshot(sim.now),
		Sidecars: map[registry.Host]steer.SidecarStatus{},
		Unlisted: []registry.Host{reported},
		Settled:  true,
	})
	returned := func(hosts ...registry.Host) bool {
		m := steer.MissReport{Key: flowKey(1), State: registry.State{Revision: sim.revision}, Hosts: hosts}
		_, reset := sim.balancers[0].FlowMissing(sim.now, &m)
		return reset
	}
	must.False(t, returned(sim.instances[0].host, sim.instances[1].host))
	must.True(t, returned(reported))
}
