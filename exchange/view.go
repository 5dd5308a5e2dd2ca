package exchange

import (
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"go.uber.org/zap"
)

// refresh publishes a new view if anything changed since the last one. Ordinary
// heartbeats only mark the view as stale, so that their changes are batched per tick.
func (n *Node) refresh() {
	now := n.lock()
	defer n.mu.Unlock()
	if now-n.snapshotTime >= registry.MissingGrace/4 {
		n.rebuildSnapshot(now)
	}
	if !n.stale {
		return
	}
	n.stale = false
	n.publish(now)
}

// rebuildSnapshot replaces the snapshot with one as of now. The caller holds n.mu.
func (n *Node) rebuildSnapshot(now time.Duration) {
	before := n.snapshot
	n.snapshot = n.directory.Snapshot(now).WithLocations(n.members.DataCentre)
	n.logEvacuations(now, before)
	if n.firstList == 0 && !n.snapshot.State().IsZero() {
		n.firstList = now
	}
	n.snapshotTime = now
	n.stale = true
	if n.members.StoreSeen() && n.members.StoreAge(now) >= membership.MaxStoreAge {
		n.outage = n.outage.extend(now)
	}
}

// logEvacuations logs which evacuations began and ended since the previous snapshot. The
// caller holds n.mu.
func (n *Node) logEvacuations(now time.Duration, before *registry.Snapshot) {
	for _, dataCentre := range n.snapshot.EvacuatedDataCentres() {
		if !before.Evacuated(dataCentre) {
			n.logEvacuation(now, event.EvacuationBegan, dataCentre)
		}
	}
	for _, dataCentre := range before.EvacuatedDataCentres() {
		if !n.snapshot.Evacuated(dataCentre) {
			n.logEvacuation(now, event.EvacuationEnded, dataCentre)
		}
	}
}

func (n *Node) logEvacuation(now time.Duration, number event.Number, dataCentre string) {
	s := n.snapshot.State()
	n.cfg.Log.Emit(number,
		zap.String("evacuated", dataCentre),
		zap.Uint64("version", n.snapshot.Version()),
		zap.Uint32("era", uint32(s.Era)),
		zap.Uint64("revision", s.Revision),
		zap.Duration("storeage", n.members.StoreAge(now)))
}

// publish passes the current view to Config.Refresh. The caller holds n.mu.
func (n *Node) publish(now time.Duration) {
	f := &steer.Fleet{
		Snapshot:         n.snapshot,
		RoutesSince:      n.adopted,
		Sidecars:         make(map[registry.Host]steer.SidecarStatus, n.members.PeerCount()),
		Regions:          n.cfg.Regions,
		Unlisted:         n.snapshot.Unlisted(n.members.Sidecars(now)),
		Recovering:       now-n.firstList < settleTime,
		LastStoreContact: now - n.members.StoreAge(now),
		LiveBalancers:    n.countLiveBalancers(now),
		Isolated:         n.members.Isolated(now),
		Settled:          n.settled(now),
	}
	f.PlacingPeers, f.PlacedByPeers = n.placedByPeers(now)
	n.members.Each(membership.Sidecar, func(p *membership.Peer) {
		f.Sidecars[p.Host] = steer.SidecarStatus{
			DataCentre:       p.Heartbeat.DataCentre,
			Load:             p.Heartbeat.Load,
			LastSeen:         p.Seen(),
			HeartbeatTimeout: n.members.HeartbeatTimeout(p),
			Stopping:         p.Stopping(),
		}
	})
	n.addUnreadable(now, f.Sidecars)
	n.members.UpdateAbsent(now)
	for _, h := range n.members.Lost(now) {
		f.Sidecars[h] = steer.SidecarStatus{
			DataCentre:  n.members.DataCentre(h),
			Stopping:    true,
			AbsentSince: n.absentSince(h),
			LastContact: n.members.DirectContact(h),
			Suspected:   n.members.Suspected(now, h),
			Ended:       n.members.Ended(h),
			EndedAt:     n.members.EndedAt(h),
		}
	}
	n.cfg.Refresh(f)
	for _, h := range n.loadsUpdated {
		n.cfg.Handler.LoadUpdated(h)
	}
	n.loadsUpdated = n.loadsUpdated[:0]
}

// absentSince returns the time since which a sidecar has been absent, or 0. One that announced
// a stop is not absent while its upstream is in the list: that keeps its own entry there, and
// serves its flows when the sidecar is back, however late. The caller holds n.mu.
func (n *Node) absentSince(h registry.Host) time.Duration {
	since := n.members.AbsentSince(h)
	if since != 0 && n.members.StopAnnounced(h) && slices.Contains(n.snapshot.Hosts(""), h) {
		return 0
	}
	return since
}

