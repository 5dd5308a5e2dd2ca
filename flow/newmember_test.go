package flow_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
)

// TestFencedNewMemberPassesFlowsOn moves an upstream to a service whose only other
// upstream does not have the bundle yet. The new member is fenced until that one
// confirms its reports, so it must pass flows on instead of accepting them.
func TestFencedNewMemberPassesFlowsOn(t *testing.T) {
	t.Parallel()
	const moved, stays, former = bundle.UpstreamID(2), bundle.UpstreamID(1), bundle.UpstreamID(3)
	now := time.Unix(worldStart, 0)
	s := flow.NewSidecar(flow.SidecarConfig{Upstream: moved}, now)
	old := newPlan(1, 2) // fitting has upstream 1, report has 2 and 3
	s.BundleAccepted(now, view{plan: old, self: moved})
	now = now.Add(time.Minute)
	s.PeerReported(now, flow.PeerReport{Upstream: former, Service: report, Incarnation: 1, Version: 1, Highest: 1, Oldest: 1, LivePeers: []bundle.UpstreamID{moved}})
	next := old.with(func(p *plan) {
		p.remove(report, moved)
		p.set(fitting, member{upstream: moved, weight: 4000})
	})
	s.BundleAccepted(now, view{plan: next, self: moved})
	must.True(t, s.Tick(now).Switched)

	k := testKey(flow.UDP, 1, fitting)
	v := view{plan: next, self: moved}
	service, order := v.Candidates(nil, k)
	h := forward.Header{Service: service, Version: next.version, Candidates: order}
	must.Eq(t, moved, order[0].Upstream)
	must.Eq[flow.Action](t, flow.Forward{}, s.Packet(now, &h, flow.Packet{Key: k})) // searches at the other upstream
	pass(&h, 1)
	h.Current = 0
	must.Eq[flow.Action](t, flow.Forward{}, s.Packet(now, &h, flow.Packet{Key: k})) // passes the flow on
	must.Eq(t, stays, h.Candidates[h.Current].Upstream)
	must.Eq(t, forward.PhaseAccept, h.Phase)
	must.False(t, s.Owns(k))
}

// pass marks a candidate as one that does not own the flow.
func pass(h *forward.Header, i int) {
	h.Passed |= 1 << i
}
