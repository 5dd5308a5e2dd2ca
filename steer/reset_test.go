package steer_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// TestFlowOfRestartedUpstreamIsReset lets an upstream forget its flows while its sidecar remembers them.
func TestFlowOfRestartedUpstreamIsReset(t *testing.T) {
	w := newWorld(1, service, service)
	at := w.open(0, caller(1))
	p := w.request(caller(1), at)
	w.startUpstream(at)
	must.Eq(t, -1, w.send(0, p))
	must.Eq(t, []steer.Key{caller(1)}, w.resets)
}

// TestFlowResetAfterFullRestart restarts everything at once.
func TestFlowResetAfterFullRestart(t *testing.T) {
	w := newWorld(1, service, service, other)
	at := w.open(0, caller(1))
	p := w.request(caller(1), at)
	w.restartAll()
	w.refresh()
	must.Eq(t, -1, w.send(0, p))
	must.Eq(t, []steer.Key{caller(1)}, w.resets)
}

// TestCachedFlowResetAfterUpstreamRestart restarts all upstreams and sidecars at
// once, while the balancer lives and remembers where the flow was.
func TestCachedFlowResetAfterUpstreamRestart(t *testing.T) {
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

// TestFlowConfirmedDuringSearchIsKept has a sidecar tell that its upstream holds
// the flow after it had returned a packet of an earlier one with the same key.
func TestFlowConfirmedDuringSearchIsKept(t *testing.T) {
	w := newWorld(1, service, service)
	at := w.open(0, caller(1))
	returned := func(site int) bool {
		m := steer.MissReport{Key: caller(1), State: registry.State{Revision: w.revision}, Hosts: []registry.Host{w.sites[site].host}}
		_, reset := w.balancers[0].FlowMissing(w.now, &m)
		return reset
	}
	w.now += time.Second
	must.False(t, returned(at))
	w.now += 10 * time.Millisecond
	w.balancers[0].Learn(w.now, caller(1), w.sites[at].host)
	must.False(t, returned(1-at))
}

// TestNoResetWhileAnUpstreamMayHoldFlow keeps the reset back for each reason to doubt.
func TestNoResetWhileAnUpstreamMayHoldFlow(t *testing.T) {
	doubts := map[string]func(f *steer.Fleet, w *world, at int){
		"store not settled": func(f *steer.Fleet, _ *world, _ int) { f.Settled = false },
		"sidecar silent": func(f *steer.Fleet, w *world, at int) {
			f.Sidecars[w.sites[at].host] = steer.SidecarStatus{LastHeartbeat: w.now - time.Hour, HeartbeatTimeout: membership.SuspectAfter}
		},
	}
	for name, doubt := range doubts {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, service, service, service)
			at := w.open(0, caller(1))
			p := w.request(caller(1), at)
			w.startBalancer(0)
			f := &steer.Fleet{Snapshot: w.directory.Snapshot(w.now), Sidecars: map[registry.Host]steer.SidecarStatus{}, Settled: true}
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

// TestNoResetWhileLocalUpstreamIsUnlisted has a young list that lacks an upstream
// which only its sidecar knows. Later on, that upstream has left.
func TestNoResetWhileLocalUpstreamIsUnlisted(t *testing.T) {
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
		f := &steer.Fleet{Snapshot: empty.Snapshot(w.now), Settled: true, Recovering: young}
		w.balancers[0].SetFleet(f)
		w.sites[at].sidecar.SetFleet(f)
		must.Eq(t, -1, w.follow(&steer.Forward{Host: w.sites[at].host, Header: h}, p))
		must.Eq(t, young, len(w.resets) == 0)
	}
}

// TestNoResetOnOutdatedList has sidecars whose list lacks an upstream that the
// balancer's has, and the other way round.
func TestNoResetOnOutdatedList(t *testing.T) {
	for _, behind := range []string{"sidecars", "balancer"} {
		t.Run(behind, func(t *testing.T) {
			w := newWorld(1, service, service, service)
			older := registry.NewDirectory()
			older.Apply(w.now, registry.Update{State: registry.State{Revision: 2}, Whole: true, Changes: []registry.Change{
				{Key: w.sites[0].host.String(), Revision: 1, Upstream: w.entry(0, false)},
				{Key: w.sites[1].host.String(), Revision: 2, Upstream: w.entry(1, false)},
			}})
			older.Apply(w.now, w.directory.Since(w.now, 0, registry.State{Revision: w.revision}))
			old := &steer.Fleet{Snapshot: older.Snapshot(w.now), Sidecars: map[registry.Host]steer.SidecarStatus{}, Settled: true}
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

// TestFlowsOfStoppedUpstreamAreReset also covers flows on which nothing is sent.
func TestFlowsOfStoppedUpstreamAreReset(t *testing.T) {
	w := newWorld(1, service, service)
	at := w.open(0, caller(1))
	s := w.sites[at].sidecar
	p := w.request(caller(1), at)
	s.FromUpstream(w.now, reply(caller(1), steer.ACK, 1, 900))
	s.Connected()
	_, ended := s.ConnectionRefused(w.now)
	must.False(t, ended) // it has reacted to all that was delivered
	p.Sequence += 100
	p.Acknowledged += 900
	w.sites[at].up = false
	w.send(0, p)
	w.now += 120 * time.Millisecond
	must.True(t, s.ShouldProbe(w.now))
	orphans, ended := s.ConnectionRefused(w.now)
	must.True(t, ended)
	must.Len(t, 1, orphans)
	must.Eq(t, caller(1), orphans[0].CallerKey())
	must.Eq(t, p.Acknowledged, orphans[0].Acknowledged)
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
			f := &steer.Fleet{Snapshot: w.directory.Snapshot(w.now), Sidecars: map[registry.Host]steer.SidecarStatus{}, Isolated: tc.alone}
			f.Sidecars[w.sites[at].host] = steer.SidecarStatus{Stopping: true, AbsentSince: w.now}
			w.balancers[0].SetFleet(f)
			w.now += tc.absent
			w.send(0, busy)
			orphans := w.balancers[0].EvictOrphans(w.now)
			if !tc.reset {
				must.SliceEmpty(t, w.resets)
				must.SliceEmpty(t, orphans)
				return
			}
			must.Eq(t, []steer.Key{caller(1)}, w.resets)
			must.Len(t, 1, orphans)
			must.Eq(t, idle, orphans[0].CallerKey())
			must.Eq(t, w.request(idle, at).Acknowledged, orphans[0].Acknowledged)
		})
	}
}

// TestNonIdempotentRequestIsNotReset has one under way when its
// sidecar is lost: its flow is reset only once its time is over.
func TestNonIdempotentRequestIsNotReset(t *testing.T) {
	w := newWorld(1, service, service)
	at := w.open(0, caller(1))
	r := registry.Route{
		Name: "r", Address: route, Timeout: 2 * time.Second,
		Targets: []registry.Target{{Service: service, Weight: 1}},
	}
	w.directory.Apply(w.now, registry.Update{Routes: &registry.Routes{Version: 2, List: []registry.Route{r}}})
	f := &steer.Fleet{Snapshot: w.directory.Snapshot(w.now), Sidecars: map[registry.Host]steer.SidecarStatus{}}
	f.Sidecars[w.sites[at].host] = steer.SidecarStatus{Stopping: true, AbsentSince: w.now - time.Second}
	w.balancers[0].SetFleet(f)
	w.now += time.Second
	must.Eq(t, at, w.send(0, w.request(caller(1), at))) // repeated by the caller, the first was sent a second ago
	must.SliceEmpty(t, w.balancers[0].EvictOrphans(w.now))
	w.now += 1500 * time.Millisecond
	must.Len(t, 1, w.balancers[0].EvictOrphans(w.now))
	must.SliceEmpty(t, w.resets)
}
