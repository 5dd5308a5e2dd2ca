package exchange

import (
	"net/netip"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"go.uber.org/zap"
)

// receive dispatches one datagram from another process by its kind.
func (n *Node) receive(b []byte, from netip.AddrPort) {
	host, err := registry.HostOf(from.Addr())
	if err != nil {
		return // processes send over IPv4 only
	}
	if len(b) == 0 {
		n.logUnusable(host, &KindError{})
		return
	}
	k, body := kind(b[0]), b[1:]
	n.recordContact(host)
	if k.format() > n.newest {
		n.receiveUnreadable(host, &VersionError{Have: n.newest, Got: k.format()})
		return
	}
	switch k {
	case kindQuery:
		n.answerQuery(host)
	case kindHeartbeat, kindHeartbeat2:
		n.receiveHeartbeat(body, k.format(), host)
	case kindForward:
		n.receiveForward(body, host)
	case kindFlows:
		if err := parseFlows(body, func(k steer.Key) { n.cfg.Handler.FlowHeld(k, host) }); err != nil {
			n.logUnusable(host, err)
		}
	case kindDigest, kindDigest2:
		n.receiveDigest(body, k.format(), host)
	case kindMissing:
		n.receiveMissing(body, host)
	case kindOffer2:
		n.receiveOffer(body, host)
	default:
		if n.newest > membership.Format1 { // version 1 ignores what later versions added
			n.logUnusable(host, &KindError{Kind: b[0]})
		}
	}
}

// logUnusable logs that a datagram of a host cannot be used.
func (n *Node) logUnusable(from registry.Host, err error) {
	n.cfg.Log.Emit(event.DatagramUnusable, zap.Stringer("peer", from), zap.Error(err))
}

func (n *Node) receiveForward(body []byte, from registry.Host) {
	var h steer.Header
	rest, err := h.Parse(body)
	if err != nil {
		n.logUnusable(from, err)
		return
	}
	n.cfg.Handler.Forwarded(&h, rest)
}

func (n *Node) receiveMissing(body []byte, from registry.Host) {
	m, err := steer.ParseMissReport(body)
	if err != nil {
		n.logUnusable(from, err)
		return
	}
	n.cfg.Handler.FlowMissing(&m)
}

// ReportMissing reports to a balancer that upstreams do not hold a flow.
func (n *Node) ReportMissing(m *steer.MissReport, balancer registry.Host) {
	n.Send(m.Append([]byte{byte(kindMissing)}), balancer)
}

// decode decodes and validates a message of a version. It logs the error and returns
// false when the message is unusable.
func (n *Node) decode(body []byte, m message, f membership.Format, from registry.Host) bool {
	err := decodeMessage(body, m, f)
	if err != nil {
		n.logUnusable(from, err)
	}
	return err == nil
}

// receiveHeartbeat applies a heartbeat.
func (n *Node) receiveHeartbeat(body []byte, f membership.Format, from registry.Host) {
	var b membership.Heartbeat
	if !n.decode(body, &b, f, from) {
		return
	}
	now := n.lock()
	n.formats.RecordIncarnation(now, from, b.Incarnation)
	if f > membership.Format1 {
		n.formats.RecordReads(now, from, b.Incarnation, f)
	}
	n.recordVersion(now, b.Version)
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
	// A balancer needs the reports of all processes also if a digest reported its start first.
	if result.Restarted || result.Introduced && b.Role == membership.Balancer {
		n.sendBootstrap(from)
	}
	if result.Restarted {
		n.peerStarted(from, &b)
	}
}
