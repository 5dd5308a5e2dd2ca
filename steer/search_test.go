package steer_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// TestFlowIsFoundAfterBalancerRestart sends a later packet through a balancer that knows nothing.
func TestFlowIsFoundAfterBalancerRestart(t *testing.T) {
	w := newWorld(2, service, service, service, service)
	for n := range 20 {
		at := w.open(0, caller(n))
		w.forget()
		must.Eq(t, at, w.send(1, w.request(caller(n), at)), must.Sprintf("flow %d", n))
	}
	must.SliceEmpty(t, w.resets)
}

// TestSearchIncludesServicesOfOlderRoutes takes a service out of the route while flows are open there.
func TestSearchIncludesServicesOfOlderRoutes(t *testing.T) {
	w := newWorld(2, service, service, other, other)
	w.routes(2, other)
	w.refresh()
	at := w.open(0, caller(1))
	must.Eq(t, other, w.sites[at].service)
	w.routes(3, service)
	w.refresh()
	w.forget()
	must.Eq(t, at, w.send(1, w.request(caller(1), at)))
	must.SliceEmpty(t, w.resets)
}

// TestSearchWithoutHeartbeats asks through a sidecar that hears no other one.
func TestSearchWithoutHeartbeats(t *testing.T) {
	w := newWorld(2, service, service)
	at := w.open(0, caller(1))
	w.forget()
	deaf := &steer.Fleet{Snapshot: w.directory.Snapshot(w.now), Sidecars: map[registry.Host]steer.SidecarStatus{}, Settled: true}
	for _, s := range w.sites {
		s.sidecar.SetFleet(deaf)
	}
	must.Eq(t, at, w.send(1, w.request(caller(1), at)))
}

// TestSearchSkipsLostSidecar has a flow behind a sidecar that would come last, and another one that is gone.
func TestSearchSkipsLostSidecar(t *testing.T) {
	w := newWorld(2, service, service, service, service, service)
	for n := range 20 {
		at := w.open(0, caller(n))
		w.forget()
		f := &steer.Fleet{Snapshot: w.directory.Snapshot(w.now), Sidecars: map[registry.Host]steer.SidecarStatus{}, Settled: true}
		gone := (at + 1) % len(w.sites)
		f.Sidecars[w.sites[gone].host] = steer.SidecarStatus{Stopping: true}
		w.balancers[1].SetFleet(f)
		for _, s := range w.sites {
			s.sidecar.SetFleet(f)
		}
		w.sites[gone].up = false
		must.Eq(t, at, w.send(1, w.request(caller(n), at)))
		w.sites[gone].up = true
		w.refresh()
	}
}

// TestFlowAtUnlistedUpstreamIsFound restarts all processes after entries
// lapsed, so that the new list lacks the upstream that holds the flow.
func TestFlowAtUnlistedUpstreamIsFound(t *testing.T) {
	w := newWorld(1, service, service, service)
	for n := range 20 {
		at := w.open(0, caller(n))
		partial := registry.NewDirectory()
		list := registry.Update{State: registry.State{Revision: w.revision}, Whole: true}
		for i, s := range w.sites {
			if i != at {
				list.Changes = append(list.Changes, registry.Change{Key: s.host.String(), Revision: 1, Upstream: w.entry(i, false)})
			}
		}
		partial.Apply(w.now, list)
		partial.Apply(w.now, w.directory.Since(w.now, 0, registry.State{Revision: w.revision}))
		f := &steer.Fleet{
			Snapshot: partial.Snapshot(w.now),
			Sidecars: map[registry.Host]steer.SidecarStatus{},
			Unlisted: []registry.Host{w.sites[at].host},
			Settled:  true,
		}
		w.startBalancer(0)
		w.balancers[0].SetFleet(f)
		for i, s := range w.sites {
			w.startSidecar(i)
			s.sidecar.SetFleet(f)
		}
		must.Eq(t, at, w.send(0, w.request(caller(n), at)))
		w.refresh()
	}
	must.SliceEmpty(t, w.resets)
}

