package flow_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/flow"
)

// ownedFlow returns a world with n upstreams for fitting and two for report, a
// datagram flow of fitting, and the host that owns it.
func ownedFlow(seed uint64, n int) (*world, *callerFlow, *host) {
	w := newWorld(seed, 2, n, 2)
	w.start()
	w.run(200 * time.Second)
	f := w.open(flow.UDP, fitting, nil)
	f.request()
	w.run(time.Second)
	return w, f, w.oracle.lastRuns[f].host
}

// others returns the active upstreams of fitting except one.
func (w *world) others(u bundle.UpstreamID) []bundle.UpstreamID {
	var us []bundle.UpstreamID
	for _, other := range w.active(fitting) {
		if other != u {
			us = append(us, other)
		}
	}
	return us
}

// TestOwnerWithOldBundleKeepsFlowWhenPeersMove guards against fencing an owner that
// does not have the bundle yet by which all other upstreams leave its service: its
// datagrams were dropped, and later its flows moved to an upstream that joined.
func TestOwnerWithOldBundleKeepsFlowWhenPeersMove(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		for n := 2; n <= 3; n++ {
			w, f, owner := ownedFlow(seed, n)
			owner.stuck = true
			for _, u := range w.others(owner.id) {
				must.True(t, w.transfer(fitting, report, u), must.Sprintf("seed %d: upstream %d stays in use", seed, u))
				f.request()
				w.run(time.Second)
			}
			w.publish(func(p *plan) { p.set(fitting, member{upstream: 7, weight: 4000}) })
			w.startHost(7)
			for range 30 {
				f.request()
				w.run(time.Second)
				must.Less(t, 2*time.Second, w.now.Sub(w.oracle.lastRuns[f].at), must.Sprintf("seed %d, %d upstreams: the owner is fenced", seed, n))
			}
			owner.stuck = false
			w.rest(30 * time.Second)
			must.SliceEmpty(t, w.oracle.violations, must.Sprintf("seed %d, %d upstreams", seed, n))
			must.Eq(t, owner, w.oracle.lastRuns[f].host)
		}
	}
}

// TestFormerPeersConfirmOneSideOfPartition guards against two majorities while
// upstreams that have left the service still confirm reports: those beside the owner
// must not enable the other side to take its flow over, and those on the other side
// must not either.
func TestFormerPeersConfirmOneSideOfPartition(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		for _, besideOwner := range []bool{true, false} {
			w, f, owner := ownedFlow(seed, 5)
			us := w.others(owner.id)
			for _, u := range us {
				w.hosts[u].stuck = u != us[0] && u != us[1]
			}
			owner.stuck = true
			side := []node{owner.node(), w.balancers[0].id}
			for _, u := range us[:2] {
				must.True(t, w.transfer(fitting, report, u))
				w.rest(8 * time.Second)
				if besideOwner {
					side = append(side, w.hosts[u].node())
				}
			}
			w.isolate(side...)
			for range 40 {
				w.storm()
				w.run(time.Second)
			}
			must.SliceEmpty(t, w.oracle.violations, must.Sprintf("seed %d", seed))
			must.Eq(t, besideOwner, w.now.Sub(w.oracle.lastRuns[f].at) < 2*time.Second && w.oracle.lastRuns[f].host == owner)
			w.heal()
			w.rest(10 * time.Second)
			must.SliceEmpty(t, w.oracle.violations, must.Sprintf("seed %d after the partition", seed))
		}
	}
}

// TestOnlyMemberKeepsFlowWhileJoinerHasOldBundle guards against fencing an owner, until
// then the only member, while the upstream that joins it does not have the bundle yet:
// the joining upstream did not confirm the owner's reports, and flows moved to it.
func TestOnlyMemberKeepsFlowWhileJoinerHasOldBundle(t *testing.T) {
	t.Parallel()
	const joins = 2
	for seed := range uint64(20) {
		w, f, owner := ownedFlow(seed, 1)
		must.True(t, w.transfer(report, fitting, joins))
		w.hosts[joins].stuck = true
		f.request()
		for range 30 {
			f.request()
			w.run(time.Second)
			must.Less(t, 2*time.Second, w.now.Sub(w.oracle.lastRuns[f].at), must.Sprintf("seed %d: the owner is fenced", seed))
		}
		w.hosts[joins].stuck = false
		w.rest(30 * time.Second)
		must.SliceEmpty(t, w.oracle.violations, must.Sprintf("seed %d", seed))
		must.Eq(t, owner, w.oracle.lastRuns[f].host)
	}
}

// TestSidecarReportsToOneSidedPeers guards against confirming the reports of an
// upstream that the bundle in force removes, which must be fenced, and of one that has the
// same bundle.
func TestSidecarReportsToOneSidedPeers(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		removed bool
		version uint64
		silent  time.Duration
		want    []bundle.UpstreamID
	}{
		"old bundle":   {version: 1, want: []bundle.UpstreamID{2}},
		"newer bundle": {version: 3, want: []bundle.UpstreamID{2}},
		"removed":      {version: 1, removed: true},
		"up to date":   {version: 2},
		"silent":       {version: 1, silent: flow.FenceTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(worldStart, 0)
			s := flow.NewSidecar(flow.SidecarConfig{Upstream: 1}, now)
			old := newPlan(2, 1)
			s.BundleAccepted(now, view{plan: old, self: 1})
			s.BundleAccepted(now, view{plan: old.with(func(p *plan) {
				p.remove(fitting, 1)
				p.set(report, member{upstream: 1, weight: 1})
				if c.removed {
					p.remove(fitting, 2)
				}
			}), self: 1})
			must.True(t, s.Tick(now).Switched)
			s.PeerReported(now, flow.PeerReport{Upstream: 2, Service: fitting, Incarnation: 1, Version: c.version, Highest: c.version, Oldest: 1})
			due := s.Tick(now.Add(max(c.silent, flow.ReportInterval)))
			must.NotNil(t, due.Report)
			var got []bundle.UpstreamID
			for _, to := range due.OneSided {
				got = append(got, to.Upstream)
			}
			must.Eq(t, c.want, got)
			must.Eq(t, c.want, due.Report.LivePeers)
		})
	}
}
