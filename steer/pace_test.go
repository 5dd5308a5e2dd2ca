package steer_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// answerRequests sends n requests in packets of a flow that took the given time each.
func answerRequests(sim *simulation, k steer.Key, n, packets int, took time.Duration) {
	s := sim.instances[0].sidecar
	p := sim.request(k, 0)
	var h steer.Header
	for range n {
		for range packets {
			p.Sequence += uint32(p.Data)
			sim.now += 10 * time.Millisecond
			s.FromBalancer(sim.now, &h, &p)
		}
		sim.now += took
		s.FromUpstream(sim.now, reply(k, steer.ACK, 1, 900))
	}
}

// TestLoadReportsWork guards against a sidecar that reports no work, and against one that
// reports the transmission of an upload as work.
func TestLoadReportsWork(t *testing.T) {
	for _, packets := range []int{1, 50} {
		sim := newSimulation(1, service)
		s := sim.instances[0].sidecar
		k := flowKey(1)
		must.Eq(t, 0, sim.open(0, k))
		s.FromUpstream(sim.now, reply(k, steer.ACK, 1, 900))
		must.Zero(t, s.Load(sim.now, 0).Work)
		answerRequests(sim, k, 200, packets, 20*time.Millisecond)
		must.Between(t, 150, s.Load(sim.now, 0).Work, 250, must.Sprint(packets))
	}
}

// TestRemovedFlowsGiveUpTheirRequests guards against requests of ended flows that occupy
// slots of the model forever.
func TestRemovedFlowsGiveUpTheirRequests(t *testing.T) {
	sim := newSimulation(1, service)
	s := sim.instances[0].sidecar
	for n := range 60 {
		k := flowKey(n)
		must.Eq(t, 0, sim.open(0, k))
		p := sim.request(k, 0)
		switch n % 6 {
		case 0:
			p.Flags |= steer.RST
			sim.send(0, p)
		case 1:
			s.FromUpstream(sim.now, reply(k, steer.RST, 1, 0))
		case 2, 3:
			s.FromUpstream(sim.now, reply(k, steer.ACK, 1, 900)) // so that it is not failing
		}
	}
	must.Eq(t, 20, s.Active())
	must.Eq(t, 20, s.Pace(sim.now).Waiting+2)
	sim.advance(2 * maxFlow)
	s.Expire(sim.now)
	must.Zero(t, s.Active())
	must.Zero(t, s.Pace(sim.now).Waiting)
}
