package exchange

import (
	"time"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/wire"
	"go.uber.org/zap"
)

// beat sends a heartbeat to the processes of this data centre, and to all when
// that is due or everywhere is true.
func (n *Node) beat(everywhere bool) {
	now := n.cfg.Timer.Uptime()
	n.mu.Lock()
	b := n.ownBeat(now, n.beats%listEvery == 0)
	targets := n.members.Targets(now, n.sidecars())
	if everywhere || now-n.beatFar >= membership.FarEvery*membership.BeatInterval-tick/2 {
		n.beatFar = now
	} else {
		targets = n.members.Near(targets)
	}
	n.beats++
	n.mu.Unlock()
	n.sendBeat(&b, targets)
}

// greet sends a heartbeat to a process that has just started, so that it need not wait for the next one.
func (n *Node) greet(h registry.Host) {
	now := n.cfg.Timer.Uptime()
	n.mu.Lock()
	b := n.ownBeat(now, true)
	n.mu.Unlock()
	n.sendBeat(&b, []registry.Host{h})
}

// ownBeat returns what this process tells; it names balancers when list is true. The caller holds the lock.
func (n *Node) ownBeat(now time.Duration, list bool) membership.Beat {
	b := membership.Beat{
		Role:        n.cfg.Role,
		DataCentre:  n.cfg.DataCentre,
		Incarnation: n.incarnation.Load(),
		Version:     n.directory.Version(),
		Revision:    n.directory.Revision(),
		StoreAge:    n.members.StoreAge(now),
		Reading:     n.members.Reading(now),
		Stopping:    n.stopping,
		Load:        n.cfg.Load(now),
	}
	if list {
		b.Balancers = n.members.Balancers(now)
	}
	if n.cfg.Role == membership.Balancer {
		b.Lost = n.members.LostSidecars(now)
		b.Unlisted = n.snapshot.Unlisted(n.members.LiveSidecars(now))
	}
	return b
}

// sendBeat sends a heartbeat to the processes on hosts.
func (n *Node) sendBeat(b *membership.Beat, hosts []registry.Host) {
	body, err := wire.Encode(b)
	if err != nil {
		n.cfg.Log.Emit(event.DatagramUnusable, zap.Error(err))
		return
	}
	datagram := append([]byte{byte(kindBeat)}, body...)
	for _, h := range hosts {
		n.Send(datagram, h)
	}
}

// sidecars returns the sidecars that are to hear of this process: for a
// balancer all, for a sidecar those that it passes flows on to first. The
// caller holds the lock.
func (n *Node) sidecars() []registry.Host {
	if n.cfg.Role == membership.Balancer {
		return n.snapshot.Hosts("")
	}
	hosts := n.snapshot.Hosts(n.cfg.DataCentre)
	if pool := n.snapshot.Pool(n.cfg.Service); pool != nil {
		hosts = append(hosts, pool.Hosts()...)
	}
	return hosts
}

// watchPeers logs which processes fell silent or are heard again.
func (n *Node) watchPeers(now time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, role := range []membership.Role{membership.Balancer, membership.Sidecar} {
		for _, p := range n.members.Peers(role) {
			silent := !n.members.Alive(now, p.Host)
			if silent == n.silent[p.Host] {
				continue
			}
			n.silent[p.Host] = silent
			n.logSilence(now, p, silent)
			if silent && role == membership.Sidecar {
				n.Hurry()
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

func (n *Node) logSilence(now time.Duration, p *membership.Peer, silent bool) {
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
