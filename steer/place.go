package steer

import (
	"time"

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
	// crowded is the mean number of requests for each slot, in thousandths, from
	// which upstreams of other data centres are considered.
	crowded = 900
	// farMargin is by how much, in thousandths of a slot, an upstream of another
	// data centre must be less busy.
	farMargin = 300
)

// chooser compares the upstreams of a pool for one new flow.
type chooser struct {
	fleet      *Fleet
	now        time.Duration
	hash       uint64
	dataCentre string
	// pending returns how many flows were placed on a host since its sidecar last told its load.
	pending func(registry.Host) int
}

// choice is the best upstream so far.
type choice struct {
	member *registry.Member // nil when there is none
	cost   int
	busy   int // thousandths of a slot
	rank   uint64
}

// choose returns the upstream for a new flow, or nil. skip leaves hosts out.
func (c *chooser) choose(p *registry.Pool, skip func(registry.Host) bool) *registry.Member {
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
	switch {
	case near.member == nil:
		return far.member
	case far.member != nil && near.busy >= crowded && far.busy+farMargin <= near.busy:
		return far.member
	}
	return near.member
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

// offer replaces the best upstream when m is better.
func (c *chooser) offer(best *choice, m *registry.Member) {
	n := choice{member: m, cost: c.cost(m), busy: c.busy(m), rank: rank(c.hash, m.Address.Host)}
	if best.member == nil || n.cost < best.cost || n.cost == best.cost && n.rank < best.rank {
		*best = n
	}
}

// cost returns the load of an upstream in flows for each slot, in thousandths.
func (c *chooser) cost(m *registry.Member) int {
	host := m.Address.Host
	load := c.fleet.Sidecars[host].Load
	flows := load.Flows + c.pending(host) + waitingWeight*max(0, load.Active-m.Slots)
	if m.Warmup > 0 {
		flows += warmupFlows
	}
	if load.Refusing {
		flows += refusingFlows
	}
	return 1000 * flows / max(1, m.Slots)
}

// busy returns the mean number of requests for each slot, in thousandths.
func (c *chooser) busy(m *registry.Member) int {
	return c.fleet.Sidecars[m.Address.Host].Load.Busy / max(1, m.Slots)
}

// walk returns the next upstream to ask for a flow that nobody remembers: the
// near ones first, each in the flow's own order, and removed ones last. Sidecars that fell silent are
// left out. It returns nil when all were asked.
func (c *chooser) walk(p *registry.Pool, skip func(registry.Host) bool) *registry.Member {
	var best *registry.Member
	var bestRank uint64
	for i := range p.Members {
		m := &p.Members[i]
		host := m.Address.Host
		if skip(host) || c.fleet.silent(c.now, host) {
			continue
		}
		r := rank(c.hash, host) >> 2
		if m.DataCentre != c.dataCentre {
			r |= 1 << 62
		}
		if m.Standing == registry.Removed {
			r |= 1 << 63
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
