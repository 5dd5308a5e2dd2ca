package steer_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// TestReturnedCopyOfOpeningKeepsFlow guards against an open flow that is reset, or whose packets
// go to another upstream, because its own one returns a late copy of the opening. The copy of an
// opening that the upstream did not accept is passed on.
func TestReturnedCopyOfOpeningKeepsFlow(t *testing.T) {
	for name, c := range map[string]struct {
		services []string
		sequence uint32 // of the returned opening, relative to the accepted one
		want     any
	}{
		"copy, no other upstream":    {services: []string{service}, want: steer.Drop{Reason: steer.ReasonReturned}},
		"copy, another upstream":     {services: []string{service, service}, want: steer.Drop{Reason: steer.ReasonReturned}},
		"next flow of the same port": {services: []string{service}, sequence: 100, want: steer.Refuse{Reason: steer.ReasonNoUpstream}},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(1, c.services...)
			at := sim.open(0, flowKey(1))
			request := sim.request(flowKey(1), at)
			must.Eq(t, at, sim.send(0, request))
			p := opening(flowKey(1))
			p.Sequence += c.sequence
			p.Acknowledged = 1 // counts copies
			s := sim.instances[at].sidecar
			h := steer.Header{Service: registry.HashService(service), Version: 1}
			d, ok := s.FromBalancer(sim.now, &h, &p).(steer.Deliver)
			must.True(t, ok)
			p.Tag, p.Flags = d.Tag, p.Flags|steer.Returned
			must.Eq[any](t, c.want, s.FromUpstream(sim.now, &p))
			if c.sequence == 0 {
				must.Eq(t, at, sim.send(0, request))
				must.SliceEmpty(t, sim.resets)
			}
		})
	}
}

// TestRepeatedOpeningIsNotRefused guards against a refusal that reaches the caller when its flow
// is open: the first opening was sent to the only upstream, whose answer was on its way.
func TestRepeatedOpeningIsNotRefused(t *testing.T) {
	for name, c := range map[string]struct {
		lost bool
		want int
	}{"sidecar not heard since": {want: 0}, "lost sidecar": {lost: true, want: -1}} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(1, service)
			must.Eq(t, 0, sim.send(0, opening(flowKey(1))))
			sim.now += 200 * time.Millisecond
			if c.lost {
				f := *sim.balancers[0].Fleet()
				since := sim.now - time.Second
				f.Sidecars = map[registry.Host]steer.SidecarStatus{sim.instances[0].host: {Stopping: true, AbsentSince: since, LastSeen: since}}
				sim.balancers[0].SetFleet(&f)
			}
			p := opening(flowKey(1))
			p.Acknowledged = 1
			must.Eq(t, c.want, sim.send(0, p))
			must.Eq(t, c.lost, len(sim.resets) > 0)
		})
	}
}
