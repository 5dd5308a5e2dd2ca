package flow_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
)

// TestHintsStayWithinBudget makes every packet take an additional hop and checks
// the total size of the hints sent, including IP and UDP headers, against the budget.
func TestHintsStayWithinBudget(t *testing.T) {
	const (
		budget    = 2000 // bytes per second
		seconds   = 20
		ipAndUDP  = 28 // bytes
		balancers = 3
		flows     = 2000
	)
	p, now := newPlan(1, 1), time.Unix(1, 0)
	s := flow.NewSidecar(flow.SidecarConfig{Upstream: 1, HintBudget: budget, Admitter: flow.Threshold{Flows: flows}}, now)
	s.BundleAccepted(now, view{plan: p, self: 1})
	establish(s, p, now, flows)
	hints := 0
	var messages []*flow.OwnerHints
	for step := range seconds * 10 {
		at := now.Add(time.Duration(step) * 100 * time.Millisecond)
		for i := range 200 {
			k := testKey(flow.TCP, (step*200+i)%flows, fitting)
			h := header(p, k, 1)
			h.Hops = 1
			h.Balancer = netip.AddrPortFrom(netip.MustParseAddr("10.2.0.1"), uint16(7000+i%balancers))
			s.Packet(at, h, flow.Packet{Key: k, Sequence: 2, Acknowledged: 101, HasAck: true})
		}
		byAddress := make(map[netip.AddrPort]*flow.OwnerHints)
		for _, hint := range s.Tick(at).Hints {
			must.True(t, hint.ToBalancer)
			m := byAddress[hint.To]
			if m == nil || len(m.Hashes) == flow.MaxHints {
				m = &flow.OwnerHints{Owner: 1}
				byAddress[hint.To] = m
				messages = append(messages, m)
			}
			m.Hashes = append(m.Hashes, hint.Key.Hash())
			hints++
		}
	}
	sent := 0
	for _, m := range messages {
		body, err := forward.EncodeMessage(m)
		must.NoError(t, err)
		sent += len(body) + forward.Overhead + ipAndUDP
	}
	t.Logf("%d hints, %d B/s", hints, sent/seconds)
	must.LessEq(t, budget*(seconds+1), sent)
	must.Greater(t, 30*seconds, hints)
}
