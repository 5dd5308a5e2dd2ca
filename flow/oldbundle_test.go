package flow_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/corianderbay/corianderbay/flow"
)

// TestSegmentUnderOldBundleReachesItsOwner guards against passing on the segments of an
// owned flow that a balancer sends under an older bundle, which lists the owner with the
// service that it served before. A retransmitted opening made the flow half-open again,
// so that all later segments were dropped and the flow was reset in the end.
func TestSegmentUnderOldBundleReachesItsOwner(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	old := newPlan(1, 2) // report has upstreams 2 and 3
	next := old.with(func(p *plan) {
		p.remove(report, 2)
		p.set(fitting, member{upstream: 2, weight: 4000})
		p.addresses[serviceAddr(report)] = addressOwner{service: fitting, former: report}
	})
	s := flow.NewSidecar(flow.SidecarConfig{Upstream: 2}, now)
	s.BundleAccepted(now, view{plan: old, self: 2})
	s.BundleAccepted(now, view{plan: next, self: 2})
	must.True(t, s.Tick(now).Switched)
	now = now.Add(time.Minute)

	k := testKey(flow.TCP, 1, report)
	opening := flow.Packet{Key: k, Opening: true, Sequence: 1}
	synAck := flow.Packet{Key: k, Opening: true, Sequence: 100, Acknowledged: 2, HasAck: true}
	must.Eq[flow.Action](t, flow.Deliver{}, s.Packet(now, header(next, k, 2), opening))
	s.Answer(now, synAck)
	must.Eq[flow.Action](t, flow.Deliver{}, s.Packet(now, header(next, k, 2), flow.Packet{Key: k, Sequence: 2, Acknowledged: 101, HasAck: true}))
	s.Answer(now, flow.Packet{Key: k, Sequence: 101, Acknowledged: 2, HasAck: true, Size: 200})

	later := flow.Packet{Key: k, Sequence: 2, Acknowledged: 301, HasAck: true}
	must.Eq[flow.Action](t, flow.Deliver{}, s.Packet(now, header(old, k, 2), later))
	must.Eq[flow.Action](t, flow.Deliver{}, s.Packet(now, header(old, k, 2), opening))
	s.Answer(now, synAck)
	must.Eq[flow.Action](t, flow.Deliver{}, s.Packet(now, header(next, k, 2), later))
	must.Eq(t, 1, s.Counters().Accepted.Load())
}
