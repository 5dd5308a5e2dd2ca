package steer_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/pace"
	"github.com/corianderbay/corianderbay/registry"
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

// rampedSidecar replaces the first sidecar by one that limits its upstream after a start.
func rampedSidecar(sim *simulation, startedAt int64) *steer.Sidecar {
	i := sim.instances[0]
	i.sidecar = steer.NewSidecar(steer.SidecarConfig{Self: i.host, DataCentre: near, Service: service, MaxFlow: maxFlow, Ramp: true, StartedAt: startedAt})
	sim.publishFleet()
	return i.sidecar
}

// restartUpstream publishes another start of the first upstream.
func restartUpstream(sim *simulation) {
	sim.now += time.Second
	sim.startUpstream(0)
	sim.publishFleet()
}

// TestRampStarts guards against upstreams that get full load right after a start, and
// against limits on one that has been running while its sidecar was replaced.
func TestRampStarts(t *testing.T) {
	sim := newSimulation(1, service, service)
	started := int64(sim.now)
	s := rampedSidecar(sim, started+1)
	must.Eq(t, pace.Started, s.Pace(sim.now).Cause)
	must.Eq(t, 1, s.Load(sim.now, 0).Window)

	s = rampedSidecar(sim, started+time.Minute.Milliseconds())
	must.Zero(t, s.Load(sim.now, 0).Window)
	restartUpstream(sim)
	must.Eq(t, pace.Started, s.Pace(sim.now).Cause)

	s = rampedSidecar(sim, int64(sim.now)+time.Minute.Milliseconds())
	sim.evacuate(near, true)
	sim.publishFleet()
	must.Zero(t, s.Pace(sim.now).Window)
	sim.evacuate(near, false)
	sim.publishFleet()
	must.Eq(t, pace.Readmitted, s.Pace(sim.now).Cause)
}

// TestFullWindowPassesOn guards against openings beyond the window while another upstream
// has a free slot, and against refusals and an idle upstream when none has.
func TestFullWindowPassesOn(t *testing.T) {
	sim := newSimulation(1, service, service)
	s := rampedSidecar(sim, int64(sim.now)+time.Minute.Milliseconds())
	restartUpstream(sim)
	must.Eq(t, 1, s.Load(sim.now, 0).Window)
	deliver := func(n int) steer.Action {
		p := opening(flowKey(n))
		h := steer.Header{Service: registry.HashService(service)}
		a := s.FromBalancer(sim.now, &h, &p)
		if _, ok := a.(steer.Deliver); ok {
			sim.accepts(0, p)
			p = sim.request(flowKey(n), 0)
			s.FromBalancer(sim.now, &h, &p)
		}
		return a
	}
	_, delivered := deliver(1).(steer.Deliver)
	must.True(t, delivered)
	passed, ok := deliver(2).(*steer.Forward)
	must.True(t, ok)
	must.Eq(t, steer.ReasonWindow, passed.Reason)
	must.Eq(t, sim.instances[1].host, passed.Host)

	busy := sim.instances[1].sidecar
	for n := 10; n < 13; n++ { // the other upstream has a queue
		p := opening(flowKey(n))
		h := steer.Header{Service: registry.HashService(service)}
		busy.FromBalancer(sim.now, &h, &p)
		sim.accepts(1, p)
		p = sim.request(flowKey(n), 1)
		busy.FromBalancer(sim.now, &h, &p)
	}
	sim.publishFleet()
	_, delivered = deliver(3).(steer.Deliver)
	must.True(t, delivered)

	sim.publish(1, nil)
	sim.advance(time.Minute)
	_, delivered = deliver(4).(steer.Deliver)
	must.True(t, delivered)
}
