package exchange

import (
	"time"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/wire"
	"go.uber.org/zap"
)

// sendHeartbeat sends a heartbeat as far as is asked for, and further when that is due.
func (n *Node) sendHeartbeat(reach membership.Reach) {
	now := n.cfg.Timer.Uptime()
	n.mu.Lock()
	b := n.ownHeartbeat(now)
	if n.heartbeats%contactsEvery == 0 {
		b.Balancers = n.members.Contacts(now, n.cfg.DataCentre)
	}
	n.heartbeats++
	var bootstrap []registry.Host
	if reach > membership.ReachNear || now-n.lastWide >= membership.FarEvery*membership.BeatInterval-tickInterval/2 {
		n.lastWide = now
		reach = max(reach, membership.ReachWide)
		bootstrap = n.members.Guests(now)
	}
	targets := n.members.Targets(now, reach, n.snapshot.Hosts(n.cfg.DataCentre))
	n.mu.Unlock()
	n.sendHeartbeatTo(&b, targets)
	for _, h := range bootstrap {
		n.sendBootstrap(h)
	}
}

// sendBootstrap sends a heartbeat to a process that has just started, or that hears no
// balancer of its data centre. It names the balancers to send heartbeats to, and
// a delegate tells a near one all that it knows, so that it need not wait for news.
func (n *Node) sendBootstrap(h registry.Host) {
	now := n.cfg.Timer.Uptime()
	n.mu.Lock()
	b := n.ownHeartbeat(now)
	dataCentre := n.members.DataCentre(h)
	b.Balancers = n.members.Contacts(now, dataCentre)
	var digests []membership.Digest
	if n.members.Speaks(now) && dataCentre == n.cfg.DataCentre {
		digests = fillDigests(now, n.emptyDigest(now), n.members.Learned(0))
	}
	n.mu.Unlock()
	n.sendHeartbeatTo(&b, []registry.Host{h})
	n.sendDigests(digests, []registry.Host{h})
}

// ownHeartbeat returns what this process tells. The caller holds the lock.
func (n *Node) ownHeartbeat(now time.Duration) membership.Beat {
	n.sequence++
	b := membership.Beat{
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
	}
	if n.cfg.Role == membership.Balancer {
		b.Lost = n.members.LostNear(now)
		b.Unlisted = n.snapshot.Unlisted(n.members.LiveSidecars(now))
	}
	return b
}

// sendHeartbeatTo sends a heartbeat to the processes on hosts.
func (n *Node) sendHeartbeatTo(b *membership.Beat, hosts []registry.Host) {
	if len(hosts) == 0 {
		return
	}
	n.sendAll(kindHeartbeat, b, hosts)
}

// sendAll sends one datagram with the encoding of v to the processes on hosts.
func (n *Node) sendAll(k kind, v any, hosts []registry.Host) {
	body, err := wire.Encode(v)
	if err != nil {
		n.cfg.Log.Emit(event.DatagramUnusable, zap.Error(err))
		return
	}
	datagram := append([]byte{byte(k)}, body...)
	for _, h := range hosts {
		n.Send(datagram, h)
	}
}

// checkPeers logs which processes fell silent or are heard again.
func (n *Node) checkPeers(now time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, role := range []membership.Role{membership.Balancer, membership.Sidecar} {
		for _, p := range n.members.Peers(role) {
			silent := !n.members.Alive(now, p.Host)
			if silent == n.silent[p.Host] {
				continue
			}
			n.silent[p.Host] = silent
			n.logPeerState(now, p, silent)
			if silent && role == membership.Sidecar && n.cfg.Role == membership.Balancer && p.Beat.DataCentre == n.cfg.DataCentre {
				n.TriggerHeartbeat()
			}
		}
	}
	if alone := n.members.Alone(now); alone != n.alone {
		n.alone = alone
		n.cfg.Log.Emit(event.ProcessAlone, zap.Bool("alone", alone))
	}
	n.members.Expire(now)
	n.directory.Expire(now)
}

func (n *Node) logPeerState(now time.Duration, p *membership.Peer, silent bool) {
	number := event.PeerHeard
	if silent {
		number = event.PeerSilent
	}
	n.cfg.Log.Emit(number,
		zap.Stringer("peer", p.Host),
		zap.Stringer("role", p.Beat.Role),
		zap.Duration("age", now-p.Heard),
		zap.Bool("stopping", p.Beat.Stopping))
}