// outage is the most recent period in which the store was unreachable.
type outage struct {
	began time.Duration
	last  time.Duration // when the store was last unreachable; negative if never
}

// extend returns the outage with the store unreachable at now. Outages that are
// less than settleTime apart count as one.
func (o outage) extend(now time.Duration) outage {
	if now-o.last >= settleTime {
		o.began = now
	}
	o.last = now
	return o
}

// settled reports whether the list contains all live upstreams: either the store
// was reachable for settleTime, or the list was complete before the outage. During
// an outage no upstream can be removed from the list, and a new one is discovered
// by the heartbeats of its sidecar; in any case, a search ends at a sidecar with a
// newer list. The caller holds n.mu.
func (n *Node) settled(now time.Duration) bool {
	if now-n.eraStart < settleTime || !n.discoveredAllSidecars(now) {
		return false
	}
	listComplete := n.outage.began-max(n.firstList, n.pauseEnd) >= settleTime
	return listComplete || now-n.outage.last >= settleTime
}

// discoveredAllSidecars reports whether this process has received a heartbeat or report
// of each live sidecar, including those that are not listed: digests report them
// together with the listed ones. The caller holds n.mu.
func (n *Node) discoveredAllSidecars(now time.Duration) bool {
	age := now - n.firstList
	switch {
	case n.firstList == 0 || age < discoveryTime:
		return false
	case age >= maxDiscoveryTime:
		return true
	}
	for _, h := range n.snapshot.Hosts("") {
		if h != n.self && n.members.Peer(h) == nil {
			return false
		}
	}
	return true
}

// countLiveBalancers returns the number of live balancers in the data centre,
// including this process if it is one. The caller holds n.mu.
func (n *Node) countLiveBalancers(now time.Duration) int {
	count := 0
	if n.cfg.Role == membership.Balancer {
		count++
	}
	n.members.Each(membership.Balancer, func(p *membership.Peer) {
		if p.Heartbeat.DataCentre == n.cfg.DataCentre && n.members.Alive(now, p.Host) {
			count++
		}
	})
	return count
}

// placedByPeers returns the number of other live balancers in the data centre that report
// how many flows they place, and the sum of these in flows per second. The caller holds
// n.mu.
func (n *Node) placedByPeers(now time.Duration) (peers int, sum float64) {
	n.members.Each(membership.Balancer, func(p *membership.Peer) {
		if p.Heartbeat.Placed > 0 && p.Heartbeat.DataCentre == n.cfg.DataCentre && n.members.Alive(now, p.Host) {
			peers++
			sum += float64(p.Heartbeat.Placed)
		}
	})
	return peers, sum
}

// handleNewEra records that the store was restored from an older copy. Upstreams
// that the copy lacks may still be alive, so no flow is reset until they have had
// the time to register again. The caller holds n.mu.
func (n *Node) handleNewEra(now time.Duration, before registry.State, from zap.Field) {
	n.eraStart = now
	n.TriggerHeartbeat()
	after := n.directory.State()
	n.cfg.Log.Emit(event.EraBegan, from,
		zap.Uint32("before", uint32(before.Era)),
		zap.Uint64("lost", before.Revision),
		zap.Uint32("era", uint32(after.Era)),
		zap.Uint64("revision", after.Revision),
		zap.Int("doubtful", n.directory.FormerCount()))
}

// apply merges an update and publishes the new view immediately.
func (n *Node) apply(u registry.Update, from zap.Field) registry.Result {
	now := n.lock()
	defer n.mu.Unlock()
	before := n.directory.State()
	first := before.IsZero()
	res := n.directory.Apply(now, u)
	if res.NewEra {
		n.handleNewEra(now, before, from)
	}
	if first && res.Upstreams || res.Changed() && n.members.IsDelegate(now) {
		n.TriggerHeartbeat() // announces this process to sidecars, and a delegate's new version to the data centre
	}
	var behind time.Duration
	if res.Routes {
		if n.behindSince != 0 {
			behind = now - n.behindSince
		}
		n.adopted, n.behindSince = now, 0
	}
	if res.Changed() {
		n.rebuildSnapshot(now)
		n.stale = false
		n.publish(now)
		n.cfg.Log.Emit(event.RoutesAdopted, from,
			zap.Uint64("version", n.directory.Version()),
			zap.Uint32("era", uint32(n.directory.State().Era)),
			zap.Uint64("revision", n.directory.State().Revision),
			zap.Bool("routes", res.Routes),
			zap.Duration("behind", behind),
			zap.Bool("upstreams", res.Upstreams),
			zap.Bool("evacuations", res.Evacuations),
			zap.Int("changes", len(u.Changes)))
	}
	return res
}
