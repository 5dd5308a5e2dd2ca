package flow_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
)

// scriptedAdmitter gives its verdicts in turn.
type scriptedAdmitter struct {
	choices []flow.Choice
}

// Admit implements flow.Admitter.
func (a *scriptedAdmitter) Admit(flow.Offer) flow.Verdict {
	next := a.choices[0]
	a.choices = a.choices[1:]
	return flow.Verdict{Choice: next}
}

// TestPassedFlowIsNotTakenOnANewerOrder checks that a sidecar that passed a
// datagram flow on does not take it when the first candidate sends a packet of
// it by a newer bundle than the sidecar's own: where it passed the flow to may
// still own it.
func TestPassedFlowIsNotTakenOnANewerOrder(t *testing.T) {
	p, now := newPlan(3, 1), time.Unix(1000, 0)
	k := testKey(flow.UDP, 1, report)
	p = p.with(func(p *plan) { p.members[report] = []member{{upstream: 4}, {upstream: 5}, {upstream: 6}} })
	_, order := view{plan: p}.Candidates(nil, k)
	second := order[1].Upstream
	told := func(p *plan) *forward.Header {
		h := header(p, k, second)
		h.Passed = 1
		return h
	}
	a := &scriptedAdmitter{choices: []flow.Choice{flow.Pass, flow.Accept, flow.Accept}}
	s := flow.NewSidecar(flow.SidecarConfig{Upstream: second, Admitter: a}, now)
	s.BundleAccepted(now, view{plan: p, self: second})
	now = now.Add(time.Minute)

	h := told(p)
	must.Eq[flow.Action](t, flow.Forward{}, s.Packet(now, h, flow.Packet{Key: k}))
	must.Eq(t, 2, h.Current)
	newer := p.with(func(*plan) {})
	must.Eq[flow.Action](t, flow.Drop{Reason: flow.ReasonUnsure}, s.Packet(now, told(newer), flow.Packet{Key: k}))

	s.BundleAccepted(now, view{plan: newer, self: second})
	h = told(newer)
	must.Eq[flow.Action](t, flow.Forward{}, s.Packet(now, h, flow.Packet{Key: k}))
	must.Eq(t, 2, h.Current)
}

// TestHomeKeepsWhereItPassedAFlow checks that a first candidate that passed a
// datagram flow on does not search for it again when a packet names a newer
// bundle than its own: the answers of an earlier search, which asked before the
// flow was taken, would count for the new one.
func TestHomeKeepsWhereItPassedAFlow(t *testing.T) {
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

// movingSidecar returns the sidecar of upstream 1, which serves fitting, and the
// bundle by which it is to serve report: it has been in force for an hour.
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

// TestSidecarOfAnotherServiceIsNotSure checks that a sidecar that is to serve a
// service, but does not yet, searches for a flow of it before it refuses: what
// its own service agreed on says nothing of the order of the other one.
func TestSidecarOfAnotherServiceIsNotSure(t *testing.T) {
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

// TestMemoryOfAnotherServiceEndsWithTheBundle checks that a sidecar that is to
// serve a service, but does not yet, follows no memory of an older bundle: the
// order of that service may have changed since.
func TestMemoryOfAnotherServiceEndsWithTheBundle(t *testing.T) {
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
