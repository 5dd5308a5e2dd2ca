package flow_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
)

// TestNewMemberHandsFlowsOn moves an upstream to a service whose only other
// upstream has not taken the bundle yet. Until that one hears it, the new member
// could lose its flows as fenced, and hands them on.
func TestNewMemberHandsFlowsOn(t *testing.T) {
	t.Parallel()
	const moved, stays, former = bundle.UpstreamID(2), bundle.UpstreamID(1), bundle.UpstreamID(3)
	now := time.Unix(worldStart, 0)
	s := flow.NewSidecar(flow.SidecarConfig{Upstream: moved}, now)
	old := newPlan(1, 2) // fitting has upstream 1, report has 2 and 3
	s.BundleAccepted(now, view{plan: old, self: moved})
	now = now.Add(time.Minute)
	s.PeerReported(now, flow.PeerReport{Upstream: former, Service: report, Incarnation: 1, Version: 1, Highest: 1, Oldest: 1, Heard: []bundle.UpstreamID{moved}})
	next := old.with(func(p *plan) {
		p.drop(report, moved)
		p.set(fitting, member{upstream: moved, weight: 4000})
	})
	s.BundleAccepted(now, view{plan: next, self: moved})
	must.True(t, s.Tick(now).Switched)

	k := testKey(flow.UDP, 1, fitting)
	v := view{plan: next, self: moved}
	service, order := v.Candidates(nil, k)
	h := forward.Header{Service: service, Version: next.version, Candidates: order}
	must.Eq(t, moved, order[0].Upstream)
	must.Eq[flow.Action](t, flow.Forward{}, s.Packet(now, &h, flow.Packet{Key: k})) // asks the other one
	pass(&h, 1)
	h.Current = 0
	must.Eq[flow.Action](t, flow.Forward{}, s.Packet(now, &h, flow.Packet{Key: k})) // hands the flow on
	must.Eq(t, stays, h.Candidates[h.Current].Upstream)
	must.Eq(t, forward.PhaseAccept, h.Phase)
	must.False(t, s.Owns(k))
}

// pass marks a candidate as one that does not own the flow.
func pass(h *forward.Header, i int) {
	h.Passed |= 1 << i
}
