package steer_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// TestSearchLastsUntilFleetIsSettled guards against a packet that is dropped, although its flow
// is not reset, before the upstream that holds the flow is known.
func TestSearchLastsUntilFleetIsSettled(t *testing.T) {
	sim := newSimulation(1, service, service, service)
	settled := false
	sim.adjust = func(_ string, f *steer.Fleet) { f.Settled = settled }
	sim.publishFleet()
	p := opening(flowKey(1))
	p.Flags = steer.ACK
	must.Eq(t, -1, sim.send(0, p))
	must.SliceEmpty(t, sim.resets)
	list, again := sim.balancers[0].RetrySearch(sim.now, &p, 1)
	must.SliceEmpty(t, list, must.Sprint("all known upstreams have returned the packet"))
	must.True(t, again)

	sim.advance(time.Second)
	list, again = sim.balancers[0].RetrySearch(sim.now, &p, 4)
	must.SliceEmpty(t, list, must.Sprint("they are not asked by all copies of a late retry again"))
	must.True(t, again)

	must.Eq(t, -1, sim.send(0, p))
	settled = true
	sim.publishFleet()
	_, again = sim.balancers[0].RetrySearch(sim.now, &p, 2)
	must.False(t, again)
}

// TestRecoveredDataCentreGetsFewCopies guards against a copy of each searched packet for each
// sidecar of a data centre that becomes reachable at once.
func TestRecoveredDataCentreGetsFewCopies(t *testing.T) {
	sim := newLargeSimulation()
	p := sim.openAt(t, 2, flowKey(1))
	list, again := sim.balancers[1].ExtendSearch(sim.now, &p, sim.balancers[1].Fleet().Snapshot.Hosts(""))
	must.True(t, again)
	must.LessEq(t, 2*6, len(list))
}

// TestStaleEntryDoesNotPreventSearch guards against packets that are neither stored nor sent
// again, because the balancer has an outdated entry of their flow: its port was used before.
func TestStaleEntryDoesNotPreventSearch(t *testing.T) {
	sim := newMixedSimulation()
	b, k := sim.balancers[1], flowKey(1)
	b.Learn(sim.now, k, sim.instances[0].host)
	sim.advance(tick)
	p := sim.openAt(t, 2, k)
	sim.instances[2].running = false // packets to it are lost
	var f steer.Forward
	b.Packet(sim.now, &p, &f)
	must.Eq(t, sim.instances[0].host, f.Host)
	must.Eq(t, -1, sim.execute(&f, p))
	sim.advance(2 * tick)
	b.Packet(sim.now, &p, &f)
	must.True(t, f.Header.UnknownFlow, must.Sprint("the upstream in the entry has returned the packet"))
	sim.advance(time.Second)
	_, again := b.RetrySearch(sim.now, &p, 1)
	must.True(t, again, must.Sprint("no report has arrived since"))
}
