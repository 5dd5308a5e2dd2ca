package steer_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// newCompleteSimulation is like newSimulation with sidecars that serve their upstreams from the
// first start.
func newCompleteSimulation(balancers int, services ...string) *simulation {
	sim := newSimulation(balancers, services...)
	for i := range sim.instances {
		sim.startFirstSidecar(i)
	}
	sim.publishFleet()
	return sim
}

// reachedOthers returns how many later packets reached upstreams other than one.
func (sim *simulation) reachedOthers(at int) (n int) {
	for i, s := range sim.instances {
		if i != at {
			n += len(s.reached)
		}
	}
	return n
}

// TestSearchedPacketReachesOnlyItsUpstream guards against packets of an open flow at upstreams
// whose sidecars have seen all openings there, with and without restarts of the others.
func TestSearchedPacketReachesOnlyItsUpstream(t *testing.T) {
	sim := newCompleteSimulation(2, service, service, service, service, otherService, service)
	for n := range 20 {
		at := sim.open(0, flowKey(n))
		sim.startBalancer(1)
		sim.publishFleet()
		must.Eq(t, at, sim.send(1, sim.request(flowKey(n), at)))
		must.Eq(t, 0, sim.reachedOthers(at))
		for _, s := range sim.instances {
			s.reached = nil
		}
	}
	at := sim.open(0, flowKey(100))
	sim.startSidecar(at)
	sim.startBalancer(1)
	sim.publishFleet()
	must.Eq(t, at, sim.send(1, sim.request(flowKey(100), at)), must.Sprint("after a restart of its sidecar"))
	must.Eq(t, 0, sim.reachedOthers(at))
	must.SliceEmpty(t, sim.resets)
}

// TestLostFlowIsResetByTables checks that a flow that no upstream holds is reset though no
// upstream returned a packet of it.
func TestLostFlowIsResetByTables(t *testing.T) {
	sim := newCompleteSimulation(1, service, service, service)
	p := opening(flowKey(1))
	p.Flags = steer.ACK
	must.Eq(t, -1, sim.send(0, p))
	must.Eq(t, []steer.Key{flowKey(1)}, sim.resets)
	must.Eq(t, 0, sim.reachedOthers(-1))
}

// TestIdleFlowIsStillOffered guards against a flow that counts as unknown since it was idle for
// longer than the idle timeout, which a later version of the routes may extend.
func TestIdleFlowIsStillOffered(t *testing.T) {
	sim := newCompleteSimulation(2, service, service, service)
	sim.directory.Apply(sim.now, registry.Update{Routes: &registry.Routes{
		Version: 2, Idle: 5 * time.Second,
		List: []registry.Route{{Name: "r", Address: routeAddress, Targets: []registry.Target{{Service: service, Weight: 1}}}},
	}})
	sim.publishFleet()
	at := sim.open(0, flowKey(1))
	s := sim.instances[at].sidecar
	must.Eq(t, 1, s.Flows())
	sim.advance(6 * time.Second)
	s.Expire(sim.now)
	must.Eq(t, 0, s.Flows())
	sim.startBalancer(1)
	sim.publishFleet()
	must.Eq(t, at, sim.send(1, sim.request(flowKey(1), at)))
	must.SliceEmpty(t, sim.resets)

	sim.advance(maxFlow)
	s.Expire(sim.now)
	sim.instances[at].reached = nil
	sim.startBalancer(1)
	sim.publishFleet()
	must.Eq(t, -1, sim.send(1, sim.request(flowKey(1), at)))
	must.SliceEmpty(t, sim.instances[at].reached, must.Sprint("after the maximum time of a flow"))
}

// TestSidecarWithUnknownFlowOffersPackets guards against resets by a sidecar that takes its table
// for complete although its upstream holds flows that are not in it.
func TestSidecarWithUnknownFlowOffersPackets(t *testing.T) {
	sim := newCompleteSimulation(2, service, service, service)
	at := sim.open(0, flowKey(1))
	second := sim.request(flowKey(2), at)
	sim.instances[at].open[flowKey(2)] = true
	sim.instances[at].sidecar.FromUpstream(sim.now, reply(flowKey(2), steer.ACK, 500, 10))
	sim.startBalancer(1)
	sim.publishFleet()
	must.Eq(t, at, sim.send(1, second))
	sim.instances[at].open[flowKey(3)] = true
	must.Eq(t, at, sim.send(1, sim.request(flowKey(3), at)))
	must.SliceEmpty(t, sim.resets)
}

// TestTableIsCompleteAfterMaxFlow checks that a restarted sidecar answers from its table once no
// flow can be open that is older than the sidecar.
func TestTableIsCompleteAfterMaxFlow(t *testing.T) {
	sim := newSimulation(2, service, service, service)
	for _, c := range []struct {
		age  time.Duration
		want int
	}{{maxFlow - 1, 3}, {maxFlow, 0}} {
		sim.now = time.Hour + c.age
		sim.publishFleet()
		p := opening(flowKey(int(c.age)))
		p.Flags = steer.ACK
		must.Eq(t, -1, sim.send(0, p))
		must.Eq(t, c.want, sim.reachedOthers(-1), must.Sprint(c.age))
		for _, s := range sim.instances {
			s.reached = nil
		}
	}
}

// TestUnconfirmedFlowIsStillOffered guards against a flow that counts as unknown since a late packet
// of the former flow of its port came before the caller confirmed it.
func TestUnconfirmedFlowIsStillOffered(t *testing.T) {
	sim := newCompleteSimulation(2, service, service, service)
	at := sim.send(0, opening(flowKey(1)))
	former := sim.request(flowKey(1), at)
	former.Acknowledged += 1 << 20
	must.Eq(t, -1, sim.send(0, former))
	sim.resets = nil
	must.Eq(t, at, sim.send(1, sim.request(flowKey(1), at)))
	must.SliceEmpty(t, sim.resets)
}

// TestAnswerReportsSearchedFlow guards against a search that goes on after the upstream has answered
// the offered packet, until the next report of flows.
func TestAnswerReportsSearchedFlow(t *testing.T) {
	sim := newSimulation(2, service, service, service)
	at := sim.open(0, flowKey(1))
	sim.startSidecar(at)
	sim.startBalancer(1)
	sim.publishFleet()
	must.Eq(t, at, sim.send(1, sim.request(flowKey(1), at)))
	s := sim.instances[at].sidecar
	must.Eq[steer.Action](t, steer.Answer{Searcher: balancerHost(1)}, s.FromUpstream(sim.now, reply(flowKey(1), steer.ACK, 500, 10)))
	must.Eq[steer.Action](t, steer.Answer{}, s.FromUpstream(sim.now, reply(flowKey(1), steer.ACK, 510, 10)))
}
