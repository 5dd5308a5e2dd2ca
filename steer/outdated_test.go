package steer_test

import (
	"testing"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// TestLateAnswerDoesNotReplaceEntry guards against a balancer that takes an upstream which
// answered another copy of the opening for the owner of an open flow.
func TestLateAnswerDoesNotReplaceEntry(t *testing.T) {
	sim := newSimulation(1, service, service)
	k := flowKey(1)
	at := sim.open(0, k)
	sim.deliverNotices()
	p := sim.request(k, at)
	h := steer.Header{Balancer: balancerHost(0), Service: registry.HashService(service), State: registry.State{Revision: sim.revision}}
	must.Eq(t, 1-at, sim.execute(&steer.Forward{Host: sim.instances[1-at].host, Header: h}, opening(k)))
	sim.deliverNotices()
	f, ok := sim.balancers[0].Packet(sim.now, &p, new(steer.Forward)).(*steer.Forward)
	must.True(t, ok)
	must.Eq(t, sim.instances[at].host, f.Host)
}
