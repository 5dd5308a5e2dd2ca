package flow_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/flow"
)

// TestSilentUpstreams checks that a sidecar returns a peer that stopped reporting,
// and none when so few peers report that the sidecar itself may be isolated.
func TestSilentUpstreams(t *testing.T) {
	p, now := newPlan(7, 1), time.Unix(1, 0)
	s := flow.NewSidecar(flow.SidecarConfig{Upstream: 1}, now)
	s.BundleAccepted(now, view{plan: p, self: 1})
	members := view{plan: p, self: 1}.Members(fitting)
	report := func(at time.Time, reporting int) {
		for _, c := range members {
			if c.Upstream != 1 && reporting > 0 {
				reporting--
				s.PeerReported(at, flow.PeerReport{Upstream: c.Upstream, Service: fitting, Version: 1, Highest: 1})
			}
		}
	}
	others := len(members) - 1
	report(now, others)
	later := now.Add(flow.SuspectTimeout)
	report(later, others-1)
	must.SliceLen(t, 1, s.SilentUpstreams(later.Add(time.Millisecond)))
	alone := later.Add(2 * flow.SuspectTimeout)
	must.Eq(t, []bundle.UpstreamID(nil), s.SilentUpstreams(alone))
}

// TestNewMemberIsNotSilent checks that a sidecar that has run for long does not
// treat an upstream that a bundle has just added as silent, since it sent no reports
// before. The new member must also acknowledge the bundle before the join counts
// as acknowledged.
func TestNewMemberIsNotSilent(t *testing.T) {
	first, now := newPlan(1, 1), time.Unix(1, 0)
	s := flow.NewSidecar(flow.SidecarConfig{Upstream: 1}, now)
	s.BundleAccepted(now, view{plan: first, self: 1})
	must.True(t, s.JoinAcknowledged(now))

	now = now.Add(time.Hour)
	moved := first.with(func(p *plan) {
		p.set(fitting, member{upstream: 3})
		p.addresses[serviceAddr(report)] = addressOwner{service: fitting, former: report}
	})
	s.BundleAccepted(now, view{plan: moved, self: 1})
	must.SliceEmpty(t, s.SilentUpstreams(now))
	must.False(t, s.JoinAcknowledged(now))

	now = now.Add(flow.SuspectTimeout)
	must.True(t, s.JoinAcknowledged(now))
}

// TestJoinAcknowledgedByAllMembers checks that a join is acknowledged only once each
// other member has reported the bundle or has been silent for SuspectTimeout.
func TestJoinAcknowledgedByAllMembers(t *testing.T) {
	p, now := newPlan(3, 1), time.Unix(1, 0)
	start := func() *flow.Sidecar { return flow.NewSidecar(flow.SidecarConfig{Upstream: 1}, now) }
	s := start()
	must.False(t, s.JoinAcknowledged(now))
	s.BundleAccepted(now, view{plan: p, self: 1})
	must.False(t, s.JoinAcknowledged(now))
	var others []bundle.UpstreamID
	for _, c := range (view{plan: p, self: 1}).Members(fitting) {
		if c.Upstream != 1 {
			others = append(others, c.Upstream)
		}
	}
	for _, u := range others {
		must.False(t, s.JoinAcknowledged(now))
		s.PeerReported(now, flow.PeerReport{Upstream: u, Service: fitting, Version: 1, Highest: 1})
	}
	must.True(t, s.JoinAcknowledged(now))

	withSilentPeers := start()
	withSilentPeers.BundleAccepted(now, view{plan: p, self: 1})
	must.True(t, withSilentPeers.JoinAcknowledged(now.Add(flow.SuspectTimeout)))
}

// TestJoinAcknowledgedAgainAfterAddressMove checks that a sidecar needs new
// acknowledgements when another address of a linked service moves to its service.
// Members without the bundle refuse packets of flows at that address that use the
// older order.
func TestJoinAcknowledgedAgainAfterAddressMove(t *testing.T) {
	second := netip.MustParseAddrPort("198.51.100.9:80")
	first := newPlan(2, 1).with(func(p *plan) {
		p.addresses[second] = addressOwner{service: report}
		p.addresses[serviceAddr(report)] = addressOwner{service: fitting, former: report}
	})
	now := time.Unix(1, 0)
	s := flow.NewSidecar(flow.SidecarConfig{Upstream: 1}, now)
	reportAll := func(p *plan) {
		for _, c := range (view{plan: p, self: 1}).Members(fitting) {
			if c.Upstream != 1 {
				s.PeerReported(now, flow.PeerReport{Upstream: c.Upstream, Service: c.Service, Version: p.version, Highest: p.version})
			}
		}
	}
	s.BundleAccepted(now, view{plan: first, self: 1})
	reportAll(first)
	must.True(t, s.JoinAcknowledged(now))

	heavier := first.with(func(p *plan) { p.set(fitting, member{upstream: 2, weight: 2}) })
	s.BundleAccepted(now, view{plan: heavier, self: 1})
	must.True(t, s.JoinAcknowledged(now))

	moved := heavier.with(func(p *plan) { p.addresses[second] = addressOwner{service: fitting, former: report} })
	s.BundleAccepted(now, view{plan: moved, self: 1})
	must.False(t, s.JoinAcknowledged(now))
	reportAll(moved)
	must.True(t, s.JoinAcknowledged(now))
}
