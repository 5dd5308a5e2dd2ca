package exchange

import (
	"time"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"go.uber.org/zap"
)

const (
	// digestNearInterval is the time between two full digests to the own data centre.
	digestNearInterval = 2 * membership.HeartbeatInterval
	// digestFarInterval is the time between two full digests to other data centres.
	digestFarInterval = membership.HeartbeatsPerRemoteDigest * membership.HeartbeatInterval
	// urgentDigestInterval is the minimum time between two digests while urgent changes are pending.
	urgentDigestInterval = 2 * tickInterval
	// maxReports1 and maxReports2 are the numbers of reports that fit into one datagram of
	// version 1 and 2 without IP fragmentation when the names of data centres have 20 bytes.
	maxReports1 = 18
	maxReports2 = 15
)

// digests holds the schedules of the digests that a balancer sends. It is guarded by Node.mu.
type digests struct {
	sidecars schedule // the sidecars that this balancer informs
	near     schedule // the other balancers of the data centre; used by delegates only
	far      schedule // the delegates of other data centres; used by delegates only
}

// schedule holds the send times of the digests to one group of receivers.
type schedule struct {
	lastFull time.Duration // when the last full digest was sent; it reports all processes updated since the one before
	lastSent time.Duration // when the last digest of any kind was sent
	urgent   bool          // changes are pending that do not wait for the next full digest
}

// markUrgent schedules urgent digests after a process changed. Sidecars are always
// informed, other data centres when this process received the change directly, and
// the balancers of the own data centre when it came in a digest.
func (d *digests) markUrgent(direct bool) {
	d.sidecars.urgent = true
	d.near.urgent = d.near.urgent || !direct
	d.far.urgent = d.far.urgent || direct
}

// due returns the processes to report at now, or nil when no digest is due.
// peersSince returns the processes whose last heartbeat or report is after the given time.
func (s *schedule) due(now, interval time.Duration, peersSince func(since time.Duration) []*membership.Peer) []*membership.Peer {
	switch {
	case now-s.lastFull >= interval:
		list := peersSince(s.lastFull)
		*s = schedule{lastFull: now, lastSent: now}
		return list
	case s.urgent && now-s.lastSent >= urgentDigestInterval:
		list := membership.ChangedSince(peersSince(s.lastFull), s.lastSent)
		s.lastSent, s.urgent = now, false
		return list
	}
	return nil
}

// sendDueDigests sends the digests that are due.
func (n *Node) sendDueDigests() {
	if n.cfg.Role != membership.Balancer {
		return
	}
	now := n.lock()
	empty := n.emptyDigest(now)
	forSidecars := fillDigests(now, empty, n.digests.sidecars.due(now, digestNearInterval, n.members.UpdatedSince))
	sidecars := n.members.AssignedSidecars(now)
	var forNear, forFar []membership.Digest
	var near, far []registry.Host
	if n.members.IsDelegate(now) {
		first := empty
		if now-n.digests.far.lastFull >= digestFarInterval { // urgent digests omit this process, since it has not changed
			own := n.ownHeartbeat(now)
			first = empty.WithReport(n.self, &own, 0)
		}
		forNear = fillDigests(now, empty, n.digests.near.due(now, digestNearInterval, n.members.RemoteUpdatedSince))
		forFar = fillDigests(now, first, n.digests.far.due(now, digestFarInterval, n.members.DirectSince))
		near, far = n.members.LocalBalancers(now), n.members.DigestTargets(now)
	}
	n.mu.Unlock()
	n.sendDigests(forSidecars, sidecars)
	n.sendDigests(forNear, near)
	n.sendDigests(forFar, far)
}

// emptyDigest returns a digest without reports. The caller holds n.mu.
func (n *Node) emptyDigest(now time.Duration) membership.Digest {
	return membership.Digest{
		DataCentre:  n.cfg.DataCentre,
		Version:     n.directory.Version(),
		State:       n.directory.State(),
		FormerHash:  n.directory.FormerHash(),
		StoreAge:    n.members.StoreAge(now),
		Incarnation: n.incarnation.Load(),
		Format:      n.newest,
	}
}

// maxReports returns the number of reports for one datagram of a version.
func maxReports(f membership.Format) int {
	if f < membership.Format2 {
		return maxReports1
	}
	return maxReports2
}

