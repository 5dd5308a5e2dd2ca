package exchange

import (
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

// versionPause is the minimum time between two messages to a balancer about its version.
const versionPause = 100 * time.Millisecond

// ReconcileVersion makes this process and a balancer of its data centre adopt the newer of their
// two versions of the routes soon. version is the one by which the balancer placed an opening:
// if it is older, a heartbeat reports the present one, which the balancer then pulls; if it is
// newer, a query makes the balancer send its heartbeat.
func (n *Node) ReconcileVersion(balancer registry.Host, version uint64) {
	now := n.lock()
	own, last := n.directory.Version(), n.versionSent[balancer]
	if own == version || last != 0 && now-last < versionPause || n.members.DataCentre(balancer) != n.cfg.DataCentre {
		n.mu.Unlock()
		return
	}
	n.versionSent[balancer] = now
	if own < version {
		n.mu.Unlock()
		n.sendQueries([]registry.Host{balancer})
		return
	}
	b := n.ownHeartbeat(now)
	n.mu.Unlock()
	n.sendHeartbeatTo(&b, []registry.Host{balancer})
}

// forgetVersions forgets the messages about versions that were sent long ago. The caller holds
// n.mu.
func (n *Node) forgetVersions(now time.Duration) {
	for h, at := range n.versionSent {
		if now-at >= versionPause {
			delete(n.versionSent, h)
		}
	}
}
