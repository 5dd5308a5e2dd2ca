package exchange

import (
	"net/netip"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/corianderbay/corianderbay/wire"
	"go.uber.org/zap"
)

// received handles one datagram of another process.
func (n *Node) received(b []byte, from netip.AddrPort) {
	host, err := registry.HostOf(from.Addr())
	if err != nil || len(b) == 0 {
		return // nothing of ours is sent over IPv6
	}
	body := b[1:]
	switch kind(b[0]) {
	case kindBeat:
		n.heard(body, host)
	case kindForward:
		n.forwarded(body, host)
	case kindFlows:
		parseFlows(body, func(k steer.Key) { n.cfg.Handler.FlowHeld(k, host) })
	case kindDigest:
		n.digested(body, host)
	case kindMissing:
		n.missing(body, host)
	}
}

func (n *Node) forwarded(body []byte, from registry.Host) {
	var h steer.Header
	rest, err := h.Parse(body)
	if err != nil {
		n.cfg.Log.Emit(event.DatagramUnusable, zap.Stringer("peer", from), zap.Error(err))
		return
	}
	n.cfg.Handler.Forwarded(&h, rest)
}

func (n *Node) missing(body []byte, from registry.Host) {
	m, err := steer.ParseMissing(body)
	if err != nil {
		n.cfg.Log.Emit(event.DatagramUnusable, zap.Stringer("peer", from), zap.Error(err))
		return
	}
	n.cfg.Handler.FlowMissing(&m)
}

// ReportMissing tells a balancer that upstreams do not hold a flow.
func (n *Node) ReportMissing(m *steer.Missing, balancer registry.Host) {
	n.Send(m.Append([]byte{byte(kindMissing)}), balancer)
}

// checked is a message that checks itself.
type checked interface{ Check() error }

// decode fills v from what another process sent. It reports false, and logs why, when that cannot be used.
func (n *Node) decode(body []byte, v checked, from registry.Host) bool {
	err := wire.Decode(body, v)
	if err == nil {
		err = v.Check()
	}
	if err != nil {
		n.cfg.Log.Emit(event.DatagramUnusable, zap.Stringer("peer", from), zap.Error(err))
	}
	return err == nil
}

// heard takes in a heartbeat.
func (n *Node) heard(body []byte, from registry.Host) {
	var b membership.Beat
	if !n.decode(body, &b, from) {
		return
	}
	now := n.cfg.Timer.Uptime()
	n.mu.Lock()
	news := n.members.Heard(now, from, b, n.knowledge())
	if news.Changed {
		n.digests.press(true)
	}
	if news.StoreFresh && n.members.Speaks(now) {
		n.passFreshness(b.DataCentre)
	}
	if b.Role == membership.Sidecar {
		n.told = append(n.told, from)
	}
	n.stale = true
	n.mu.Unlock()
	n.act(now, news)
	if news.Restarted {
		n.greet(from)
		n.started(from, &b)
	}
}
