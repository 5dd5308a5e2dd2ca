package flow_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
)

// scriptedAdmitter returns its choices in order.
type scriptedAdmitter struct {
	choices []flow.Choice
}

// Admit implements flow.Admitter.
func (a *scriptedAdmitter) Admit(flow.Offer) flow.Verdict {
	next := a.choices[0]
	a.choices = a.choices[1:]
	return flow.Verdict{Choice: next}
}

// TestPassedFlowIsNotAcceptedUnderNewerBundle checks that a sidecar that passed a
// datagram flow on does not accept it when the home sends a packet of it under a
// newer bundle than the sidecar's own. The upstream that the flow was passed on to
// may still own it.
func TestPassedFlowIsNotAcceptedUnderNewerBundle(t *testing.T) {
	p, now := newPlan(3, 1), time.Unix(1000, 0)
	k := testKey(flow.UDP, 1, report)
	p = p.with(func(p *plan) { p.members[report] = []member{{upstream: 4}, {upstream: 5}, {upstream: 6}} })
	_, order := view{plan: p}.Candidates(nil, k)
	second := order[1].Upstream
	fromHome := func(p *plan) *forward.Header {
		h := header(p, k, second)
		h.Passed = 1
		return h
	}
	a := &scriptedAdmitter{choices: []flow.Choice{flow.Pass, flow.Accept, flow.Accept}}
	s := flow.NewSidecar(flow.SidecarConfig{Upstream: second, Admitter: a}, now)
	s.BundleAccepted(now, view{plan: p, self: second})
	now = now.Add(time.Minute)

	h := fromHome(p)
	must.Eq[flow.Action](t, flow.Forward{}, s.Packet(now, h, flow.Packet{Key: k}))
	must.Eq(t, 2, h.Current)
	newer := p.with(func(*plan) {})
	must.Eq[flow.Action](t, flow.Drop{Reason: flow.ReasonUnsure}, s.Packet(now, fromHome(newer), flow.Packet{Key: k}))

	s.BundleAccepted(now, view{plan: newer, self: second})
	h = fromHome(newer)
	must.Eq[flow.Action](t, flow.Forward{}, s.Packet(now, h, flow.Packet{Key: k}))
	must.Eq(t, 2, h.Current)
}

// TestHomeDoesNotSearchForPassedFlow checks that a home that passed a datagram flow
// on does not search for it again when a packet names a newer bundle than its own.
// Answers of an earlier search, sent before the flow was accepted, would count for
// the new one.
func TestHomeDoesNotSearchForPassedFlow(t *testing.T) {
	p, now := newPlan(1, 3), time.Unix(1000, 0)
	k := testKey(flow.UDP, 1, report)
	_, order := view{plan: p}.Candidates(nil, k)
	home := order[0].Upstream
	a := &scriptedAdmitter{choices: []flow.Choice{flow.Pass}}
	s := flow.NewSidecar(flow.SidecarConfig{Upstream: home, Admitter: a}, now)
	s.BundleAccepted(now, view{plan: p, self: home})
	now = now.Add(time.Hour)
	for _, c := range order[1:] {
		s.PeerReported(now, flow.PeerReport{Upstream: c.Upstream, Service: report, Version: 1, Highest: 1})
	}
	now = now.Add(time.Hour)

	h := header(p, k, home)
	must.Eq[flow.Action](t, flow.Forward{}, s.Packet(now, h, flow.Packet{Key: k}))
	must.Eq(t, forward.PhaseAccept, h.Phase)
	must.Eq(t, 1, h.Current)
	newer := p.with(func(*plan) {})
	must.Eq[flow.Action](t, flow.Drop{Reason: flow.ReasonUnsure}, s.Packet(now, header(newer, k, home), flow.Packet{Key: k}))

	s.BundleAccepted(now, view{plan: newer, self: home})
	h = header(newer, k, home)
	must.Eq[flow.Action](t, flow.Forward{}, s.Packet(now, h, flow.Packet{Key: k}))
	must.Eq(t, 1, h.Current)
}

