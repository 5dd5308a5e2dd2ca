package steer_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/membership"
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

// TestSearchAsksServicesOfOlderVersions takes a service out of the route while flows are open there.
func TestSearchAsksServicesOfOlderVersions(t *testing.T) {
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

// TestSearchGoesPastSidecarNeverHeard asks through a sidecar that hears no other one.
func TestSearchGoesPastSidecarNeverHeard(t *testing.T) {
	w := newWorld(2, service, service)
	at := w.open(0, caller(1))
	w.forget()
	deaf := &steer.Fleet{Snapshot: w.directory.Snapshot(w.now), Sidecars: map[registry.Host]steer.Instance{}, Settled: true}
	for _, s := range w.sites {
		s.sidecar.SetFleet(deaf)
	}
	must.Eq(t, at, w.send(1, w.request(caller(1), at)))
}

// TestSearchLeavesOutLostSidecar has a flow behind a sidecar that would come last, and another one that is gone.
func TestSearchLeavesOutLostSidecar(t *testing.T) {
	w := newWorld(2, service, service, service, service, service)
	for n := range 20 {
		at := w.open(0, caller(n))
		w.forget()
		f := &steer.Fleet{Snapshot: w.directory.Snapshot(w.now), Sidecars: map[registry.Host]steer.Instance{}, Settled: true}
		gone := (at + 1) % len(w.sites)
		f.Sidecars[w.sites[gone].host] = steer.Instance{Stopping: true}
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

// TestFlowOfRestartedUpstreamIsReset lets an upstream forget its flows while its sidecar remembers them.
func TestFlowOfRestartedUpstreamIsReset(t *testing.T) {
	w := newWorld(1, service, service)
	at := w.open(0, caller(1))
	p := w.request(caller(1), at)
	w.startUpstream(at)
	must.Eq(t, -1, w.send(0, p))
	must.Eq(t, []steer.Key{caller(1)}, w.resets)
}

// TestFlowThatNobodyHoldsIsReset restarts everything at once.
func TestFlowThatNobodyHoldsIsReset(t *testing.T) {
	w := newWorld(1, service, service, other)
	at := w.open(0, caller(1))
	p := w.request(caller(1), at)
	w.restartAll()
	w.refresh()
	must.Eq(t, -1, w.send(0, p))
	must.Eq(t, []steer.Key{caller(1)}, w.resets)
}

// TestOpeningWaitsForAnEntryThatLapsed has a young list without an upstream of the
// service, while a sidecar lives whose upstream it lacks.
func TestOpeningWaitsForAnEntryThatLapsed(t *testing.T) {
	w := newWorld(1, service)
	lapsed := registry.NewDirectory()
	lapsed.Apply(w.now, registry.Update{Routes: &registry.Routes{Version: 1, List: []registry.Route{{
		Name: "r", Address: route, Targets: []registry.Target{{Service: service, Weight: 1}},
	}}}})
	lapsed.Apply(w.now, registry.Update{State: registry.State{Revision: w.revision}, Whole: true})
	p := opening(caller(1))
	for _, c := range []struct {
		young    bool
		unlisted []registry.Host
		want     steer.Action
	}{
		{true, []registry.Host{w.sites[0].host}, &steer.Hold{Reason: steer.ReasonNoUpstream}},
		{true, nil, steer.Refuse{Reason: steer.ReasonNoUpstream}},
		{false, []registry.Host{w.sites[0].host}, steer.Refuse{Reason: steer.ReasonNoUpstream}},
	} {
		w.balancers[0].SetFleet(&steer.Fleet{Snapshot: lapsed.Snapshot(w.now), Young: c.young, Unlisted: c.unlisted})
		must.Eq(t, c.want, w.balancers[0].Packet(w.now, &p, new(steer.Forward)))
	}
}

// TestRememberedFlowThatNobodyHoldsIsReset restarts all upstreams and sidecars at
// once, while the balancer lives and remembers where the flow was.
func TestRememberedFlowThatNobodyHoldsIsReset(t *testing.T) {
	w := newWorld(1, service, service, other)
	at := w.open(0, caller(1))
	p := w.request(caller(1), at)
	must.Eq(t, at, w.send(0, p))
	for i := range w.sites {
		w.startSidecar(i)
		w.startUpstream(i)
	}
	w.now += time.Second
	w.refresh()
	must.Eq(t, -1, w.send(0, p))
	must.Eq(t, []steer.Key{caller(1)}, w.resets)
}

// TestFlowThatIsToldDuringASearchIsKept has a sidecar tell that its upstream holds
// the flow after it had returned a packet of an earlier one with the same key.
func TestFlowThatIsToldDuringASearchIsKept(t *testing.T) {
	w := newWorld(1, service, service)
	at := w.open(0, caller(1))
	returned := func(site int) bool {
		m := steer.Missing{Key: caller(1), State: registry.State{Revision: w.revision}, Hosts: []registry.Host{w.sites[site].host}}
		_, reset := w.balancers[0].Missing(w.now, &m)
		return reset
	}
	w.now += time.Second
	must.False(t, returned(at))
	w.now += 10 * time.Millisecond
	w.balancers[0].Learn(w.now, caller(1), w.sites[at].host)
	must.False(t, returned(1-at))
}

// TestNoResetWhileOneMayHoldTheFlow keeps the reset back for each reason to doubt.
func TestNoResetWhileOneMayHoldTheFlow(t *testing.T) {
	doubts := map[string]func(f *steer.Fleet, w *world, at int){
		"store not settled": func(f *steer.Fleet, _ *world, _ int) { f.Settled = false },
		"sidecar silent": func(f *steer.Fleet, w *world, at int) {
			f.Sidecars[w.sites[at].host] = steer.Instance{Heard: w.now - time.Hour, Patience: membership.SuspectAfter}
		},
	}
	for name, doubt := range doubts {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, service, service, service)
			at := w.open(0, caller(1))
			p := w.request(caller(1), at)
			w.startBalancer(0)
			f := &steer.Fleet{Snapshot: w.directory.Snapshot(w.now), Sidecars: map[registry.Host]steer.Instance{}, Settled: true}
			doubt(f, w, at)
			w.balancers[0].SetFleet(f)
			for i, s := range w.sites {
				w.startSidecar(i)
				s.sidecar.SetFleet(f)
				s.held = nil
				s.answered = nil
			}
			must.Eq(t, -1, w.send(0, p))
			must.SliceEmpty(t, w.resets)
		})
	}
}

