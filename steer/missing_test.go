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
		h := steer.Header{Balancer: balancerHost(0), Service: registry.HashService(service), Version: 1, State: registry.State{Revision: w.revision}}
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

// TestFlowResetAfterLargeFleetRestart restarts everything at once, so that no upstream holds the flow.
func TestFlowResetAfterLargeFleetRestart(t *testing.T) {
	w := largeWorld()
	at := w.open(0, caller(1))
	p := w.request(caller(1), at)
	w.restartAll()
	w.refresh()
	must.Eq(t, -1, w.send(0, p))
	must.Eq(t, []steer.Key{caller(1)}, w.resets)
}

// TestExhaustedSearchIsNotRepeated drops the next packet of a flow that no upstream
// holds while it is not certain yet that none is missing.
func TestExhaustedSearchIsNotRepeated(t *testing.T) {
	w := newWorld(1, service, service, service)
	f := &steer.Fleet{Snapshot: w.directory.Snapshot(w.now), Sidecars: map[registry.Host]steer.SidecarStatus{}}
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
	must.Len(t, 1, w.balancers[0].ExhaustedSearches(w.now))
	must.SliceEmpty(t, w.balancers[0].ExhaustedSearches(w.now))
}

// TestRetrySearchAfterPacketLoss loses the packet on its way, and asks only
// those that have not returned it, wherever the flow is.
func TestRetrySearchAfterPacketLoss(t *testing.T) {
	w := newWorld(1, service, service, service, service, other, service)
	for n := range w.sites {
		h := steer.Header{Balancer: balancerHost(0), Service: registry.HashService(w.sites[n].service), Version: 1, State: registry.State{Revision: w.revision}}
		must.Eq(t, n, w.follow(&steer.Forward{Host: w.sites[n].host, Header: h}, opening(caller(n))))
		w.forget()
		w.startBalancer(0)
		w.refresh()
		p := w.request(caller(n), n)
		list, again := w.balancers[0].RetrySearch(w.now, &p)
		must.True(t, again)
		must.Len(t, 2, list, must.Sprint("one a data centre"))
		kept := -1
		for i := range list {
			kept = max(kept, w.follow(&list[i], p))
		}
		must.Eq(t, n, kept)
		w.tell()
		_, again = w.balancers[0].RetrySearch(w.now, &p)
		must.False(t, again, must.Sprint("the sidecar has told where it is"))
	}
	must.SliceEmpty(t, w.resets)
}

// TestRetrySearchSkipsUpstreamsThatReturned has one upstream become known after all others returned the packet.
func TestRetrySearchSkipsUpstreamsThatReturned(t *testing.T) {
	w := newWorld(1, service, service, service)
	p := opening(caller(1))
	p.Flags = steer.ACK
	w.sites[1].up = false // what is sent there is lost
	for range 3 {
		w.follow(w.balancers[0].Packet(w.now, &p, new(steer.Forward)), p)
		list, _ := w.balancers[0].RetrySearch(w.now, &p)
		for i := range list {
			w.follow(&list[i], p)
		}
	}
	must.SliceEmpty(t, w.resets)
	m := steer.MissReport{Key: caller(1), State: registry.State{Revision: w.revision}, Hosts: []registry.Host{w.sites[0].host, w.sites[2].host}}
	_, reset := w.balancers[0].FlowMissing(w.now, &m)
	must.False(t, reset)
	list, again := w.balancers[0].RetrySearch(w.now, &p)
	must.True(t, again)
	must.Len(t, 1, list)
	must.Eq(t, w.sites[1].host, list[0].Host)
	w.sites[1].up = true
	w.follow(&list[0], p)
	must.Eq(t, []steer.Key{caller(1)}, w.resets)
}

// FuzzMissing encodes again what decodes as a report.
func FuzzMissing(f *testing.F) {
	m := steer.MissReport{Key: caller(7), Acknowledged: 9, State: registry.State{Revision: 3}, Hosts: []registry.Host{{10, 0, 0, 1}}}
	f.Add(m.Append(nil))
	f.Add([]byte("short"))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := steer.ParseMissReport(b)
		if err == nil {
			must.Eq(t, b, m.Append(nil))
		}
	})
}

// TestNoResetWhileSidecarLossIsUnconfirmed has an upstream that was removed from the list
// and whose sidecar is not heard of; only when that is not doubtful is it gone.
func TestNoResetWhileSidecarLossIsUnconfirmed(t *testing.T) {
	for _, doubtful := range []bool{true, false} {
		w := newWorld(1, service, service, service)
		w.publish(2, nil)
		w.now += registry.MissingGrace
		w.refresh()
		f := &steer.Fleet{Snapshot: w.directory.Snapshot(w.now), Sidecars: map[registry.Host]steer.SidecarStatus{
			w.sites[2].host: {Stopping: true, Unconfirmed: doubtful},
		}, Settled: true}
		w.balancers[0].SetFleet(f)
		m := steer.MissReport{Key: caller(1), State: registry.State{Revision: w.revision}, Hosts: []registry.Host{w.sites[0].host, w.sites[1].host}}
		_, reset := w.balancers[0].FlowMissing(w.now, &m)
		must.Eq(t, !doubtful, reset)
	}
}

// TestMissReportRoundTrip encodes a report as sidecars do, and refuses nonsense.
func TestMissReportRoundTrip(t *testing.T) {
	want := steer.MissReport{Key: caller(7), Acknowledged: 1 << 31, State: registry.State{Era: 1 << 20, Revision: 1 << 40}, Hosts: []registry.Host{{10, 0, 0, 1}, {10, 0, 0, 2}}}
	b := want.Append(nil)
	got, err := steer.ParseMissReport(b)
	must.NoError(t, err)
	must.Eq(t, want, got)
	for n := range b {
		_, err := steer.ParseMissReport(b[:n])
		if !slices.Contains([]int{28, 32}, n) {
			must.Error(t, err)
		}
	}
}

// TestNoResetForSearchAcrossEras has one upstream return a packet under a
// list of the era before, and the other one under the present list.
func TestNoResetForSearchAcrossEras(t *testing.T) {
	w := newWorld(1, service, service)
	entries := []registry.Change{
		{Key: w.sites[0].host.String(), Revision: 1, Upstream: w.entry(0, false)},
		{Key: w.sites[1].host.String(), Revision: 2, Upstream: w.entry(1, false)},
	}
	now := registry.State{Era: 1, Revision: 2}
	w.directory.Apply(w.now, registry.Update{State: now, Whole: true, Changes: entries})
	w.balancers[0].SetFleet(&steer.Fleet{Snapshot: w.directory.Snapshot(w.now), Settled: true})
	returned := func(s registry.State, site int) bool {
		m := steer.MissReport{Key: caller(1), State: s, Hosts: []registry.Host{w.sites[site].host}}
		_, reset := w.balancers[0].FlowMissing(w.now, &m)
		return reset
	}
	before := registry.State{Revision: w.revision}
	must.False(t, returned(before, 0))
	must.False(t, returned(now, 1))
	must.False(t, returned(before, 0))
	must.True(t, returned(now, 0))
}