// TestFlowPassedToLostUpstreamIsSearchedFor checks that a sidecar that passed a flow on
// to an upstream that is now due for takeover returns the next packet to the home
// instead of passing the flow on again: the lost upstream may have passed it on to
// another one, which owns it. The answer to the home's search skips the lost upstream.
func TestFlowPassedToLostUpstreamIsSearchedFor(t *testing.T) {
	p, now := newPlan(1, 4), time.Unix(1000, 0)
	k := testKey(flow.UDP, 1, report)
	_, order := view{plan: p}.Candidates(nil, k)
	second, third := order[1].Upstream, order[2].Upstream
	fromHome := func() *forward.Header {
		h := header(p, k, second)
		h.Passed = 1
		return h
	}
	a := &scriptedAdmitter{choices: []flow.Choice{flow.Pass, flow.Pass}}
	s := flow.NewSidecar(flow.SidecarConfig{Upstream: second, Admitter: a}, now)
	s.BundleAccepted(now, view{plan: p, self: second})
	now = now.Add(time.Hour)
	for _, c := range order {
		s.PeerReported(now, flow.PeerReport{Upstream: c.Upstream, Service: report, Version: 1, Highest: 1})
	}
	h := fromHome()
	must.Eq[flow.Action](t, flow.Forward{}, s.Packet(now, h, flow.Packet{Key: k}))
	must.Eq(t, 2, h.Current)

	s.InstancesListed(now, []bundle.UpstreamID{third})
	now = now.Add(flow.Settings{Idempotent: true}.TakeoverDelay())
	h = fromHome()
	must.Eq[flow.Action](t, flow.Forward{}, s.Packet(now, h, flow.Packet{Key: k}))
	must.Eq(t, 0, h.Current)
	must.Eq(t, 0b11, h.Passed)

	h = header(p, k, second)
	h.Phase, h.Initiator, h.Passed = forward.PhaseFind, 0, 1
	must.Eq[flow.Action](t, flow.Forward{}, s.Packet(now, h, flow.Packet{Key: k}))
	must.Eq(t, 3, h.Current)
}

// TestFlowPassedOnUnderOlderOrderIsSearchedFor guards against a second owner: a sidecar
// that passed a flow on and then received a new order accepted the flow when the home, which
// had kept its own entry, passed it on again. Its answer to the home's search uses the entry.
func TestFlowPassedOnUnderOlderOrderIsSearchedFor(t *testing.T) {
	p, now := newPlan(1, 4), time.Unix(1000, 0)
	k := testKey(flow.UDP, 1, report)
	_, order := view{plan: p}.Candidates(nil, k)
	second, fourth := order[1].Upstream, order[3].Upstream
	fromHome := func(p *plan) *forward.Header {
		h := header(p, k, second)
		h.Passed = 1
		return h
	}
	a := &scriptedAdmitter{choices: []flow.Choice{flow.Pass, flow.Accept}}
	s := flow.NewSidecar(flow.SidecarConfig{Upstream: second, Admitter: a}, now)
	s.BundleAccepted(now, view{plan: p, self: second})
	now = now.Add(time.Minute)
	h := fromHome(p)
	must.Eq[flow.Action](t, flow.Forward{}, s.Packet(now, h, flow.Packet{Key: k}))
	must.Eq(t, 2, h.Current)

	newer := p.with(func(p *plan) { p.set(report, member{upstream: fourth, weight: 1, leaving: true}) })
	s.BundleAccepted(now, view{plan: newer, self: second})
	h = fromHome(newer)
	must.Eq[flow.Action](t, flow.Forward{}, s.Packet(now, h, flow.Packet{Key: k}))
	must.Eq(t, 0, h.Current)
	must.Eq(t, 0b11, h.Passed)

	h = header(newer, k, second)
	h.Phase, h.Initiator, h.Passed = forward.PhaseFind, 0, 1
	must.Eq[flow.Action](t, flow.Forward{}, s.Packet(now, h, flow.Packet{Key: k}))
	must.Eq(t, 2, h.Current)
	h = fromHome(newer)
	must.Eq[flow.Action](t, flow.Forward{}, s.Packet(now, h, flow.Packet{Key: k}))
	must.Eq(t, 2, h.Current)
}