// TestFlowAtAnUnlistedUpstreamIsFound restarts all processes after entries
// lapsed, so that the new list lacks the upstream that holds the flow.
func TestFlowAtAnUnlistedUpstreamIsFound(t *testing.T) {
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
			Sidecars: map[registry.Host]steer.Instance{},
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

// TestNoResetWhileTheOwnUpstreamIsUnlisted has a young list that lacks an upstream
// which only its sidecar knows. Later on, that upstream has left.
func TestNoResetWhileTheOwnUpstreamIsUnlisted(t *testing.T) {
	w := newWorld(1, service, service)
	at := w.open(0, caller(1))
	p := w.request(caller(1), at)
	w.startUpstream(at)
	empty := registry.NewDirectory()
	empty.Apply(w.now, registry.Update{State: registry.State{Revision: w.revision}, Whole: true})
	empty.Apply(w.now, w.directory.Since(w.now, 0, registry.State{Revision: w.revision}))
	w.startSidecar(at)
	h := steer.Header{Balancer: balancerHost(0), Service: registry.HashService(service), State: registry.State{Revision: w.revision}}
	w.startBalancer(0)
	for _, young := range []bool{true, false} {
		f := &steer.Fleet{Snapshot: empty.Snapshot(w.now), Settled: true, Young: young}
		w.balancers[0].SetFleet(f)
		w.sites[at].sidecar.SetFleet(f)
		must.Eq(t, -1, w.follow(&steer.Forward{Host: w.sites[at].host, Header: h}, p))
		must.Eq(t, young, len(w.resets) == 0)
	}
}

// TestSidecarWithoutUpstreamHoldsNoSearchUp has a live sidecar that the list
// lacks, because its upstream has gone.
func TestSidecarWithoutUpstreamHoldsNoSearchUp(t *testing.T) {
	w := newWorld(1, service, service)
	at := w.open(0, caller(1))
	p := w.request(caller(1), at)
	w.startUpstream(at)
	w.startBalancer(0)
	bare := steer.NewSidecar(steer.SidecarConfig{Self: registry.Host{10, 9, 9, 9}, DataCentre: near, Service: service, MaxFlow: maxFlow})
	w.sites = append(w.sites, &site{host: registry.Host{10, 9, 9, 9}, service: service, sidecar: bare})
	f := &steer.Fleet{
		Snapshot: w.directory.Snapshot(w.now),
		Sidecars: map[registry.Host]steer.Instance{},
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

// TestNoResetOnAnOlderList has sidecars whose list lacks an upstream that the
// balancer's has, and the other way round.
func TestNoResetOnAnOlderList(t *testing.T) {
	for _, behind := range []string{"sidecars", "balancer"} {
		t.Run(behind, func(t *testing.T) {
			w := newWorld(1, service, service, service)
			older := registry.NewDirectory()
			older.Apply(w.now, registry.Update{State: registry.State{Revision: 2}, Whole: true, Changes: []registry.Change{
				{Key: w.sites[0].host.String(), Revision: 1, Upstream: w.entry(0, false)},
				{Key: w.sites[1].host.String(), Revision: 2, Upstream: w.entry(1, false)},
			}})
			older.Apply(w.now, w.directory.Since(w.now, 0, registry.State{Revision: w.revision}))
			old := &steer.Fleet{Snapshot: older.Snapshot(w.now), Sidecars: map[registry.Host]steer.Instance{}, Settled: true}
			if behind == "balancer" {
				w.balancers[0].SetFleet(old)
			} else {
				for _, s := range w.sites {
					s.sidecar.SetFleet(old)
				}
			}
			p := opening(caller(1))
			p.Flags = steer.ACK
			must.Eq(t, -1, w.send(0, p))
			must.SliceEmpty(t, w.resets)
		})
	}
}

// TestOpeningThatNobodyTakesIsRefused fills every upstream.
func TestOpeningThatNobodyTakesIsRefused(t *testing.T) {
	w := newWorld(1, service, service, service)
	for _, s := range w.sites {
		s.full = true
	}
	must.Eq(t, -1, w.send(0, opening(caller(1))))
	must.Eq(t, []steer.Key{caller(1)}, w.resets)
}

// TestDrainingUpstreamGetsNoOpening drains one upstream that the balancer still believes to be available.
func TestDrainingUpstreamGetsNoOpening(t *testing.T) {
	w := newWorld(1, service, service)
	before := &steer.Fleet{
		Snapshot: w.directory.Snapshot(w.now),
		Sidecars: map[registry.Host]steer.Instance{w.sites[0].host: {Heard: w.now, Patience: membership.SuspectAfter}},
		Settled:  true,
	}
	w.publish(0, w.entry(0, true))
	w.refresh()
	w.balancers[0].SetFleet(before)
	must.Eq(t, 1, w.send(0, opening(caller(1))))
	must.Eq(t, 0, w.sites[0].taken)
}

// TestOpeningUnderDroppedRouteIsPassedBy has a sidecar that knows a newer version than the balancer.
func TestOpeningUnderDroppedRouteIsPassedBy(t *testing.T) {
	w := newWorld(1, service, other)
	old := w.directory.Snapshot(w.now)
	w.routes(2, other)
	w.refresh()
	w.balancers[0].SetFleet(&steer.Fleet{Snapshot: old, Sidecars: map[registry.Host]steer.Instance{}})
	must.Eq(t, 1, w.send(0, opening(caller(1))))
	must.Eq(t, 0, w.sites[0].taken)
}

// TestAddressOfAnotherService sends an opening to a host that serves something else by now.
func TestAddressOfAnotherService(t *testing.T) {
	w := newWorld(1, service, service)
	stale := w.directory.Snapshot(w.now)
	w.sites[0].service = other
	w.startSidecar(0)
	w.startUpstream(0)
	w.refresh()
	w.balancers[0].SetFleet(&steer.Fleet{Snapshot: stale, Sidecars: map[registry.Host]steer.Instance{w.sites[0].host: {Heard: w.now, Patience: membership.SuspectAfter}}})
	must.Eq(t, 1, w.send(0, opening(caller(1))))
	must.Eq(t, 0, w.sites[0].taken)
}

// TestConfirmationAtAnotherUpstream has two upstreams answer copies of one opening.
func TestConfirmationAtAnotherUpstream(t *testing.T) {
	w := newWorld(2, service, service)
	k := caller(1)
	first := w.send(0, opening(k))
	w.forget()
	// The other balancer sees the same opening and a busier first upstream.
	f := &steer.Fleet{Snapshot: w.directory.Snapshot(w.now), Sidecars: map[registry.Host]steer.Instance{}, Settled: true}
	for i, s := range w.sites {
		load := idle
		if i == first {
			load.Flows = 100
		}
		f.Sidecars[s.host] = steer.Instance{Load: load, Heard: w.now, Patience: membership.SuspectAfter}
	}
	w.balancers[1].SetFleet(f)
	second := w.send(1, opening(k))
	must.NotEq(t, first, second)
	w.forget()
	must.Eq(t, second, w.send(0, w.request(k, second)))
	must.SliceEmpty(t, w.resets)
}

// TestPlacement compares loads of upstreams for one new flow.
func TestPlacement(t *testing.T) {
	tests := map[string]struct {
		loads []membership.Load // of sites 0 and 1 (near) and 2 (far)
		want  int
	}{
		"fewer flows":             {[]membership.Load{{Flows: 5}, {Flows: 3}, {}}, 1},
		"fewer waiting":           {[]membership.Load{{Flows: 3, Active: 8}, {Flows: 5, Active: 1}, {}}, 1},
		"silent upstream":         {[]membership.Load{{Silent: true}, {Flows: 50}, {}}, 1},
		"refusing upstream":       {[]membership.Load{{Refusing: true}, {Flows: 50}, {}}, 1},
		"near before far":         {[]membership.Load{{Flows: 50, Busy: 1500}, {Flows: 50, Busy: 1500}, {}}, 0},
		"far when near is filled": {[]membership.Load{{Flows: 50, Busy: 2500}, {Flows: 51, Busy: 2500}, {Flows: 60, Busy: 100}}, 2},
		"near when far is filled": {[]membership.Load{{Flows: 50, Busy: 2500}, {Flows: 51, Busy: 2500}, {Flows: 9, Busy: 2400}}, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, service, service, service)
			f := &steer.Fleet{Snapshot: w.directory.Snapshot(w.now), Sidecars: map[registry.Host]steer.Instance{}}
			for i, s := range w.sites {
				f.Sidecars[s.host] = steer.Instance{Load: tc.loads[i], Heard: w.now, Patience: membership.SuspectAfter}
			}
			w.balancers[0].SetFleet(f)
			p := opening(caller(1))
			a, ok := w.balancers[0].Packet(w.now, &p, new(steer.Forward)).(*steer.Forward)
			must.True(t, ok)
			must.Eq(t, w.sites[tc.want].host, a.Host)
		})
	}
}

// TestRepeatedOpening goes to another upstream only when the first one's sidecar was not heard since.
func TestRepeatedOpening(t *testing.T) {
	w := newWorld(1, service, service)
	p := opening(caller(1))
	first := w.send(0, p)
	w.advance(200 * time.Millisecond)
	must.Eq(t, first, w.send(0, p))
	w.now += 300 * time.Millisecond // no heartbeat since
	must.NotEq(t, first, w.send(0, p))
}

// TestPacketsFromTheWrongSide are dropped by both processes.
func TestPacketsFromTheWrongSide(t *testing.T) {
	w := newWorld(1, service)
	for _, flags := range []steer.Flags{steer.SYN | steer.ACK, steer.SYN | steer.Returned, steer.ACK | steer.Returned} {
		p := opening(caller(1))
		p.Flags = flags
		must.Eq[steer.Action](t, steer.Drop{Reason: steer.ReasonInvalid}, w.balancers[0].Packet(w.now, &p, new(steer.Forward)))
		h := steer.Header{Service: registry.HashService(service)}
		must.Eq[steer.Action](t, steer.Drop{Reason: steer.ReasonInvalid}, w.sites[0].sidecar.FromBalancer(w.now, &h, &p))
	}
}

// TestUnknownRoute refuses openings and drops what may belong to a newer route.
func TestUnknownRoute(t *testing.T) {
	w := newWorld(1, service)
	p := opening(caller(1))
	p.Destination.Port++
	must.Eq[steer.Action](t, steer.Refuse{Reason: steer.ReasonNoRoute}, w.balancers[0].Packet(w.now, &p, new(steer.Forward)))
	p.Flags = steer.ACK
	must.Eq[steer.Action](t, steer.Drop{Reason: steer.ReasonNoRoute}, w.balancers[0].Packet(w.now, &p, new(steer.Forward)))
}

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

// TestLoadCounts follows one flow through its stages.
func TestLoadCounts(t *testing.T) {
	w := newWorld(1, service)
	s := w.sites[0].sidecar
	k := caller(1)
	at := w.send(0, opening(k))
	must.Eq(t, 1, s.Flows())
	p := w.request(k, at)
	w.send(0, p)
	must.Eq(t, 1, s.Active())
	w.send(0, p) // a retransmission is no second request
	must.Eq(t, 1, s.Active())
	s.FromUpstream(w.now, reply(k, steer.ACK, 1, 900))
	must.Eq(t, 0, s.Active())
	p.Sequence += 100
	p.Flags |= steer.FIN
	w.send(0, p)
	s.FromUpstream(w.now, reply(k, steer.ACK|steer.FIN, 1, 900))
	must.Eq(t, 0, s.Flows())
	must.Eq(t, 0, s.Active())
}

// TestBurstLeavesACrowdedUpstream opens many flows at once through one balancer
// that hears no load in between: requests in time depend on how deep the deepest queue is.
func TestBurstLeavesACrowdedUpstream(t *testing.T) {
	w := newWorld(1, service, service, service) // two near, one far
	for n := range 60 {
		w.send(0, opening(caller(n)))
	}
	for i, s := range w.sites {
		must.Between(t, 15, s.taken, 25, must.Sprintf("site %d took %d of 60", i, s.taken))
	}
}

// TestCrowdedSidecarPassesNewFlowsOn has a balancer that does not know yet how many requests wait.
func TestCrowdedSidecarPassesNewFlowsOn(t *testing.T) {
	w := newWorld(1, service, service)
	stale := &steer.Fleet{
		Snapshot: w.directory.Snapshot(w.now),
		Sidecars: map[registry.Host]steer.Instance{w.sites[0].host: {Heard: w.now, Patience: membership.SuspectAfter}},
		Settled:  true,
	}
	for n := range 10 {
		w.balancers[0].SetFleet(stale)
		w.balancers[0].LoadHeard(w.sites[0].host)
		at := w.send(0, opening(caller(n)))
		w.send(0, w.request(caller(n), at))
		w.refresh()
	}
	must.Eq(t, 10, w.sites[0].sidecar.Active()+w.sites[1].sidecar.Active())
	must.Between(t, 2, w.sites[1].sidecar.Active(), 5)
}

// TestFloodOfOpeningsIsBounded opens more flows than a shard remembers; those
// beyond are found by a search.
func TestFloodOfOpeningsIsBounded(t *testing.T) {
	w := newWorld(1, service, service)
	const flows = 1<<14 + 100
	key := func(n int) steer.Key {
		k := caller(0)
		k.Caller.Host = registry.Host{byte(n >> 16), byte(n >> 8), byte(n), 1} // one shard
		return k
	}
	for n := range flows {
		p := opening(key(n))
		w.balancers[0].Packet(w.now, &p, new(steer.Forward))
	}
	must.Eq(t, 1<<14, w.balancers[0].Flows())
	at := w.open(0, key(flows))
	must.Eq(t, at, w.send(0, w.request(key(flows), at)))
	h := steer.Header{Service: registry.HashService(service)}
	for n := range flows {
		p := opening(key(n))
		p.Flags = steer.ACK
		w.sites[0].sidecar.FromBalancer(w.now, &h, &p)
	}
	w.advance(time.Minute)
	w.sites[0].sidecar.Expire(w.now)
	must.Eq(t, 0, w.sites[0].sidecar.Active())
}

// TestHeldPacketIsDecidedOnceTheStoreSettled restarts everything, and sends a
// packet of a flow that ended before it is certain that no upstream is missing.
func TestHeldPacketIsDecidedOnceTheStoreSettled(t *testing.T) {
	w := newWorld(1, service, service, other)
	at := w.open(0, caller(1))
	p := w.request(caller(1), at)
	unsettled := &steer.Fleet{Snapshot: w.directory.Snapshot(w.now), Sidecars: map[registry.Host]steer.Instance{}}
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

// TestSearchGoesPastAnUpstreamThatEnded has a listed upstream that ended while
// its sidecar lives: a packet that is delivered there comes back from nowhere.
func TestSearchGoesPastAnUpstreamThatEnded(t *testing.T) {
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
	must.False(t, ended.Doubts(w.now))
	w.now += 150 * time.Millisecond
	must.True(t, ended.Doubts(w.now))
	_, known := ended.ConnectionRefused(w.now)
	must.True(t, known)
	w.refresh()
	must.Eq(t, -1, w.send(0, p))
	must.Eq(t, []steer.Key{caller(1)}, w.resets)
}

// TestFlowsOfAnEndedUpstreamAreReset also covers flows on which nothing is sent.
func TestFlowsOfAnEndedUpstreamAreReset(t *testing.T) {
	w := newWorld(1, service, service)
	at := w.open(0, caller(1))
	s := w.sites[at].sidecar
	p := w.request(caller(1), at)
	s.FromUpstream(w.now, reply(caller(1), steer.ACK, 1, 900))
	s.Connected()
	_, ended := s.ConnectionRefused(w.now)
	must.False(t, ended) // it has reacted to all that was delivered
	p.Sequence += 100
	p.Acknowledge += 900
	w.sites[at].up = false
	w.send(0, p)
	w.now += 120 * time.Millisecond
	must.True(t, s.Doubts(w.now))
	orphans, ended := s.ConnectionRefused(w.now)
	must.True(t, ended)
	must.Len(t, 1, orphans)
	must.Eq(t, caller(1), orphans[0].CallerKey())
	must.Eq(t, p.Acknowledge, orphans[0].Acknowledge)
	must.True(t, s.Silent(w.now))
	must.Eq(t, 0, s.Flows())
	must.Eq(t, 0, s.Active())
	// An opening passes it by, and one after the upstream runs again does not.
	w.refresh()
	must.Eq(t, 1-at, w.send(0, opening(caller(2))))
	w.startUpstream(at)
	s.Connected()
	must.False(t, s.Silent(w.now))
}

// TestUpstreamThatTakesNoConnectionsKeepsItsFlows has an upstream that serves packets only.
func TestUpstreamThatTakesNoConnectionsKeepsItsFlows(t *testing.T) {
	w := newWorld(1, service)
	at := w.open(0, caller(1))
	s := w.sites[at].sidecar
	must.True(t, s.Doubts(w.now)) // nothing is known of its connections yet
	_, ended := s.ConnectionRefused(w.now)
	must.False(t, ended)
	w.now += time.Second
	must.False(t, s.Doubts(w.now))
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

// TestCrowdedServiceOverflows has a route with two services. Its flows leave a
// crowded service for one with a free slot, and for no other.
func TestCrowdedServiceOverflows(t *testing.T) {
	crowded := membership.Load{Flows: 20, Active: 8}
	tests := map[string]struct {
		own, other membership.Load
		want       int
	}{
		"own has a free slot":   {idle, idle, 0},
		"own is crowded":        {crowded, idle, 1},
		"both are crowded":      {crowded, crowded, 0},
		"other has no free one": {crowded, membership.Load{Active: 2}, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, service, other)
			w.routes(2, service, other)
			f := &steer.Fleet{Snapshot: w.directory.Snapshot(w.now), Sidecars: map[registry.Host]steer.Instance{}}
			for i, load := range []membership.Load{tc.own, tc.other} {
				f.Sidecars[w.sites[i].host] = steer.Instance{Load: load, Heard: w.now, Patience: membership.SuspectAfter}
			}
			w.balancers[0].SetFleet(f)
			r := f.Snapshot.Route(route)
			n := 0
			for r.Service(caller(n).Hash()) != service {
				n++
			}
			p := opening(caller(n))
			a, ok := w.balancers[0].Packet(w.now, &p, new(steer.Forward)).(*steer.Forward)
			must.True(t, ok)
			must.Eq(t, w.sites[tc.want].host, a.Host)
			must.Eq(t, registry.HashService(w.sites[tc.want].service), a.Header.Service)
		})
	}
}

// TestFlowsOfLostSidecarAreReset has a sidecar that is absent: for a moment, for
// longer, and while the balancer hears nobody at all.
func TestFlowsOfLostSidecarAreReset(t *testing.T) {
	tests := map[string]struct {
		absent time.Duration
		alone  bool
		reset  bool
	}{
		"for a moment": {absent: 300 * time.Millisecond},
		"for longer":   {absent: 400 * time.Millisecond, reset: true},
		"hears nobody": {absent: 400 * time.Millisecond, alone: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, service, service)
			at := w.open(0, caller(1))
			busy := w.request(caller(1), at)
			var idle steer.Key
			for n := 2; idle == (steer.Key{}); n++ {
				if w.open(0, caller(n)) == at {
					idle = caller(n)
				}
			}
			f := &steer.Fleet{Snapshot: w.directory.Snapshot(w.now), Sidecars: map[registry.Host]steer.Instance{}, Alone: tc.alone}
			f.Sidecars[w.sites[at].host] = steer.Instance{Stopping: true, Absent: w.now}
			w.balancers[0].SetFleet(f)
			w.now += tc.absent
			w.send(0, busy)
			orphans := w.balancers[0].Orphans(w.now)
			if !tc.reset {
				must.SliceEmpty(t, w.resets)
				must.SliceEmpty(t, orphans)
				return
			}
			must.Eq(t, []steer.Key{caller(1)}, w.resets)
			must.Len(t, 1, orphans)
			must.Eq(t, idle, orphans[0].CallerKey())
			must.Eq(t, w.request(idle, at).Acknowledge, orphans[0].Acknowledge)
		})
	}
}

