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
	// crowdedBusyMilli is the mean number of requests for each slot, in thousandths, from
	// which upstreams of other data centres are considered.
	crowdedBusyMilli = 900
	// farMarginMilli is by how much, in thousandths of a slot, an upstream of another
	// data centre must then be less busy.
	farMarginMilli = 300
	// crowdedQueueLength is how many requests wait at an upstream, beyond its slots, when
	// another one is considered: they take longer than the way to another data centre.
	crowdedQueueLength = 4
)

// chooser compares the upstreams of a pool for one new flow.
type chooser struct {
	fleet      *Fleet
	now        time.Duration
	hash       uint64
	dataCentre string
	// estimate returns the load that is expected of an upstream, in flows, from
	// what its sidecar told.
	estimate func(h registry.Host, told int, heard time.Duration) float64
	// unreported returns how many flows were placed on a host since its sidecar last told its load.
	unreported func(registry.Host) int
	placing    Placing
	// totalPlaced returns how many flows were placed on a host in all; valid for PlaceByTwoChoices.
	totalPlaced func(registry.Host) int
}

// candidate is the best upstream so far.
type candidate struct {
	member *registry.Member // nil when there is none
	// failing is true when the upstream fails requests: it is taken only when there is no other.
	failing bool
	cost    float64
	rank    uint64
}

