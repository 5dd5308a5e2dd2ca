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
	w := newWorld(1, service, service)
	h := steer.Header{Service: registry.HashService(service), State: registry.State{Revision: w.revision}}
	p := opening(caller(1))
	s := w.sites[0].sidecar
	_, ok := s.FromBalancer(w.now, &h, &p).(steer.Deliver)
	must.True(t, ok)
	w.now += 200 * time.Millisecond
	must.True(t, s.Silent(w.now))
	w.refresh()
	again := opening(caller(2))
	passed, ok := s.FromBalancer(w.now, &h, &again).(*steer.Forward)
	must.True(t, ok)
	must.Eq(t, w.sites[1].host, passed.Host)
	w.now += 2 * time.Second
	s.Expire(w.now)
	must.False(t, s.Silent(w.now))
	s.FromBalancer(w.now, &h, &again)
	s.FromUpstream(w.now, reply(again.CallerKey(), steer.SYN|steer.ACK, 1, 0))
	w.now += time.Second
	must.False(t, s.Silent(w.now))
}

// TestFlowsKeptWhenUpstreamRefusesConnections has an upstream that serves packets only.
func TestFlowsKeptWhenUpstreamRefusesConnections(t *testing.T) {
	w := newWorld(1, service)
	at := w.open(0, caller(1))
	s := w.sites[at].sidecar
	must.True(t, s.ShouldProbe(w.now)) // nothing is known of its connections yet
	_, ended := s.ConnectionRefused(w.now)
	must.False(t, ended)
	w.now += time.Second
	must.False(t, s.ShouldProbe(w.now))
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
	w := newWorld(1, service)
	s := w.sites[0].sidecar
	p := opening(caller(1))
	h := steer.Header{Service: registry.HashService(service), State: registry.State{Revision: w.revision}}
	s.FromBalancer(w.now, &h, &p)
	w.now += 50 * time.Millisecond
	must.True(t, s.ShouldProbe(w.now))
	_, ended := s.ConnectionRefused(w.now)
	must.False(t, ended)
	w.now += 150 * time.Millisecond
	_, ended = s.ConnectionRefused(w.now)
	must.True(t, ended)
}
