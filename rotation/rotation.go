package rotation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
)

const (
	// standbyPercent is the use of a link, in percent, up to which an equal share of the
	// traffic fits it. Bursts exceed the mean over a second, and packets wait before the
	// link is full.
	standbyPercent = 60
	// keepPercent is the use of the smallest link in rotation, in percent, up to which
	// standing by still helps. Beyond it, all links are needed.
	keepPercent = 90
	// resumePercent is the use of the own link, in percent, below which a balancer returns.
	// Demand that oscillates does not bring it back between two peaks.
	resumePercent = 25
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
	g := newGroup(self, peers)
	if !r.standby {
		settled := r.changed == 0 || now-r.changed >= minStandby
		return settled && g.self < g.needed()
	}
	if g.self >= g.limit || g.standbys(keepPercent) < 0 {
		return false
	}
	wanted := g.standbys(resumePercent)
	return now-r.changed < minStandby || wanted < 0 || g.self < wanted
}

// group is the live balancers of a data centre whose links are known.
type group struct {
	links   []int // kbit/s, ascending
	self    int   // index of this balancer in the order of links and hosts
	traffic int   // of all together, in kbit/s
	limit   int   // how many may stand by
}

// newGroup returns the group as this balancer sees it. At most half of the balancers of a
// data centre stand by or are gone: with fewer in rotation, routers use all. Balancers
// whose links are not known stay in rotation, and their links count as the largest.
func newGroup(self Peer, peers []Peer) group {
	g := group{limit: (1 + len(peers)) / 2, traffic: self.Ingress.Traffic}
	if self.Ingress.Link == 0 {
		g.limit = 0
		return g
	}
	g.links = append(g.links, self.Ingress.Link)
	for i := range peers {
		p := &peers[i]
		if !p.Alive {
			g.limit--
			continue
		}
		g.traffic += p.Ingress.Traffic
		g.links = append(g.links, cmp.Or(p.Ingress.Link, math.MaxInt))
		if p.Ingress.Link > 0 && compare(*p, self) < 0 {
			g.self++
		}
	}
	slices.Sort(g.links)
	return g
}

// needed returns how many balancers have to stand by now: as many as give the others room
// for bursts, or else as many as keep them from becoming saturated.
func (g *group) needed() int {
	if n := g.standbys(standbyPercent); n >= 0 {
		return n
	}
	return g.standbys(keepPercent)
}

// standbys returns the least number of balancers with the smallest links that have to
// stand by so that equal shares of the traffic use at most the given part of each other
// link. It returns -1 when no permitted number suffices: the others would then become
// saturated instead. All balancers order themselves in the same way, so that they agree on
// who stands by.
func (g *group) standbys(percent int) int {
	for n := 0; n <= g.limit && n < len(g.links); n++ {
		share := g.traffic / (len(g.links) - n)
		if share <= g.links[n]/100*percent {
			return n
		}
	}
	return -1
}

// compare orders balancers by their links.
func compare(a, b Peer) int {
	return cmp.Or(cmp.Compare(a.Ingress.Link, b.Ingress.Link), a.Host.Compare(b.Host))
}
