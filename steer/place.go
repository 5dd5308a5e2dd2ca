package steer

import (
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
)

const (
	// waitingWeight is how many open flows one waiting request counts for: flows
	// are idle most of the time, a waiting request delays others now.
	waitingWeight = 4
	// warmupFlows is how many more flows a starting upstream counts for.
	warmupFlows = 6
	// refusingFlows is how many more flows an upstream that returns openings counts for.
	refusingFlows = 64
	// crowdedBusy is the mean number of requests for each slot, in thousandths, from
	// which upstreams of other data centres are considered.
	crowdedBusy = 900
	// farMargin is by how much, in thousandths of a slot, an upstream of another
	// data centre must then be less busy.
	farMargin = 300
	// crowdedQueue is how many requests wait at an upstream, beyond its slots, when
	// another one is considered: they take longer than the way to another data centre.
	crowdedQueue = 4
)

// chooser compares the upstreams of a pool for one new flow.
type chooser struct {
	fleet      *Fleet
	now        time.Duration
	hash       uint64
	dataCentre string
	// expected returns the load that is expected of an upstream, in flows, from
	// what its sidecar told.
	expected func(h registry.Host, told int, heard time.Duration) float64
	// pending returns how many flows were placed on a host since its sidecar last told its load.
	pending func(registry.Host) int
	placing Placing
	// given returns how many flows were placed on a host in all; valid for PlaceByTwoChoices.
	given func(registry.Host) int
}

// choice is the best upstream so far.
type choice struct {
	member *registry.Member // nil when there is none
	// failing is true when the upstream fails requests: it is taken only when there is no other.
	failing bool
	cost    float64
	rank    uint64
}

// better reports whether n goes before o.
func (n *choice) better(o *choice) bool {
	switch {
	case o.member == nil:
		return true
	case n.failing != o.failing:
		return o.failing
	case n.cost != o.cost:
		return n.cost < o.cost
	}
	return n.rank < o.rank
}

// choose returns the upstream for a new flow, or nil. skip leaves hosts out.
func (c *chooser) choose(p *registry.Pool, skip func(registry.Host) bool) *registry.Member {
	if !c.placing.weighs() {
		return c.chooseBlind(p, skip)
	}
	var near, far choice
	for i := range p.Members {
		m := &p.Members[i]
		if skip(m.Address.Host) || !c.fleet.opens(c.now, m) {
			continue
		}
		if m.DataCentre == c.dataCentre {
			c.offer(&near, m)
		} else {
			c.offer(&far, m)
		}
	}
	if near.member == nil || far.member != nil && c.relieves(&far, &near) {
		return far.member
	}
	return near.member
}

// relieves reports whether an upstream of another data centre serves a new flow
// better than the best near one: that one fails or is crowded, and this one is less so.
func (c *chooser) relieves(far, near *choice) bool {
	if near.failing != far.failing {
		return near.failing
	}
	f, n := far.member, near.member
	if c.busy(n) >= crowdedBusy && c.busy(f)+farMargin <= c.busy(n) {
		return true
	}
	return c.queue(n) >= crowdedQueue && c.queue(f)+crowdedQueue <= c.queue(n)
}

// offer replaces the best upstream when m is better.
func (c *chooser) offer(best *choice, m *registry.Member) {
	host := m.Address.Host
	n := choice{member: m, failing: c.fleet.Sidecars[host].Load.Failing, cost: c.cost(m), rank: rank(c.hash, host)}
	if n.better(best) {
		*best = n
	}
}

// cost returns the load of an upstream in flows for each slot.
func (c *chooser) cost(m *registry.Member) float64 {
	i := c.fleet.Sidecars[m.Address.Host]
	flows := c.expected(m.Address.Host, told(i.Load, m), i.LastHeartbeat)
	if m.Warmup > 0 {
		flows += warmupFlows
	}
	if i.Load.Refusing {
		flows += refusingFlows
	}
	return flows / float64(max(1, m.Slots))
}

// told returns the load of an upstream, in flows, by what its sidecar told last.
func told(l membership.Load, m *registry.Member) int {
	return l.Flows + waitingWeight*max(0, l.Active-m.Slots)
}

// asTold expects what sidecars told.
func asTold(_ registry.Host, told int, _ time.Duration) float64 { return float64(told) }

// queue returns how many requests wait beyond the slots of an upstream. Each new flow brings one.
func (c *chooser) queue(m *registry.Member) int {
	host := m.Address.Host
	return c.fleet.Sidecars[host].Load.Active + c.pending(host) - m.Slots
}

// busy returns the mean number of requests for each slot, in thousandths.
func (c *chooser) busy(m *registry.Member) int {
	return c.fleet.Sidecars[m.Address.Host].Load.Busy / max(1, m.Slots)
}

