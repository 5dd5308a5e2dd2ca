package steer_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// TestSilentUpstream passes openings on until the upstream reacts, and tries it again after a while.
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

// TestFlowsKeptWhenUpstreamRefusesConnections has an upstream that serves packets only.
func TestFlowsKeptWhenUpstreamRefusesConnections(t *testing.T) {
	sim := newSimulation(1, service)
	at := sim.open(0, flowKey(1))
	s := sim.instances[at].sidecar
	must.True(t, s.ShouldProbe(sim.now)) // nothing is known of its connections yet
	_, ended := s.ConnectionRefused(sim.now)
	must.False(t, ended)
	sim.now += time.Second
	must.False(t, s.ShouldProbe(sim.now))
	must.Eq(t, 1, s.Flows())
}

// TestSidecarWithoutUpstreamIsSilent starts beside no upstream, on an instance that the list lacks.
func TestSidecarWithoutUpstreamIsSilent(t *testing.T) {
	s := steer.NewSidecar(steer.SidecarConfig{Self: registry.Host{10, 9, 9, 9}, DataCentre: near, Service: service, MaxFlow: maxFlow})
	must.False(t, s.Silent(time.Hour))
	_, ended := s.ConnectionRefused(time.Hour)
	must.True(t, ended)
	must.True(t, s.Silent(time.Hour))
	s.Expire(time.Hour + time.Second) // it may take packets nevertheless
	must.False(t, s.Silent(time.Hour+time.Second))
}

// TestSlowUpstreamRefusingConnections reacts to its first opening late, as on
// a busy instance: nothing is known of it yet but that connections are refused.
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
