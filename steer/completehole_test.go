package steer_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// findsOpenFlow fails when a search by a balancer that has started does not find the flow at
// its upstream, or resets it.
func (sim *simulation) findsOpenFlow(t *testing.T, k steer.Key, at int) {
	t.Helper()
	sim.resets = nil
	sim.startBalancer(1)
	sim.publishFleet()
	must.Eq(t, at, sim.send(1, sim.request(k, at)))
	must.SliceEmpty(t, sim.resets)
}

// TestLateResetDoesNotHideOpenFlow guards against a reset of an open flow after a late packet that
// reset the former flow of its port, which the upstream returns.
func TestLateResetDoesNotHideOpenFlow(t *testing.T) {
	sim := newCompleteSimulation(2, service, service, service)
	k := flowKey(1)
	at := sim.open(0, k)
	s := sim.instances[at].sidecar
	late := sim.request(k, at)
	late.Flags, late.Data, late.Acknowledged = steer.RST, 0, late.Acknowledged+1<<28
	h := steer.Header{Balancer: balancerHost(0)}
	deliver, delivered := s.FromBalancer(sim.now, &h, &late).(steer.Deliver)
	must.True(t, delivered)
	late.Flags |= steer.Returned
	late.Tag = deliver.Tag
	s.FromUpstream(sim.now, &late)
	sim.advance(4 * time.Second)
	s.Expire(sim.now)
	sim.findsOpenFlow(t, k, at)
}

// TestReturnedOpeningDoesNotHideOpenFlow guards against a reset of an open flow after a late copy
// of its opening, which a full upstream returns.
func TestReturnedOpeningDoesNotHideOpenFlow(t *testing.T) {
	sim := newCompleteSimulation(2, service, service, service)
	k := flowKey(1)
	at := sim.open(0, k)
	must.Eq(t, 1, sim.instances[at].sidecar.Flows())
	sim.instances[at].full = true
	sim.send(0, opening(k))
	sim.instances[at].full = false
	must.Eq(t, 1, sim.instances[at].sidecar.Flows())
	sim.findsOpenFlow(t, k, at)
}

// TestFlowOpenedWithoutEntryIsStillOffered guards against a reset of a flow that opened after its
// entry was removed, while its upstream sends nothing.
func TestFlowOpenedWithoutEntryIsStillOffered(t *testing.T) {
	sim := newCompleteSimulation(2, service, service, service)
	k := flowKey(1)
	at := sim.send(0, opening(k))
	s := sim.instances[at].sidecar
	sim.advance(6 * time.Second)
	s.Expire(sim.now)
	must.Eq(t, at, sim.send(0, sim.request(k, at)), must.Sprint("late confirmation"))
	sim.advance(6 * time.Second)
	s.Expire(sim.now)
	sim.findsOpenFlow(t, k, at)
}
