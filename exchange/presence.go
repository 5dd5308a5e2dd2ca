package exchange

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
)

// kindQuery is a presence query: an empty body, answered by a heartbeat to the sender
// alone. Builds of version 1 ignore it.
const kindQuery kind = 0x27

// maxContacts bounds the hosts whose contacts are remembered between two updates of the
// members.
const maxContacts = 4096

// presence holds the state of presence queries of a node.
type presence struct {
	sent     atomic.Uint64 // queries sent
	answered atomic.Uint64 // queries of others answered
	// contacts has when a contact with a host was last passed to the members. Only the
	// goroutine that receives datagrams uses it.
	contacts map[registry.Host]time.Duration
	lost     []registry.Host // last result of members.LocalLost; guarded by Node.mu
}

// PresenceStatus describes the contact of a Node with other processes.
type PresenceStatus struct {
	// Sent is the number of presence queries sent, and Answered the number of queries of
	// others that were answered.
	Sent, Answered uint64
	// Lossy is true while the reception of this process is bad.
	Lossy bool
}

// Presence returns the current presence status of the node.
func (n *Node) Presence() PresenceStatus {
	now := n.lock()
	defer n.mu.Unlock()
	return PresenceStatus{Sent: n.presence.sent.Load(), Answered: n.presence.answered.Load(), Lossy: n.members.Lossy(now)}
}

// recordContact records that a datagram of any kind arrived from a host. It acquires the
// lock at most once per tickInterval and host, since packets are received here too.
func (n *Node) recordContact(h registry.Host) {
	now := n.cfg.Timer.Uptime()
	if at, ok := n.presence.contacts[h]; ok && now-at < tickInterval {
		return
	}
	if n.presence.contacts == nil || len(n.presence.contacts) >= maxContacts {
		n.presence.contacts = make(map[registry.Host]time.Duration)
	}
	n.presence.contacts[h] = now
	now = n.lock()
	n.members.RecordContact(now, h)
	n.mu.Unlock()
}

// answerQuery sends a heartbeat to a process that queried this one. Unknown hosts get no
// answer, so that a forged query causes no traffic to a third party.
func (n *Node) answerQuery(h registry.Host) {
	now := n.lock()
	if n.members.Peer(h) == nil {
		n.mu.Unlock()
		return
	}
	b := n.ownHeartbeat(now)
	n.mu.Unlock()
	n.presence.answered.Add(1)
	n.sendHeartbeatTo(&b, []registry.Host{h})
}

// checkPresence queries the processes whose heartbeats are due, and sends a heartbeat at
// once when a sidecar was lost, since other balancers need that confirmation.
func (n *Node) checkPresence() {
	if n.cfg.Role != membership.Balancer {
		return
	}
	now := n.lock()
	hosts := n.members.DueQueries(now)
	lost := n.members.LocalLost(now)
	added := slices.ContainsFunc(lost, func(h registry.Host) bool { return !slices.Contains(n.presence.lost, h) })
	n.presence.lost = lost
	if len(hosts) > 0 || added {
		n.stale = true // an absence may become certain without a heartbeat
	}
	n.mu.Unlock()
	n.sendQueries(hosts)
	if added {
		n.TriggerHeartbeat()
	}
}

// sendQueries sends a presence query to each of the hosts.
func (n *Node) sendQueries(hosts []registry.Host) {
	n.presence.sent.Add(uint64(len(hosts)))
	for _, h := range hosts {
		n.Send([]byte{byte(kindQuery)}, h)
	}
}
