package load_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/load"
	"github.com/shoenig/test/must"
)

const (
	service     bundle.ServiceID = 7
	serviceTime                  = 100 * time.Millisecond
)

var start = time.Unix(1_000_000, 0)

func idle() load.View {
	return load.View{Slots: 2, Limit: 2500, Weight: 100, ServiceTime: serviceTime, Ramp: 1}
}

func busy(queue int, next time.Duration) load.View {
	v := idle()
	v.InUse = v.Slots
	v.Queue = queue
	v.NextFree = next
	return v
}

func withConnections(connections int) load.View {
	v := idle()
	v.Connections = connections
	return v
}

// peersWith returns the Peers of upstream 1 with reports of the views as
// upstreams 2, 3 and so on.
func peersWith(t testing.TB, views ...load.View) *load.Peers {
	ps := load.NewPeers(load.PeersConfig{Service: service, Upstream: 1})
	for i, v := range views {
		r := load.NewReport(service, bundle.UpstreamID(i+2), 1, v)
		must.True(t, ps.AddReport(r, 0, start))
	}
	return ps
}

func openingAt(at int, loads ...uint32) load.Opening {
	o := load.Opening{Hash: 12345, PassedCount: at, EligibleCount: 7}
	for i := range 7 {
		o.Candidates[i] = bundle.UpstreamID(i + 1)
	}
	copy(o.Loads[:], loads)
	return o
}

func TestDecideShortFlows(t *testing.T) {
	lastExpired := openingAt(6)
	lastExpired.MaxWait = 50 * time.Millisecond
	firstExpired := openingAt(0)
	firstExpired.MaxWait = 50 * time.Millisecond
	leaving := idle()
	leaving.Leaving = true
	cases := []struct {
		name    string
		opening load.Opening
		own     load.View
		want    load.Verdict
		reason  load.Reason
	}{
		{"accept with a free slot", openingAt(0), idle(), load.Accept, load.ReasonNone},
		{"accept with a short expected wait", openingAt(0), busy(0, 30*time.Millisecond), load.Accept, load.ReasonNone},
		{"pass with a long expected wait", openingAt(0), busy(0, 90*time.Millisecond), load.Pass, load.ReasonBusy},
		{"accept with a lower load than the earlier candidate", openingAt(1, 2001), busy(0, 90*time.Millisecond), load.Accept, load.ReasonNone},
		{"pass with a higher load than the earlier candidate", openingAt(1, 501), busy(0, 90*time.Millisecond), load.Pass, load.ReasonBusy},
		{"accept at the last visit", openingAt(6, 501), busy(0, 90*time.Millisecond), load.Accept, load.ReasonNone},
		{"pass with a wait above the maximum", firstExpired, busy(0, 90*time.Millisecond), load.Pass, load.ReasonDeadline},
		{"refuse with a wait above the maximum at the last visit", lastExpired, busy(0, 90*time.Millisecond), load.Refuse, load.ReasonDeadline},
		{"pass while leaving", openingAt(0), leaving, load.Pass, load.ReasonLeaving},
		{"refuse while leaving at the last visit", openingAt(6), leaving, load.Refuse, load.ReasonLeaving},
		{"pass while failing", openingAt(0), idle().WithFailing(true), load.Pass, load.ReasonFailing},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ps := peersWith(t, idle(), idle(), idle(), idle(), idle(), idle())
			got := load.Decide(load.AcceptOrPass{}, c.opening, c.own, ps)
			must.Eq(t, c.want, got.Verdict)
			must.Eq(t, c.reason, got.Reason)
		})
	}
}

func TestDecideLongFlows(t *testing.T) {
	ramping := withConnections(250).WithRamp(0.1)
	full := withConnections(2500)
	cases := []struct {
		name  string
		at    int
		own   load.View
		peers int // connections of each of the six other upstreams
		want  load.Verdict
	}{
		{"accept at the fair share", 0, withConnections(2000), 2000, load.Accept},
		{"accept within the margin", 0, withConnections(2009), 2000, load.Accept},
		{"pass above the margin", 0, withConnections(2030), 2000, load.Pass},
		{"accept while empty", 0, withConnections(0), 2000, load.Accept},
		{"accept passed flows while empty", 2, withConnections(0), 2000, load.Accept},
		{"pass above the ramp of a cold start", 0, ramping, 2000, load.Pass},
		{"pass at the limit", 0, full, 2000, load.Pass},
		{"accept above the fair share at the last visit", 6, withConnections(2030), 2000, load.Accept},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			peer := withConnections(c.peers)
			ps := peersWith(t, peer, peer, peer, peer, peer, peer)
			got := load.Decide(load.AcceptOrPass{}, openingAt(c.at), c.own, ps)
			must.Eq(t, c.want, got.Verdict)
		})
	}
}