// better reports whether n goes before o.
func (n *candidate) better(o *candidate) bool {
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
func (c *chooser) choose(p *registry.Pool, exclude func(registry.Host) bool) *registry.Member {
	if !c.placing.comparesLoad() {
		return c.chooseWithoutLoad(p, exclude)
	}
	var near, far candidate
	for i := range p.Members {
		m := &p.Members[i]
		if exclude(m.Address.Host) || !c.fleet.acceptsNewFlows(c.now, m) {
			continue
		}
		if m.DataCentre == c.dataCentre {
			c.consider(&near, m)
		} else {
			c.consider(&far, m)
		}
	}
	if near.member == nil || far.member != nil && c.prefersFar(&far, &near) {
		return far.member
	}
	return near.member
}

// prefersFar reports whether an upstream of another data centre serves a new flow
// better than the best near one: that one fails or is crowded, and this one is less so.
func (c *chooser) prefersFar(far, near *candidate) bool {
	if near.failing != far.failing {
		return near.failing
	}
	f, n := far.member, near.member
	if c.busyPerSlot(n) >= crowdedBusyMilli && c.busyPerSlot(f)+farMarginMilli <= c.busyPerSlot(n) {
		return true
	}
	return c.queueLength(n) >= crowdedQueueLength && c.queueLength(f)+crowdedQueueLength <= c.queueLength(n)
}

// consider replaces the best upstream when m is better.
func (c *chooser) consider(best *candidate, m *registry.Member) {
	host := m.Address.Host
	n := candidate{member: m, failing: c.fleet.Sidecars[host].Load.Failing, cost: c.cost(m), rank: rank(c.hash, host)}
	if n.better(best) {
		*best = n
	}
}

// cost returns the load of an upstream in flows for each slot.
func (c *chooser) cost(m *registry.Member) float64 {
	i := c.fleet.Sidecars[m.Address.Host]
	flows := c.estimate(m.Address.Host, reportedLoad(i.Load, m), i.LastHeartbeat)
	if m.Warmup > 0 {
		flows += warmupFlows
	}
	if i.Load.Refusing {
		flows += refusingFlows
	}
	return flows / float64(max(1, m.Slots))
}

// reportedLoad returns the load of an upstream, in flows, by what its sidecar told last.
func reportedLoad(l membership.Load, m *registry.Member) int {
	return l.Flows + waitingWeight*max(0, l.Active-m.Slots)
}

// asReported expects what sidecars told.
func asReported(_ registry.Host, reported int, _ time.Duration) float64 { return float64(reported) }

// queueLength returns how many requests wait beyond the slots of an upstream. Each new flow brings one.
func (c *chooser) queueLength(m *registry.Member) int {
	host := m.Address.Host
	return c.fleet.Sidecars[host].Load.Active + c.unreported(host) - m.Slots
}

// busyPerSlot returns the mean number of requests for each slot, in thousandths.
func (c *chooser) busyPerSlot(m *registry.Member) int {
	return c.fleet.Sidecars[m.Address.Host].Load.Busy / max(1, m.Slots)
}

// overflow returns an upstream with a free slot, of another service that the
// route allows, when requests wait even at m, the best one of its own service.
// Weights share flows out as long as each service keeps up; beyond that a caller
// is better served anywhere than late. It returns nil when the flow is to stay.
func (c *chooser) overflow(route *registry.Route, m *registry.Member, exclude func(registry.Host) bool) *registry.Member {
	if len(route.Targets) < 2 || !c.placing.comparesLoad() || c.queueLength(m) < crowdedQueueLength {
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
		if free := c.choose(pool, exclude); free != nil && c.queueLength(free) < 0 {
			return free
		}
	}
	return nil
}

// chooseOpening returns the upstream to pass a new flow on to, or nil. pool may be nil.
func (c *chooser) chooseOpening(pool *registry.Pool, exclude func(registry.Host) bool) *registry.Member {
	if pool == nil {
		return nil
	}
	if m := c.choose(pool, exclude); m != nil {
		return m
	}
	return c.chooseWithoutHeartbeat(pool, exclude)
}

// The classes of upstreams in a walk: those without a bit go first.
const (
	rankFar         = 1 << 61 // of another data centre
	rankNoHeartbeat = 1 << 62 // whose sidecar was never heard, so that a packet may be lost there
	rankRemoved     = 1 << 63 // that the list does not have any more
)

// nextInPool returns the next upstream to ask for a flow that nobody remembers, each
// class in the flow's own order. Sidecars that fell silent are left out. It
// returns nil when all were asked.
func (c *chooser) nextInPool(p *registry.Pool, exclude func(registry.Host) bool) *registry.Member {
	return c.nextMember(p, func(m *registry.Member) bool { return exclude(m.Address.Host) })
}

func (c *chooser) nextMember(p *registry.Pool, exclude func(*registry.Member) bool) *registry.Member {
	var best *registry.Member
	var bestRank uint64
	for i := range p.Members {
		m := &p.Members[i]
		host := m.Address.Host
		if exclude(m) || c.fleet.silent(c.now, host) {
			continue
		}
		r := rank(c.hash, host) >> 3
		if m.DataCentre != c.dataCentre {
			r |= rankFar
		}
		if !c.fleet.alive(c.now, host) {
			r |= rankNoHeartbeat
		}
		if m.Standing == registry.Removed {
			r |= rankRemoved
		}
		if best == nil || r < bestRank {
			best, bestRank = m, r
		}
	}
	return best
}

// nextInPools is walk over the pools of several services, one after the other.
func (c *chooser) nextInPools(pools []*registry.Pool, exclude func(registry.Host) bool) *registry.Member {
	for _, p := range pools {
		if m := c.nextInPool(p, exclude); m != nil {
			return m
		}
	}
	return nil
}

// nextHost returns the next upstream of a data centre to ask for a flow that nobody
// remembers: those of a service first, then all others, since a newer version
// may have taken the service out of the route, and at last those that the list lacks.
func (c *chooser) nextHost(service registry.ServiceHash, dataCentre string, exclude func(registry.Host) bool) (h registry.Host, found bool) {
	excludeMember := func(m *registry.Member) bool { return m.DataCentre != dataCentre || exclude(m.Address.Host) }
	if pool := c.fleet.Snapshot.Pool(service); pool != nil {
		if m := c.nextMember(pool, excludeMember); m != nil {
			return m.Address.Host, true
		}
	}
	for _, p := range c.fleet.Snapshot.Pools() {
		if m := c.nextMember(p, excludeMember); m != nil {
			return m.Address.Host, true
		}
	}
	return c.fleet.firstUnlisted(dataCentre, exclude)
}

// chooseWithoutHeartbeat returns an upstream when none takes new flows for sure: one that is
// not known to be leaving, and whose sidecar was never heard. That sidecar
// passes the flow on if it must.
func (c *chooser) chooseWithoutHeartbeat(p *registry.Pool, exclude func(registry.Host) bool) *registry.Member {
	return c.firstByHash(p, func(h registry.Host) bool {
		_, known := c.fleet.Sidecars[h]
		return known || exclude(h)
	})
}

// firstByHash returns the upstream that is not known to be leaving and goes first for the flow, or nil.
func (c *chooser) firstByHash(p *registry.Pool, exclude func(registry.Host) bool) *registry.Member {
	var best *registry.Member
	for i := range p.Members {
		m := &p.Members[i]
		if m.Standing != registry.Available || exclude(m.Address.Host) {
			continue
		}
		if best == nil || rank(c.hash, m.Address.Host) < rank(c.hash, best.Address.Host) {
			best = m
		}
	}
	return best
}
