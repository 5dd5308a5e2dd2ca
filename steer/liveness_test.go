package steer_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// TestSilentUpstream checks that openings are passed on while the upstream does not
// react, and that it is tried again after a delay.
func TestSilentUpstream(t *testing.T) {
	sim := newSimulation(1, service, service)
	h := steer.Header{Service: registry.HashService(service), State: registry.State{Revision: sim.revision}}
	p := opening(flowKey(1))
	s := sim.instances[0].sidecar
	_, ok := s.FromBalancer(sim.now, &h, &p).(steer.Deliver)
	must.True(t, ok)
	sim.now += 200 * time.Millisecond
	must.True(t, s.Silent(sim.now))
	sim.publishFleet()
	again := opening(flowKey(2))
	passed, ok := s.FromBalancer(sim.now, &h, &again).(*steer.Forward)
	must.True(t, ok)
	must.Eq(t, sim.instances[1].host, passed.Host)
	sim.now += 2 * time.Second
	s.Expire(sim.now)
	must.False(t, s.Silent(sim.now))
	s.FromBalancer(sim.now, &h, &again)
	s.FromUpstream(sim.now, reply(again.CallerKey(), steer.SYN|steer.ACK, 1, 0))
	sim.now += time.Second
	must.False(t, s.Silent(sim.now))
}

// TestFlowsKeptWhenUpstreamRefusesConnections guards against taking an upstream that
// only handles packets, and never accepts connections, for stopped.
func TestFlowsKeptWhenUpstreamRefusesConnections(t *testing.T) {
	sim := newSimulation(1, service)
	at := sim.open(0, flowKey(1))
	s := sim.instances[at].sidecar
	must.True(t, s.ShouldProbe(sim.now)) // it is not known yet whether it accepts connections
	_, ended := s.ConnectionRefused(sim.now)
	must.False(t, ended)
	sim.now += time.Second
	must.False(t, s.ShouldProbe(sim.now))
	must.Eq(t, 1, s.Flows())
}

// TestSidecarWithoutUpstreamIsSilent starts a sidecar without an upstream, on an
// instance that is not in the upstream list.
func TestSidecarWithoutUpstreamIsSilent(t *testing.T) {
	s := steer.NewSidecar(steer.SidecarConfig{Self: registry.Host{10, 9, 9, 9}, DataCentre: near, Service: service, MaxFlow: maxFlow})
	must.False(t, s.Silent(time.Hour))
	_, ended := s.ConnectionRefused(time.Hour)
	must.True(t, ended)
	must.True(t, s.Silent(time.Hour))
	s.Expire(time.Hour + time.Second) // it may accept packets nevertheless
	must.False(t, s.Silent(time.Hour+time.Second))
}

// TestSlowUpstreamRefusingConnections guards against taking an upstream for stopped
// when it reacts late to its first opening, as on a busy instance. At that time the
// sidecar has only seen refused connections.
func TestSlowUpstreamRefusingConnections(t *testing.T) {
	sim := newSimulation(1, service)
	s := sim.instances[0].sidecar
	p := opening(flowKey(1))
	h := steer.Header{Service: registry.HashService(service), State: registry.State{Revision: sim.revision}}
	s.FromBalancer(sim.now, &h, &p)
	sim.now += 50 * time.Millisecond
	must.True(t, s.ShouldProbe(sim.now))
	_, ended := s.ConnectionRefused(sim.now)
	must.False(t, ended)
	sim.now += 150 * time.Millisecond
	_, ended = s.ConnectionRefused(sim.now)
	must.True(t, ended)
}
