package exchange

import (
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/rotation"
)

// rotationTimeout is the time without heartbeats after which a balancer counts as gone
// from the rotation of the routers. It is longer than the timeout for placing flows, since
// heartbeats are lost on saturated links, and each change of the rotation moves flows.
const rotationTimeout = 2 * time.Second

// LocalBalancers returns the other balancers of the data centre from which a heartbeat has
// arrived recently, also those that are no longer alive.
func (n *Node) LocalBalancers() []rotation.Peer {
	now := n.lock()
	defer n.mu.Unlock()
	var list []rotation.Peer
	n.members.Each(membership.Balancer, func(p *membership.Peer) {
		if p.Heartbeat.DataCentre == n.cfg.DataCentre {
			alive := !p.Stopping() && now-p.LastContact() < rotationTimeout
			list = append(list, rotation.Peer{Host: p.Host, Ingress: p.Heartbeat.Ingress, Alive: alive})
		}
	})
	return list
}