// fillDigests returns digests that report the given processes, each of which fits
// into one datagram. The first one starts with the reports of first.
func fillDigests(now time.Duration, first membership.Digest, peers []*membership.Peer) []membership.Digest {
	empty := first
	empty.Reports, empty.Details = nil, nil
	list := []membership.Digest{first}
	for _, p := range peers {
		last := &list[len(list)-1]
		if len(last.Reports) >= maxReports(first.Format) {
			list = append(list, empty)
			last = &list[len(list)-1]
		}
		*last = last.WithReport(p.Host, &p.Heartbeat, now-p.LastSeen)
	}
	return list
}

// sendDigests sends the digests that contain reports to the processes on the given hosts.
func (n *Node) sendDigests(list []membership.Digest, hosts []registry.Host) {
	for i := range list {
		if len(list[i].Reports) > 0 && len(hosts) > 0 {
			n.sendAll(&list[i], hosts)
		}
	}
}

// receiveDigest applies a digest, and relays it to the delegates when it comes from
// another data centre and this process is not a delegate.
func (n *Node) receiveDigest(body []byte, f membership.Format, from registry.Host) {
	var d membership.Digest
	if !n.decode(body, &d, f, from) {
		return
	}
	now := n.lock()
	if f > membership.Format1 {
		n.formats.RecordReads(now, from, d.Incarnation, f)
	}
	relayTo := n.relayTargets(now, &d, from)
	n.members.RecordStoreAge(now, d.StoreAge)
	n.members.RecordDigestSender(now, from, d.DataCentre)
	changes := membership.Result{Ahead: n.members.RecordFormerHash(from, &d, n.versions())}
	var restarted []int
	for i := range d.Reports {
		result := n.applyReport(now, &d, i)
		changes = changes.Or(result)
		if result.Restarted {
			restarted = append(restarted, i)
		}
	}
	if changes.Changed {
		n.digests.markUrgent(false)
	}
	n.stale = true
	n.mu.Unlock()
	relayed := d.WithIncarnation(n.incarnation.Load())
	n.sendAll(&relayed, relayTo)
	n.followUp(changes)
	for _, i := range restarted {
		b := d.Heartbeat(i)
		n.peerStarted(d.Reports[i].Host, &b)
	}
}

// relayTargets returns the delegates of this data centre to relay a digest to, when
// the digest comes from another data centre and this process is not a delegate. The
// sender then has another set of delegates, for example after a loss of contact, and
// only the delegates inform this data centre. The caller holds n.mu.
func (n *Node) relayTargets(now time.Duration, d *membership.Digest, from registry.Host) []registry.Host {
	far := d.DataCentre != n.cfg.DataCentre && n.members.DataCentre(from) != n.cfg.DataCentre
	if !far || n.cfg.Role != membership.Balancer || n.members.IsDelegate(now) {
		return nil
	}
	return n.members.Delegates(now, n.cfg.DataCentre)
}

// applyReport applies report i of a digest. The caller holds n.mu.
func (n *Node) applyReport(now time.Duration, d *membership.Digest, i int) membership.Result {
	r, b := &d.Reports[i], d.Heartbeat(i)
	age := time.Duration(r.Age) * time.Millisecond
	n.recordVersion(now, b.Version)
	result := n.members.MergeReport(now, age, r.Host, b, n.versions())
	if result.Restarted {
		n.formats.RecordIncarnation(now, r.Host, b.Incarnation)
	}
	if result.Newer && b.Role == membership.Sidecar {
		n.loadsUpdated = append(n.loadsUpdated, r.Host)
	}
	return result
}

// followUp acts at once on changes in a heartbeat or digest: it starts a pull, sends
// a heartbeat, or publishes a new view.
func (n *Node) followUp(result membership.Result) {
	if result.Ahead {
		n.triggerPull()
	}
	if result.NewBalancers {
		n.TriggerHeartbeat()
	}
	if result.Changed {
		n.refresh()
	}
}

// peerStarted logs that another process started, and calls Handler.BalancerStarted for a balancer.
func (n *Node) peerStarted(h registry.Host, b *membership.Heartbeat) {
	n.logStart(h, b)
	if b.Role == membership.Balancer {
		n.cfg.Handler.BalancerStarted(h)
	}
}

func (n *Node) logStart(h registry.Host, b *membership.Heartbeat) {
	n.cfg.Log.Emit(event.PeerStarted, zap.Stringer("peer", h), zap.Stringer("role", b.Role), zap.Uint32("incarnation", b.Incarnation))
}