// overflow returns an upstream with a free slot, of another service that the
// route allows, when requests wait even at m, the best one of its own service.
// Weights share flows out as long as each service keeps up; beyond that a caller
// is better served anywhere than late. It returns nil when the flow is to stay.
func (c *chooser) overflow(route *registry.Route, m *registry.Member, skip func(registry.Host) bool) *registry.Member {
	if len(route.Targets) < 2 || !c.placing.weighs() || c.queue(m) < crowdedQueue {
		return nil
	}
	for i := range route.Targets {
		if route.Targets[i].Service == m.Service {
			continue
		}
		pool := c.fleet.Snapshot.Pool(registry.HashService(route.Targets[i].Service))
		if pool == nil {
			continue
		}
		if free := c.choose(pool, skip); free != nil && c.queue(free) < 0 {
			return free
		}
	}
	return nil
}

// open returns the upstream to pass a new flow on to, or nil. pool may be nil.
func (c *chooser) open(pool *registry.Pool, skip func(registry.Host) bool) *registry.Member {
	if pool == nil {
		return nil
	}
	if m := c.choose(pool, skip); m != nil {
		return m
	}
	return c.unheard(pool, skip)
}

// The classes of upstreams in a walk: those without a bit go first.
const (
	walkFar     = 1 << 61 // of another data centre
	walkUnheard = 1 << 62 // whose sidecar was never heard, so that a packet may be lost there
	walkRemoved = 1 << 63 // that the list does not have any more
)

// walk returns the next upstream to ask for a flow that nobody remembers, each
// class in the flow's own order. Sidecars that fell silent are left out. It
// returns nil when all were asked.
func (c *chooser) walk(p *registry.Pool, skip func(registry.Host) bool) *registry.Member {
	return c.walkMembers(p, func(m *registry.Member) bool { return skip(m.Address.Host) })
}

func (c *chooser) walkMembers(p *registry.Pool, skip func(*registry.Member) bool) *registry.Member {
	var best *registry.Member
	var bestRank uint64
	for i := range p.Members {
		m := &p.Members[i]
		host := m.Address.Host
		if skip(m) || c.fleet.silent(c.now, host) {
			continue
		}
		r := rank(c.hash, host) >> 3
		if m.DataCentre != c.dataCentre {
			r |= walkFar
		}
		if !c.fleet.alive(c.now, host) {
			r |= walkUnheard
		}
		if m.Standing == registry.Removed {
			r |= walkRemoved
		}
		if best == nil || r < bestRank {
			best, bestRank = m, r
		}
	}
	return best
}

// walkAll is walk over the pools of several services, one after the other.
func (c *chooser) walkAll(pools []*registry.Pool, skip func(registry.Host) bool) *registry.Member {
	for _, p := range pools {
		if m := c.walk(p, skip); m != nil {
			return m
		}
	}
	return nil
}

// seek returns the next upstream of a data centre to ask for a flow that nobody
// remembers: those of a service first, then all others, since a newer version
// may have taken the service out of the route, and at last those that the list lacks.
func (c *chooser) seek(service registry.ServiceHash, dataCentre string, skip func(registry.Host) bool) (h registry.Host, found bool) {
	elsewhere := func(m *registry.Member) bool { return m.DataCentre != dataCentre || skip(m.Address.Host) }
	if pool := c.fleet.Snapshot.Pool(service); pool != nil {
		if m := c.walkMembers(pool, elsewhere); m != nil {
			return m.Address.Host, true
		}
	}
	for _, p := range c.fleet.Snapshot.Pools() {
		if m := c.walkMembers(p, elsewhere); m != nil {
			return m.Address.Host, true
		}
	}
	return c.fleet.unlisted(dataCentre, skip)
}

// unheard returns an upstream when none takes new flows for sure: one that is
// not known to be leaving, and whose sidecar was never heard. That sidecar
// passes the flow on if it must.
func (c *chooser) unheard(p *registry.Pool, skip func(registry.Host) bool) *registry.Member {
	return c.first(p, func(h registry.Host) bool {
		_, known := c.fleet.Sidecars[h]
		return known || skip(h)
	})
}

// first returns the upstream that is not known to be leaving and goes first for the flow, or nil.
func (c *chooser) first(p *registry.Pool, skip func(registry.Host) bool) *registry.Member {
	var best *registry.Member
	for i := range p.Members {
		m := &p.Members[i]
		if m.Standing != registry.Available || skip(m.Address.Host) {
			continue
		}
		if best == nil || rank(c.hash, m.Address.Host) < rank(c.hash, best.Address.Host) {
			best = m
		}
	}
	return best
}
