package sidecar

import (
	"net/netip"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/flow"
	"github.com/shoenig/test/must"
)

func pendingKey(p flow.Protocol, port uint16) flow.Key {
	return flow.NewKey(p,
		netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port),
		netip.MustParseAddrPort("198.51.100.1:7000"))
}

// TestPendingSeparatesOpeningsFromDatagrams checks that unanswered openings and
// datagrams are counted apart: a one-way UDP flow does not indicate a failing upstream.
func TestPendingSeparatesOpeningsFromDatagrams(t *testing.T) {
	p, now := newPending(), time.Unix(1, 0)
	must.True(t, p.begin(pendingKey(flow.TCP, 1), now))
	must.True(t, p.begin(pendingKey(flow.TCP, 2), now))
	must.True(t, p.begin(pendingKey(flow.UDP, 3), now))
	must.False(t, p.begin(pendingKey(flow.UDP, 3), now))
	took, ok := p.end(pendingKey(flow.TCP, 1), now.Add(time.Second))
	must.True(t, ok)
	must.Eq(t, time.Second, took)
	must.Eq(t, expired{}, p.expire(now.Add(answerDeadline-1)))
	must.Eq(t, expired{openings: 1, datagrams: 1}, p.expire(now.Add(answerDeadline)))
	_, ok = p.end(pendingKey(flow.UDP, 3), now)
	must.False(t, ok)
}