// TestFastFillingUpstreamLimitsInflow checks that a nearly empty upstream with a
// high rate of accepted flows accepts only some of those that others pass.
func TestFastFillingUpstreamLimitsInflow(t *testing.T) {
	peer := withConnections(2000)
	ps := peersWith(t, peer, peer, peer, peer, peer, peer)
	own := withConnections(100)
	own.Rate = 500
	taken := 0
	for i := range 1000 {
		o := openingAt(1, uint32(1<<31|16_001))
		o.Hash = uint64(i) * 0x9e3779b97f4a7c15
		if load.Decide(load.AcceptOrPass{}, o, own, ps).Verdict == load.Accept {
			taken++
		}
	}
	must.Between(t, 100, taken, 250)
	last := load.Decide(load.AcceptOrPass{}, openingAt(6), own, ps)
	must.Eq(t, load.Accept, last.Verdict)
}

// TestLeavingUpstreamsDoNotRaiseFairShare checks that the flows of a leaving
// upstream do not raise the fair share of the others, which would make them
// count as underfilled.
func TestLeavingUpstreamsDoNotRaiseFairShare(t *testing.T) {
	leaving := withConnections(2500)
	leaving.Leaving = true
	peer := withConnections(1000)
	ps := peersWith(t, peer, peer, peer, peer, peer, leaving)
	own := withConnections(1000)
	own.Rate = 500
	for hash := range uint64(20) {
		o := openingAt(1, uint32(1<<31|8801))
		o.Hash = hash * 0x9e3779b97f4a7c15
		must.Eq(t, load.Accept, load.Decide(load.AcceptOrPass{}, o, own, ps).Verdict)
	}
}

// TestFailingUpstreamAcceptsWhenRestLacksCapacity checks that a failing upstream
// passes while the others have capacity, and accepts when they are near their
// limits.
func TestFailingUpstreamAcceptsWhenRestLacksCapacity(t *testing.T) {
	failing := withConnections(1500).WithFailing(true)
	healthy := withConnections(1500)
	own := withConnections(1500).WithFailing(true)
	decide := func(ps *load.Peers) load.Verdict {
		return load.Decide(load.AcceptOrPass{}, openingAt(0), own, ps).Verdict
	}
	must.Eq(t, load.Pass, decide(peersWith(t, healthy, healthy, healthy, healthy, healthy, failing)))
	nearLimit := withConnections(2200)
	must.Eq(t, load.Accept, decide(peersWith(t, nearLimit, nearLimit, nearLimit, nearLimit, nearLimit, nearLimit)))
}

func TestHashingAndTwoChoices(t *testing.T) {
	ps := peersWith(t)
	must.Eq(t, load.Accept, load.Decide(load.Hashing{}, openingAt(0), busy(9, serviceTime), ps).Verdict)
	must.Eq(t, load.Pass, load.Decide(load.TwoChoices{}, openingAt(0), withConnections(2500), ps).Verdict)
	loads := [2]load.Load{busy(4, serviceTime).ReportedLoad(), idle().ReportedLoad()}
	must.Eq(t, 1, load.PreferredCandidate(load.TwoChoices{}, loads))
	must.Eq(t, 0, load.PreferredCandidate(load.Hashing{}, loads))
	must.Eq(t, 0, load.PreferredCandidate(load.TwoChoices{}, [2]load.Load{0, idle().ReportedLoad()}))
}

func TestDecideAllocatesNothing(t *testing.T) {
	peer := withConnections(2000)
	ps := peersWith(t, peer, peer, peer, peer, peer, peer)
	var p load.Policy = load.AcceptOrPass{}
	must.Zero(t, testing.AllocsPerRun(100, func() {
		load.Decide(p, openingAt(0), withConnections(2030), ps)
		load.Decide(p, openingAt(0), busy(1, serviceTime), ps)
	}))
}

func BenchmarkDecide(b *testing.B) {
	peer := withConnections(2000)
	cases := map[string]struct {
		own   load.View
		peers *load.Peers
	}{
		"short": {busy(1, serviceTime), peersWith(b, idle(), idle(), idle(), idle(), idle(), idle())},
		"long":  {withConnections(2030), peersWith(b, peer, peer, peer, peer, peer, peer)},
	}
	var p load.Policy = load.AcceptOrPass{}
	for name, c := range cases {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				load.Decide(p, openingAt(0), c.own, c.peers)
			}
		})
	}
}

// TestColdStartIsRelative checks that a cold upstream passes flows only while a
// warmer one is available: after a restart of all upstreams all are equally
// cold and accept every flow.
func TestColdStartIsRelative(t *testing.T) {
	cold := idle().WithRamp(0.1)
	share := func(ps *load.Peers) float64 {
		accepted := 0
		for i := range 1000 {
			o := openingAt(0)
			o.Hash = uint64(i) * 0x9e3779b97f4a7c15
			if load.Decide(load.AcceptOrPass{}, o, cold, ps).Verdict == load.Accept {
				accepted++
			}
		}
		return float64(accepted) / 1000
	}
	must.Eq(t, 1, share(peersWith(t, cold, cold, cold)))
	must.Less(t, 0.2, share(peersWith(t, cold, idle(), cold)))
	leaving := idle()
	leaving.Leaving = true
	must.Eq(t, 1, share(peersWith(t, cold, leaving, cold)))
}
