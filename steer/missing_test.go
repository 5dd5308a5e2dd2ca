package steer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// largeWorld returns a world with 150 upstreams, 100 of them in the data centre of the balancers.
func largeWorld() *world {
	services := make([]string, 150)
	for i := range services {
		services[i] = service
		if i%5 == 4 {
			services[i] = other
		}
	}
	return newWorld(2, services...)
}

// TestSearchReachesEveryUpstream searches for flows of a large fleet, wherever they are.
func TestSearchReachesEveryUpstream(t *testing.T) {
	w := largeWorld()
	for n := range 150 {
		h := steer.Header{Balancer: balancerHost(0), Service: registry.HashService(service), Version: 1, Revision: w.revision}
		if w.sites[n].service == other {
			h.Service = registry.HashService(other)
		}
		p := opening(caller(n))
		must.Eq(t, n, w.follow(&steer.Forward{Host: w.sites[n].host, Header: h}, p))
		w.forget()
		must.Eq(t, n, w.send(1, w.request(caller(n), n)), must.Sprintf("flow at upstream %d", n))
		w.forget()
		w.startBalancer(1)
		w.startSidecar(n)
		w.refresh()
		must.Eq(t, n, w.send(1, w.request(caller(n), n)), must.Sprintf("flow at upstream %d, whose sidecar has started", n))
	}
	must.SliceEmpty(t, w.resets)
}

// TestFlowOfALostLargeFleetIsReset restarts everything at once, so that no upstream holds the flow.
func TestFlowOfALostLargeFleetIsReset(t *testing.T) {
	w := largeWorld()
	at := w.open(0, caller(1))
	p := w.request(caller(1), at)
	for i := range w.sites {
		w.startSidecar(i)
		w.startUpstream(i)
	}
	w.startBalancer(0)
	w.refresh()
	must.Eq(t, -1, w.send(0, p))
	must.Eq(t, []steer.Key{caller(1)}, w.resets)
}

// TestHopelessSearchIsNotRepeated drops the next packet of a flow that no upstream
// holds while it is not certain yet that none is missing.
func TestHopelessSearchIsNotRepeated(t *testing.T) {
	w := newWorld(1, service, service, service)
	f := &steer.Fleet{Snapshot: w.directory.Snapshot(w.now), Sidecars: map[registry.Host]steer.Instance{}}
	w.balancers[0].SetFleet(f)
	for _, s := range w.sites {
		s.sidecar.SetFleet(f)
	}
	p := opening(caller(1))
	p.Flags = steer.ACK
	must.Eq(t, -1, w.send(0, p))
	must.SliceEmpty(t, w.resets)
	w.held = nil
	out := new(steer.Forward)
	must.Eq[steer.Action](t, steer.Drop{Reason: steer.ReasonUnknownFlow}, w.balancers[0].Packet(w.now, &p, out))
	w.now += time.Second
	must.Eq[steer.Action](t, out, w.balancers[0].Packet(w.now, &p, out))

	must.Eq(t, -1, w.follow(out, p))
	w.refresh()
	must.Len(t, 1, w.balancers[0].Unheld(w.now))
	must.SliceEmpty(t, w.balancers[0].Unheld(w.now))
}

// TestMissingTravels encodes a report as sidecars do, and refuses nonsense.
func TestMissingTravels(t *testing.T) {
	want := steer.Missing{Key: caller(7), Acknowledge: 1 << 31, Revision: 1 << 40, Hosts: []registry.Host{{10, 0, 0, 1}, {10, 0, 0, 2}}}
	b := want.Append(nil)
	got, err := steer.ParseMissing(b)
	must.NoError(t, err)
	must.Eq(t, want, got)
	for n := range b {
		_, err := steer.ParseMissing(b[:n])
		if !slices.Contains([]int{24, 28}, n) {
			must.Error(t, err)
		}
	}
}