// TestPacketsFollowAnOpeningThatWasPassedOn sends a copy of the opening and the
// first packet of the flow before balancers have learned where it went.
func TestPacketsFollowAnOpeningThatWasPassedOn(t *testing.T) {
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

// TestPlacingWithoutLoads places flows by their hash alone, and by two choices.
func TestPlacingWithoutLoads(t *testing.T) {
	for _, placing := range []steer.Placing{steer.PlaceByHash, steer.PlaceByTwo} {
		t.Run(string(placing), func(t *testing.T) {
			w := newWorld(0, service, service, service, service, service) // three of them near
			b := steer.NewBalancer(steer.BalancerConfig{Self: balancerHost(0), DataCentre: near, MaxFlow: maxFlow, Placing: placing})
			w.balancers = append(w.balancers, b)
			w.refresh()
			for n := range 300 {
				w.send(0, opening(caller(n)))
			}
			most, least, far := 0, 300, 0
			for i, s := range w.sites {
				if dataCentreOf(i) != near {
					far += s.taken
					continue
				}
				most, least = max(most, s.taken), min(least, s.taken)
			}
			must.Eq(t, 0, far)
			if placing == steer.PlaceByTwo {
				must.LessEq(t, 20, most-least)
			}
			must.Positive(t, least)
		})
	}
}

// TestSlowUpstreamThatTakesNoConnections reacts to its first opening late, as on
// a busy instance: nothing is known of it yet but that connections are refused.
func TestSlowUpstreamThatTakesNoConnections(t *testing.T) {
	w := newWorld(1, service)
	s := w.sites[0].sidecar
	p := opening(caller(1))
	h := steer.Header{Service: registry.HashService(service), State: registry.State{Revision: w.revision}}
	s.FromBalancer(w.now, &h, &p)
	w.now += 50 * time.Millisecond
	must.True(t, s.Doubts(w.now))
	_, ended := s.ConnectionRefused(w.now)
	must.False(t, ended)
	w.now += 150 * time.Millisecond
	_, ended = s.ConnectionRefused(w.now)
	must.True(t, ended)
}

// TestFailingUpstream resets each request: it draws few flows although it has the
// fewest, gets one now and then, and is trusted again once it answers.
func TestFailingUpstream(t *testing.T) {
	w := newWorld(1, service, service)
	bad := w.sites[0]
	n := 0
	// ask opens a flow and sends a request, which the bad upstream resets while fails is true.
	ask := func(fails bool) int {
		n++
		k := caller(n)
		at := w.send(0, opening(k))
		must.NotEq(t, -1, at)
		w.send(0, w.request(k, at))
		if at == 0 && fails {
			bad.sidecar.FromUpstream(w.now, reply(k, steer.RST, 1, 0))
			delete(bad.held, k)
		} else {
			w.sites[at].sidecar.FromUpstream(w.now, reply(k, steer.ACK, 1, 900))
		}
		w.tell()
		return at
	}
	failed := 0
	for range 200 {
		w.advance(10 * time.Millisecond)
		if ask(true) == 0 {
			failed++
		}
	}
	must.Between(t, 3, failed, 12)
	must.True(t, bad.sidecar.Load(w.now, 0).Failing)
	// It works again.
	w.advance(3 * time.Second)
	served := 0
	for range 200 {
		w.advance(10 * time.Millisecond)
		if ask(false) == 0 {
			served++
		}
	}
	must.False(t, bad.sidecar.Load(w.now, 0).Failing)
	must.Greater(t, 50, served)
}

// TestUnansweredRequests has callers that give up, early and late.
func TestUnansweredRequests(t *testing.T) {
	for _, tc := range []struct {
		after   time.Duration
		failing bool
	}{{100 * time.Millisecond, false}, {600 * time.Millisecond, true}} {
		w := newWorld(1, service)
		for n := range 4 {
			k := caller(n)
			at := w.send(0, opening(k))
			p := w.request(k, at)
			w.send(0, p)
			w.tell()
			w.now += tc.after
			p.Sequence += uint32(p.Data)
			p.Data, p.Flags = 0, steer.RST
			w.send(0, p)
		}
		must.Eq(t, tc.failing, w.sites[0].sidecar.Load(w.now, 0).Failing, must.Sprint(tc.after))
	}
}

// TestRequestThatMustNotBeRepeatedIsNotGivenUp has one under way when its
// sidecar is lost: its flow is reset only once its time is over.
func TestRequestThatMustNotBeRepeatedIsNotGivenUp(t *testing.T) {
	w := newWorld(1, service, service)
	at := w.open(0, caller(1))
	r := registry.Route{
		Name: "r", Address: route, Timeout: 2 * time.Second,
		Targets: []registry.Target{{Service: service, Weight: 1}},
	}
	w.directory.Apply(w.now, registry.Update{Routes: &registry.Routes{Version: 2, List: []registry.Route{r}}})
	f := &steer.Fleet{Snapshot: w.directory.Snapshot(w.now), Sidecars: map[registry.Host]steer.Instance{}}
	f.Sidecars[w.sites[at].host] = steer.Instance{Stopping: true, Absent: w.now - time.Second}
	w.balancers[0].SetFleet(f)
	w.now += time.Second
	must.Eq(t, at, w.send(0, w.request(caller(1), at))) // repeated by the caller, the first was sent a second ago
	must.SliceEmpty(t, w.balancers[0].Orphans(w.now))
	w.now += 1500 * time.Millisecond
	must.Len(t, 1, w.balancers[0].Orphans(w.now))
	must.SliceEmpty(t, w.resets)
}