// TestRestartedSidecarDoesNotAcceptPassedFlow guards against a second owner: a sidecar that
// had passed a flow on restarted, and accepted the flow when the home passed it on again.
func TestRestartedSidecarDoesNotAcceptPassedFlow(t *testing.T) {
	p, now := newPlan(1, 4), time.Unix(1000, 0)
	k := testKey(flow.UDP, 1, report)
	_, order := view{plan: p}.Candidates(nil, k)
	second := order[1].Upstream
	s := flow.NewSidecar(flow.SidecarConfig{Upstream: second}, now)
	s.BundleAccepted(now, view{plan: p, self: second})
	now = now.Add(time.Minute)
	h := header(p, k, second)
	h.Passed = 1
	must.NotEq[flow.Action](t, flow.Deliver{}, s.Packet(now, h, flow.Packet{Key: k}))
}

// movingSidecar returns the sidecar of upstream 1, which serves fitting, the plan in
// force for an hour that assigns it to report, and the time.
func movingSidecar(first *plan, change func(*plan)) (*flow.Sidecar, *plan, time.Time) {
	now := time.Unix(1000, 0)
	s := flow.NewSidecar(flow.SidecarConfig{Upstream: 1}, now)
	s.BundleAccepted(now, view{plan: first, self: 1})
	moving := first.with(func(p *plan) {
		p.set(fitting, member{upstream: 1, leaving: true})
		change(p)
	})
	s.BundleAccepted(now, view{plan: moving, self: 1})
	return s, moving, now.Add(time.Hour)
}

// TestSidecarOfAnotherServiceSearchesBeforeRefusing checks that a sidecar that is
// assigned to a service, but does not serve it yet, searches for a flow of that
// service before it refuses the flow. The order that its own service agreed on does
// not apply to the other one.
func TestSidecarOfAnotherServiceSearchesBeforeRefusing(t *testing.T) {
	s, moving, now := movingSidecar(newPlan(1, 1), func(p *plan) {
		p.set(report, member{upstream: 1})
		p.set(report, member{upstream: 2, leaving: true})
	})
	k := testKey(flow.UDP, 1, report)
	h := header(moving, k, 1)
	must.Eq[flow.Action](t, flow.Forward{}, s.Packet(now, h, flow.Packet{Key: k}))
	must.Eq(t, forward.PhaseFind, h.Phase)
	must.Eq(t, 2, h.Candidates[h.Current].Upstream)
}

// TestPassedRecordOfAnotherServiceExpiresWithBundle checks that a sidecar that is
// assigned to a service, but does not serve it yet, ignores kindPassed entries made
// under an older bundle, since the order of that service may have changed.
func TestPassedRecordOfAnotherServiceExpiresWithBundle(t *testing.T) {
	s, moving, now := movingSidecar(newPlan(1, 2), func(p *plan) {
		p.set(report, member{upstream: 1, weight: 4000})
	})
	k := testKey(flow.UDP, 1, report)
	h := header(moving, k, 1)
	must.Eq(t, 0, h.Current)
	must.Eq[flow.Action](t, flow.Forward{}, s.Packet(now, h, flow.Packet{Key: k}))
	must.Eq(t, forward.PhaseFind, h.Phase)
	h.Current, h.Passed = h.Initiator, 0b111
	must.Eq[flow.Action](t, flow.Forward{}, s.Packet(now, h, flow.Packet{Key: k}))
	must.Eq(t, forward.PhaseAccept, h.Phase)
	h = header(moving, k, 1)
	must.Eq[flow.Action](t, flow.Forward{}, s.Packet(now, h, flow.Packet{Key: k}))
	must.Eq(t, forward.PhaseAccept, h.Phase)

	heavier := moving.with(func(p *plan) { p.set(report, member{upstream: 3, weight: 2}) })
	s.BundleAccepted(now, view{plan: heavier, self: 1})
	h = header(heavier, k, 1)
	must.Eq[flow.Action](t, flow.Forward{}, s.Packet(now, h, flow.Packet{Key: k}))
	must.Eq(t, forward.PhaseFind, h.Phase)
}
