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

// receive dispatches one datagram from another process by its kind.
func (n *Node) receive(b []byte, from netip.AddrPort) {
	host, err := registry.HostOf(from.Addr())
	if err != nil || len(b) == 0 {
		return // processes send over IPv4 only
	}
	body := b[1:]
	n.recordContact(host)
	switch kind(b[0]) {
	case kindQuery:
		n.answerQuery(host)
	case kindHeartbeat:
		n.receiveHeartbeat(body, host)
	case kindForward:
		n.receiveForward(body, host)
	case kindFlows:
		parseFlows(body, func(k steer.Key) { n.cfg.Handler.FlowHeld(k, host) })
	case kindDigest:
		n.receiveDigest(body, host)
	case kindMissing:
		n.receiveMissing(body, host)
	}
}

func (n *Node) receiveForward(body []byte, from registry.Host) {
	var h steer.Header
	rest, err := h.Parse(body)
	if err != nil {
		n.cfg.Log.Emit(event.DatagramUnusable, zap.Stringer("peer", from), zap.Error(err))
		return
	}
	n.cfg.Handler.Forwarded(&h, rest)
}

func (n *Node) receiveMissing(body []byte, from registry.Host) {
	m, err := steer.ParseMissReport(body)
	if err != nil {
		n.cfg.Log.Emit(event.DatagramUnusable, zap.Stringer("peer", from), zap.Error(err))
		return
	}
	n.cfg.Handler.FlowMissing(&m)
}

// ReportMissing reports to a balancer that upstreams do not hold a flow.
func (n *Node) ReportMissing(m *steer.MissReport, balancer registry.Host) {
	n.Send(m.Append([]byte{byte(kindMissing)}), balancer)
}

// validator is a message that can validate its content.
type validator interface{ Check() error }

// decode decodes a message into v and validates it. It logs the error and returns
// false when the message is unusable.
func (n *Node) decode(body []byte, v validator, from registry.Host) bool {
	err := wire.Decode(body, v)
	if err == nil {
		err = v.Check()
	}
	if err != nil {
		n.cfg.Log.Emit(event.DatagramUnusable, zap.Stringer("peer", from), zap.Error(err))
	}
	return err == nil
}

// receiveHeartbeat applies a heartbeat.
func (n *Node) receiveHeartbeat(body []byte, from registry.Host) {
	var b membership.Heartbeat
	if !n.decode(body, &b, from) {
		return
	}
	now := n.lock()
	result := n.members.MergeHeartbeat(now, from, b, n.versions())
	if result.Changed {
		n.digests.markUrgent(true)
	}
	if result.StoreFresh && n.members.IsDelegate(now) {
		n.announceStoreAnswer(b.DataCentre)
	}
	if b.Role == membership.Sidecar {
		n.loadsUpdated = append(n.loadsUpdated, from)
	}
	n.stale = true
	n.mu.Unlock()
	n.followUp(result)
	if result.Restarted {
		n.sendBootstrap(from)
		n.peerStarted(from, &b)
	}
}