// TestSidecarWithoutUpstreamDoesNotBlockSearch has a live sidecar that the list
// lacks, because its upstream has gone.
func TestSidecarWithoutUpstreamDoesNotBlockSearch(t *testing.T) {
	w := newWorld(1, service, service)
	at := w.open(0, caller(1))
	p := w.request(caller(1), at)
	w.startUpstream(at)
	w.startBalancer(0)
	bare := steer.NewSidecar(steer.SidecarConfig{Self: registry.Host{10, 9, 9, 9}, DataCentre: near, Service: service, MaxFlow: maxFlow})
	w.sites = append(w.sites, &site{host: registry.Host{10, 9, 9, 9}, service: service, sidecar: bare})
	f := &steer.Fleet{
		Snapshot: w.directory.Snapshot(w.now),
		Sidecars: map[registry.Host]steer.SidecarStatus{},
		Unlisted: []registry.Host{{10, 9, 9, 9}},
		Settled:  true,
	}
	w.balancers[0].SetFleet(f)
	for i, s := range w.sites[:2] {
		w.startSidecar(i)
		s.sidecar.SetFleet(f)
	}
	bare.SetFleet(f)
	must.Eq(t, -1, w.send(0, p)) // lost at the sidecar without an upstream
	must.SliceEmpty(t, w.resets)
	w.now += 200 * time.Millisecond
	must.True(t, bare.Silent(w.now))
	must.Eq(t, -1, w.send(0, p))
	must.Eq(t, []steer.Key{caller(1)}, w.resets)
}

// TestHeldPacketIsResetOnceSettled restarts everything, and sends a
// packet of a flow that ended before it is certain that no upstream is missing.
func TestHeldPacketIsResetOnceSettled(t *testing.T) {
	w := newWorld(1, service, service, other)
	at := w.open(0, caller(1))
	p := w.request(caller(1), at)
	unsettled := &steer.Fleet{Snapshot: w.directory.Snapshot(w.now), Sidecars: map[registry.Host]steer.SidecarStatus{}}
	w.startBalancer(0)
	w.balancers[0].SetFleet(unsettled)
	for i, s := range w.sites {
		w.startSidecar(i)
		w.startUpstream(i)
		s.sidecar.SetFleet(unsettled)
	}
	must.Eq(t, -1, w.send(0, p))
	must.Len(t, 1, w.held)
	w.release()
	must.SliceEmpty(t, w.resets)
	w.refresh()
	w.release()
	must.Eq(t, []steer.Key{caller(1)}, w.resets)
	must.SliceEmpty(t, w.held)
}

// TestSearchSkipsStoppedUpstream has a listed upstream that ended while
// its sidecar lives: a packet that is delivered there comes back from nowhere.
func TestSearchSkipsStoppedUpstream(t *testing.T) {
	w := newWorld(1, service, service)
	at := w.open(0, caller(1))
	p := w.request(caller(1), at)
	for i := range w.sites {
		w.startSidecar(i)
		w.startUpstream(i)
	}
	w.sites[1-at].up = false
	w.startBalancer(0)
	w.refresh()
	must.Eq(t, -1, w.send(0, p))
	must.SliceEmpty(t, w.resets)
	ended := w.sites[1-at].sidecar
	must.False(t, ended.ShouldProbe(w.now))
	w.now += 150 * time.Millisecond
	must.True(t, ended.ShouldProbe(w.now))
	_, known := ended.ConnectionRefused(w.now)
	must.True(t, known)
	w.refresh()
	must.Eq(t, -1, w.send(0, p))
	must.Eq(t, []steer.Key{caller(1)}, w.resets)
}

// TestPacketsFollowPassedOnOpening sends a copy of the opening and the
// first packet of the flow before balancers have learned where it went.
func TestPacketsFollowPassedOnOpening(t *testing.T) {
	w := newWorld(1, service, service, service)
	k := caller(1)
	p := opening(k)
	first, ok := w.balancers[0].Packet(w.now, &p, new(steer.Forward)).(*steer.Forward)
	must.True(t, ok)
	h := first.Header
	for n, s := range w.sites {
		s.full = s.host == first.Host
		if s.full {
			must.NotEq(t, n, w.send(0, p))
		}
	}
	taken := 0
	at := -1
	for n, s := range w.sites {
		s.full = false
		taken += s.taken
		if s.taken > 0 {
			at = n
		}
	}
	must.Eq(t, 1, taken)
	w.forget()
	must.Eq(t, at, w.send(0, p))
	must.Eq(t, 1, len(w.sites[at].answered))
	// The first packet after it is not offered to the upstream that returned the opening.
	later := w.request(k, at)
	i := 0
	for w.sites[i].host != first.Host {
		i++
	}
	a, ok := w.sites[i].sidecar.FromBalancer(w.now, &h, &later).(*steer.Forward)
	must.True(t, ok)
	must.Eq(t, w.sites[at].host, a.Host)
	must.SliceEmpty(t, a.Header.Visited)
	// A new opening on the same port is decided anew.
	again := opening(k)
	again.Sequence += 1000
	_, ok = w.sites[i].sidecar.FromBalancer(w.now, &h, &again).(steer.Deliver)
	must.True(t, ok)
}
