package exchange

import (
	"net"
	"net/netip"
	"time"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"go.uber.org/zap"
)

const (
	// oldestFormat is the oldest version of the messages that this build reads.
	oldestFormat = membership.Format1
	// versionCount is the number of versions that the first byte of a datagram can hold.
	versionCount = 16
	// unreadableLogInterval is the minimum time between two lines about one unreadable peer.
	unreadableLogInterval = time.Minute
	// maxUnreadableLogs is the number of peers for which the time of the last line is kept.
	// There are no lines about further ones: senders of datagrams are not authenticated.
	maxUnreadableLogs = 1024
)

// formatOf returns the version in which to send to a host. A process that stopped or is
// silent may be replaced by an older build, which must be able to read this process:
// otherwise neither of them could reach the other.
func (n *Node) formatOf(h registry.Host) membership.Format {
	now := n.lock()
	defer n.mu.Unlock()
	return n.formatAt(now, h)
}

// formatAt is formatOf for callers that hold n.mu.
func (n *Node) formatAt(now time.Duration, h registry.Host) membership.Format {
	if !n.members.Alive(now, h) {
		return membership.Format1
	}
	return n.formats.Reads(h)
}

// sendAll sends a heartbeat or digest to the processes on the given hosts, in the version
// that each of them reads, and offers later versions to those that are sent version 1.
func (n *Node) sendAll(m message, hosts []registry.Host) {
	if len(hosts) == 0 {
		return
	}
	receivers, offers := n.byFormat(hosts)
	for f, list := range receivers {
		n.sendIn(f, m, list)
	}
	n.sendOffer(offers)
}

// byFormat groups hosts by the version in which to send to them, and returns those that
// are due for an offer.
func (n *Node) byFormat(hosts []registry.Host) (receivers map[membership.Format][]registry.Host, offers []registry.Host) {
	receivers = make(map[membership.Format][]registry.Host, 2)
	now := n.lock()
	defer n.mu.Unlock()
	for _, h := range hosts {
		f := n.formatAt(now, h)
		receivers[f] = append(receivers[f], h)
		if f == membership.Format1 && n.formats.RecordSent(now, h) {
			offers = append(offers, h)
		}
	}
	return receivers, offers
}

// sendOffer announces the versions that this process reads to the given hosts.
func (n *Node) sendOffer(hosts []registry.Host) {
	if len(hosts) > 0 {
		n.sendIn(membership.Format2, &membership.FormatOffer{Oldest: oldestFormat, Newest: n.newest, Incarnation: n.incarnation.Load()}, hosts)
	}
}

// sendIn sends a message in one version.
func (n *Node) sendIn(f membership.Format, m message, hosts []registry.Host) {
	datagram, err := encodeDatagram(m, f)
	if err != nil {
		n.cfg.Log.Emit(event.DatagramUnusable, zap.Error(err))
		return
	}
	for _, h := range hosts {
		n.Send(datagram, h)
	}
}

// receiveOffer records the versions that a process reads.
func (n *Node) receiveOffer(body []byte, from registry.Host) {
	var o membership.FormatOffer
	if !n.decode(body, &o, membership.Format2, from) {
		return
	}
	if o.Oldest > n.newest {
		n.receiveUnreadable(from, &VersionError{Have: n.newest, Got: o.Oldest})
		return
	}
	now := n.lock()
	answer := n.formats.RecordOffer(now, from, o)
	n.mu.Unlock()
	if answer {
		n.sendOffer([]registry.Host{from})
	}
}

// unreadable counts messages of unknown versions. It is guarded by Node.mu.
type unreadable struct {
	counts [versionCount]uint64            // by version; later versions count as the last one
	logged map[registry.Host]time.Duration // when the last line about a peer was logged
}

// record counts a message, and reports whether to log a line about its sender.
func (u *unreadable) record(now time.Duration, h registry.Host, got membership.Format) bool {
	u.counts[min(got, versionCount-1)]++
	last, known := u.logged[h]
	if known && now-last < unreadableLogInterval || !known && len(u.logged) >= maxUnreadableLogs {
		return false
	}
	if u.logged == nil {
		u.logged = make(map[registry.Host]time.Duration)
	}
	u.logged[h] = now
	return true
}

// expire drops the times that have no effect any more.
func (u *unreadable) expire(now time.Duration) {
	for h, at := range u.logged {
		if now-at >= unreadableLogInterval {
			delete(u.logged, h)
		}
	}
}

// receiveUnreadable records that a host sent a message of an unknown version. Version 1
// ignores such messages.
func (n *Node) receiveUnreadable(from registry.Host, err *VersionError) {
	if n.newest == membership.Format1 {
		return
	}
	now := n.lock()
	n.members.RecordUnreadable(now, from)
	line := n.unreadable.record(now, from, err.Got)
	n.stale = true
	n.mu.Unlock()
	if line {
		n.cfg.Log.Emit(event.PeerUnreadable, zap.Stringer("peer", from), zap.Error(err))
	}
}

// receiveUnreadablePull is receiveUnreadable for a pull.
func (n *Node) receiveUnreadablePull(from net.Addr, err *VersionError) {
	a, parseErr := netip.ParseAddrPort(from.String())
	if parseErr != nil {
		return // does not happen: the listener accepts TCP connections only
	}
	if h, hostErr := registry.HostOf(a.Addr()); hostErr == nil {
		n.receiveUnreadable(h, err)
	}
}

// addUnreadable adds the hosts of listed upstreams from which only messages of unknown
// versions arrived, so that flows are not refused for the lack of a heartbeat. The
// caller holds n.mu.
func (n *Node) addUnreadable(now time.Duration, sidecars map[registry.Host]steer.SidecarStatus) {
	hosts := n.members.Unreadable(now)
	if len(hosts) == 0 {
		return
	}
	for _, h := range n.snapshot.Hosts("") {
		at, ok := hosts[h]
		if !ok || n.members.Peer(h) != nil {
			continue
		}
		sidecars[h] = steer.SidecarStatus{LastSeen: at, HeartbeatTimeout: membership.LocalHeartbeatTimeout}
	}
}

// Formats describes the versions that a node and its peers read.
type Formats struct {
	// Oldest and Newest are those that the node reads.
	Oldest, Newest membership.Format
	// Peers is the number of live peers by the version in which they are sent messages.
	Peers map[membership.Format]int
	// Unreadable is the number of peers whose last message has an unknown version.
	Unreadable int
	// UnreadableMessages is the number of messages of unknown versions by version; the last
	// element counts all later versions.
	UnreadableMessages [versionCount]uint64
}

// Formats returns the versions that are in use now.
func (n *Node) Formats() Formats {
	now := n.lock()
	defer n.mu.Unlock()
	s := Formats{
		Oldest: oldestFormat, Newest: n.newest,
		Peers:              make(map[membership.Format]int),
		Unreadable:         len(n.members.Unreadable(now)),
		UnreadableMessages: n.unreadable.counts,
	}
	for _, role := range []membership.Role{membership.Balancer, membership.Sidecar} {
		n.members.Each(role, func(p *membership.Peer) {
			if n.members.Alive(now, p.Host) {
				s.Peers[n.formatAt(now, p.Host)]++
			}
		})
	}
	return s
}
