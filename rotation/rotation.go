package rotation

import (
	"cmp"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
)

const (
	// minLinkRatio is how many times larger than the own link the largest one must be.
	// Among links of similar sizes a balancer that stands by only moves the shortage.
	minLinkRatio = 2
	// standbyPercent is the use of the own link, in percent, from which a balancer stands
	// by. Bursts exceed the mean over a second, and packets wait before the link is full.
	standbyPercent = 60
	// resumePercent is the expected use of the own link, in percent, below which a balancer
	// returns.
	resumePercent = 35
	// minRotationPercent is the share of the balancers of a data centre, in percent, that
	// stays in rotation. Routers use all of them when fewer than half are ready; the
	// margin covers balancers that fail meanwhile.
	minRotationPercent = 60
	// minStandby is the minimum time to stand by. Each change moves most flows to another
	// balancer.
	minStandby = 10 * time.Second
)

// Peer is another balancer of the data centre.
type Peer struct {
	Host    registry.Host
	Ingress membership.Ingress
	// Alive is false when the heartbeats of the balancer timed out or it is stopping.
	Alive bool
}

// A Rotation holds the decision of one balancer. The zero value is in rotation. It is not
// safe for concurrent use.
type Rotation struct {
	standby bool
	changed time.Duration // when standby last changed; 0 if it never did
}

// Standby reports the decision of the last Update.
func (r *Rotation) Standby() bool {
	return r.standby
}

// Update decides anew at now and reports whether the decision changed. self is this
// balancer, peers are the others of its data centre that sent a heartbeat recently, also
// those that are no longer alive: routers count them until they are removed.
func (r *Rotation) Update(now time.Duration, self Peer, peers []Peer) (changed bool) {
	standby := r.decide(now, self, peers)
	if standby == r.standby {
		return false
	}
	r.standby, r.changed = standby, now
	return true
}

func (r *Rotation) decide(now time.Duration, self Peer, peers []Peer) bool {
	if !mayStandBy(self, peers) {
		return false
	}
	if !r.standby {
		settled := r.changed == 0 || now-r.changed >= minStandby
		return settled && self.Ingress.UsedPercent() >= standbyPercent
	}
	return now-r.changed < minStandby || expectedPercent(self, peers) >= resumePercent
}

// mayStandBy reports whether self is one of the balancers with the smallest links that
// may stand by at the same time. All balancers of a data centre agree on the order, so
// that no two decide to stand by where only one may.
func mayStandBy(self Peer, peers []Peer) bool {
	if self.Ingress.Link == 0 {
		return false
	}
	total := 1 + len(peers)
	limit := total - (total*minRotationPercent+99)/100
	unavailable, smaller, largest := 0, 0, 0
	for i := range peers {
		p := &peers[i]
		switch {
		case !p.Alive:
			unavailable++
		case p.Ingress.Link == 0:
			// Its link is not known, so it counts as one that does not stand by.
		default:
			largest = max(largest, p.Ingress.Link)
			if compare(*p, self) < 0 {
				smaller++
			}
		}
	}
	return largest >= minLinkRatio*self.Ingress.Link && smaller+unavailable < limit
}

// compare orders balancers by their links.
func compare(a, b Peer) int {
	return cmp.Or(cmp.Compare(a.Ingress.Link, b.Ingress.Link), a.Host.Compare(b.Host))
}

// expectedPercent returns how much of its link, in percent, self would use in rotation:
// routers would give it an equal share of the packets that arrive now.
func expectedPercent(self Peer, peers []Peer) int {
	traffic, inRotation := self.Ingress.Traffic, 1
	for i := range peers {
		if p := &peers[i]; p.Alive {
			traffic += p.Ingress.Traffic
			if !p.Ingress.Standby {
				inRotation++
			}
		}
	}
	return 100 * traffic / inRotation / self.Ingress.Link
}
