package exchange

import (
	"time"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"go.uber.org/zap"
)

// sendHeartbeat sends a heartbeat to at least the given scope. It extends the scope to
// membership.ScopeDataCentre when such a heartbeat is due.
func (n *Node) sendHeartbeat(scope membership.Scope) {
	now := n.lock()
	b := n.ownHeartbeat(now)
	if n.heartbeats%heartbeatsPerBalancerList == 0 {
		b.Balancers = n.members.AdvertisedBalancers(now, n.cfg.DataCentre)
	}
	n.heartbeats++
	var bootstrap []registry.Host
	if scope > membership.ScopeBalancers || now-n.lastWide >= membership.HeartbeatsPerRemoteDigest*membership.HeartbeatInterval-tickInterval/2 {
		n.lastWide = now
		scope = max(scope, membership.ScopeDataCentre)
		bootstrap = n.members.DirectRemoteSidecars(now)
	}
	targets := n.members.Targets(now, scope, n.snapshot.Hosts(n.cfg.DataCentre))
	n.mu.Unlock()
	n.sendHeartbeatTo(&b, targets)
	for _, h := range bootstrap {
		n.sendBootstrap(h)
	}
}

// sendBootstrap sends a heartbeat to a process that has just started, or that
// receives heartbeats from no balancer of its data centre. The heartbeat lists the
// balancers to contact. A delegate also sends full digests, see
// membership.Table.InformsStarted, so that the process need not wait for the next regular ones.
func (n *Node) sendBootstrap(h registry.Host) {
	now := n.lock()
	b := n.ownHeartbeat(now)
	dataCentre := n.members.DataCentre(h)
	b.Balancers = n.members.AdvertisedBalancers(now, dataCentre)
	var digests []membership.Digest
	if n.members.InformsStarted(now, h) {
		digests = fillDigests(now, n.emptyDigest(now), n.members.UpdatedSince(0))
	}
	n.mu.Unlock()
	n.sendHeartbeatTo(&b, []registry.Host{h})
	n.sendDigests(digests, []registry.Host{h})
}

// ownHeartbeat returns the next heartbeat of this process. The caller holds n.mu.
func (n *Node) ownHeartbeat(now time.Duration) membership.Heartbeat {
	n.sequence++
	b := membership.Heartbeat{
		Role:        n.cfg.Role,
		DataCentre:  n.cfg.DataCentre,
		Incarnation: n.incarnation.Load(),
		Sequence:    n.sequence,
		Version:     n.directory.Version(),
		State:       n.directory.State(),
		FormerHash:  n.directory.FormerHash(),
		StoreAge:    n.members.StoreAge(now),
		Reading:     n.members.Reading(now),
		Stopping:    n.stopping,
		Load:        n.cfg.Load(now),
		Format:      n.newest,
	}
	if n.cfg.Placed != nil {
		b.Placed = n.cfg.Placed(now)
	}
	if n.cfg.Role == membership.Balancer {
		b.Lost, b.Lossy = n.members.LocalLost(now), n.members.Lossy(now)
		b.Unlisted = n.snapshot.Unlisted(n.members.LiveSidecars(now))
	}
	if n.cfg.Ingress != nil {
		b.Ingress = n.cfg.Ingress(now)
	}
	return b
}

// sendHeartbeatTo sends a heartbeat to the processes on the given hosts.
func (n *Node) sendHeartbeatTo(b *membership.Heartbeat, hosts []registry.Host) {
	if len(hosts) == 0 {
		return
	}
	n.sendAll(b, hosts)
}

// checkPeers logs which processes became silent or resumed their heartbeats, and
// drops expired entries.
func (n *Node) checkPeers() {
	now := n.lock()
	defer n.mu.Unlock()
	for _, role := range []membership.Role{membership.Balancer, membership.Sidecar} {
		for _, p := range n.members.Peers(role) {
			silent := !n.members.Alive(now, p.Host)
			if silent == n.silent[p.Host] {
				continue
			}
			n.silent[p.Host] = silent
			n.logPeerState(now, p, silent)
			if silent && role == membership.Sidecar && n.cfg.Role == membership.Balancer && p.Heartbeat.DataCentre == n.cfg.DataCentre {
				n.TriggerHeartbeat()
			}
		}
	}
	if alone := n.members.Isolated(now); alone != n.isolated {
		n.isolated = alone
		n.cfg.Log.Emit(event.ProcessAlone, zap.Bool("alone", alone))
	}
	n.members.Expire(now)
	n.formats.Expire(now)
	n.unreadable.expire(now)
	n.forgetVersions(now)
	n.directory.Expire(now)
}

func (n *Node) logPeerState(now time.Duration, p *membership.Peer, silent bool) {
	number := event.PeerHeard
	if silent {
		number = event.PeerSilent
	}
	n.cfg.Log.Emit(number,
		zap.Stringer("peer", p.Host),
		zap.Stringer("role", p.Heartbeat.Role),
		zap.Duration("age", now-p.LastSeen),
		zap.Bool("stopping", p.Heartbeat.Stopping))
}
