package steer

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
)

const (
	// waitingWeight is the number of open flows that one queued request counts for.
	// Flows are idle most of the time, while a queued request delays others
	// immediately.
	waitingWeight = 4
	// warmupFlows is added to the flows of an upstream that is warming up.
	warmupFlows = 6
	// refusingFlows is added to the flows of an upstream that returns openings.
	refusingFlows = 64
	// crowdedBusyMilli is the mean number of requests per slot, in thousandths, from
	// which upstreams of other data centres are considered.
	crowdedBusyMilli = 900
	// farMarginMilli is how much less busy such an upstream must be, in thousandths of
	// a request per slot.
	farMarginMilli = 300
	// crowdedQueueLength is the number of queued requests, beyond the slots of an
	// upstream, from which another one is considered: waiting for them takes longer
	// than the round trip to another data centre.
	crowdedQueueLength = 4
)

// chooser compares the upstreams of a pool for one new flow, and orders them for
// searches.
type chooser struct {
	policy *policy
	fleet  *Fleet
	now    time.Duration
	hash   uint64
	route  *registry.Route // nil when the packet's address has none
	// balancers is the number of flows that all balancers of the data centre are assumed
	// to have placed for each flow that this one placed.
	balancers float64
	paces     *paces // valid for PlaceByTime
	// origin is the position in the order of a search after which the next upstream is
	// chosen; 0 in a balancer.
	origin uint64
	local  bool // whether flows stay in the data centre while it overflows
	// regionOf is a data centre in whose region the flow stays; empty permits all regions.
	regionOf string
}

// candidate is an upstream with its rating for a new flow.
type candidate struct {
	member *registry.Member // nil when there is none
	// failing is true when the upstream is failing. Such an upstream is used only when
	// there is no other.
	failing bool
	cost    float64
	rank    uint64
}

// better reports whether n is preferred to o.
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

// choose returns the upstream for a new flow, or nil.
func (c *chooser) choose(p *registry.Pool, exclude func(registry.Host) bool) *registry.Member {
	if !c.policy.placing.comparesLoad() {
		return c.chooseWithoutLoad(p, exclude)
	}
	near, far := c.nearAndFar(p, exclude)
	if near.member == nil || far.member != nil && c.prefersFar(&far, &near) {
		return far.member
	}
	return near.member
}

// nearAndFar returns the best upstreams of the own data centre and of others.
func (c *chooser) nearAndFar(p *registry.Pool, exclude func(registry.Host) bool) (near, far candidate) {
	if c.policy.placing == PlaceByTime && !c.paces.service(p.Hash).alike {
		return c.chooseByTime(p, exclude)
	}
	for i := range p.Members {
		m := &p.Members[i]
		if exclude(m.Address.Host) || !c.accepts(m) {
			continue
		}
		if m.DataCentre == c.policy.dataCentre {
			c.consider(&near, m)
		} else {
			c.consider(&far, m)
		}
	}
	return near, far
}

// accepts reports whether a new flow may be opened at the upstream.
func (c *chooser) accepts(m *registry.Member) bool {
	return c.fleet.acceptsNewFlows(c.now, m) && c.permits(m.DataCentre)
}

// permits reports whether the flow may reach upstreams of a data centre.
func (c *chooser) permits(dataCentre string) bool {
	if c.regionOf != "" && !c.fleet.sameRegion(c.regionOf, dataCentre) {
		return false
	}
	return c.fleet.permits(c.route, dataCentre)
}

// prefersFar reports whether a new flow goes to an upstream of another data centre: the
// best near one is failing and this one is not, or the near one is crowded and this one
// is clearly less busy.
func (c *chooser) prefersFar(far, near *candidate) bool {
	if near.failing != far.failing {
		return near.failing
	}
	f, n := far.member, near.member
	if c.policy.placing == PlaceByTime && !c.paces.service(registry.HashService(n.Service)).alike {
		return false // the overflow decides
	}
	if c.busyPerSlot(n) >= crowdedBusyMilli && c.busyPerSlot(f)+farMarginMilli <= c.busyPerSlot(n) {
		return true
	}
	return c.queueLength(n) >= crowdedQueueLength && c.queueLength(f)+crowdedQueueLength <= c.queueLength(n)
}

// consider replaces the best candidate by m when m is better.
func (c *chooser) consider(best *candidate, m *registry.Member) {
	host := m.Address.Host
	n := candidate{member: m, failing: c.fleet.Sidecars[host].Load.Failing, cost: c.cost(m), rank: rank(c.hash, host)}
	if n.better(best) {
		*best = n
	}
}

// cost returns the estimated load of an upstream in flows per slot, including
// penalties; for PlaceByTime, its expected completion.
func (c *chooser) cost(m *registry.Member) float64 {
	i := c.fleet.Sidecars[m.Address.Host]
	flows := c.policy.estimate(c.now, m.Address.Host, reportedLoad(i.Load, m), i.LastSeen, c.balancers)
	if m.Warmup > 0 && c.policy.placing != PlaceByTime {
		flows += warmupFlows
	}
	if c.coldRateReached(m) {
		flows += refusingFlows
	}
	if i.Load.Refusing {
		flows += refusingFlows
	}
	if c.policy.placing == PlaceByTime {
		return c.completion(m, c.paces.service(registry.HashService(m.Service)), flows)
	}
	return flows / float64(max(1, m.Slots))
}

// coldRateReached reports whether the upstream is cold and gets as many new flows as its
// service's rate permits, so that its sidecar would pass further ones on.
func (c *chooser) coldRateReached(m *registry.Member) bool {
	if m.Warmup == 0 {
		return false
	}
	rate := c.fleet.Snapshot.Service(m.Service).ColdRate
	return rate > 0 && c.policy.placedOn(c.now, m.Address.Host, c.balancers) >= rate
}

// reportedLoad returns the load of an upstream, in flows, from the last report of its
// sidecar.
func reportedLoad(l membership.Load, m *registry.Member) int {
	return l.Flows + waitingWeight*max(0, l.Active-m.Slots)
}

// queueLength returns the number of requests beyond the slots of an upstream; it is
// negative when slots are free. Each new flow counts as one request.
func (c *chooser) queueLength(m *registry.Member) int {
	host := m.Address.Host
	return c.fleet.Sidecars[host].Load.Active + c.policy.unreportedOn(host) - m.Slots
}

// busyPerSlot returns the mean number of requests per slot in thousandths.
func (c *chooser) busyPerSlot(m *registry.Member) int {
	return c.fleet.Sidecars[m.Address.Host].Load.Busy / max(1, m.Slots)
}

// overflow returns an upstream with a free slot, of another service of the route, when
// requests are queued even at m, the best upstream of the selected service. Weights
// divide flows between services as long as each one keeps up; beyond that, using
// another service is better than answering late. It returns nil when the flow stays.
func (c *chooser) overflow(route *registry.Route, m *registry.Member, exclude func(registry.Host) bool) *registry.Member {
	if len(route.Targets) < 2 || !c.policy.placing.comparesLoad() || c.queueLength(m) < crowdedQueueLength {
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

// chooseOpening returns the upstream to offer an opening to, or nil. pool may be nil.
func (c *chooser) chooseOpening(pool *registry.Pool, exclude func(registry.Host) bool) *registry.Member {
	if pool == nil {
		return nil
	}
	if m := c.choose(pool, exclude); m != nil {
		return m
	}
	return c.chooseWithoutHeartbeat(pool, exclude)
}

// Bits that order the upstreams of a search by class, in front of their hash. Upstreams
// without a bit come first.
const (
	rankBits = 60 // of the hash

	rankFar         = 1 << 60 // in another data centre
	rankSilent      = 1 << 61 // the upstream does not react, so that a packet may end there
	rankNoHeartbeat = 1 << 62 // no heartbeat of the sidecar was ever received, so that a packet may be lost there
	rankRemoved     = 1 << 63 // no longer in the upstream list
)

// nextReachable returns the next upstream of a pool to offer a packet of an unknown flow
// to, or nil. Only upstreams with reachable sidecars are returned.
func (c *chooser) nextReachable(p *registry.Pool, exclude func(*registry.Member) bool) *registry.Member {
	return c.nextMember(p, func(m *registry.Member) bool {
		return exclude(m) || !c.reachable(m)
	})
}

// nextUnreachable is nextReachable for upstreams whose sidecars are neither reachable nor
// lost.
func (c *chooser) nextUnreachable(p *registry.Pool, exclude func(*registry.Member) bool) *registry.Member {
	return c.nextMember(p, func(m *registry.Member) bool {
		return exclude(m) || c.reachable(m) || c.fleet.lostMember(c.now, m)
	})
}

// reachable reports whether a packet for the upstream is likely to arrive. The sidecar of
// a removed upstream whose heartbeats are unknown has probably ended.
func (c *chooser) reachable(m *registry.Member) bool {
	_, known := c.fleet.Sidecars[m.Address.Host]
	return !c.fleet.silent(c.now, m.Address.Host) && (known || m.Status != registry.Removed)
}

// nextMember returns the first upstream of a pool in the order of a search, or nil.
// Within a class, upstreams are ordered by the hash of the flow, from c.origin on.
func (c *chooser) nextMember(p *registry.Pool, exclude func(*registry.Member) bool) *registry.Member {
	var best *registry.Member
	var bestRank uint64
	for i := range p.Members {
		m := &p.Members[i]
		if exclude(m) || !c.permits(m.DataCentre) {
			continue
		}
		if r := c.searchRank(m); best == nil || r < bestRank {
			best, bestRank = m, r
		}
	}
	return best
}

// searchRank returns the place of an upstream in the order of a search.
func (c *chooser) searchRank(m *registry.Member) uint64 {
	host := m.Address.Host
	r := (searchPosition(c.hash, host) - c.origin) & (1<<rankBits - 1)
	if m.DataCentre != c.policy.dataCentre {
		r |= rankFar
	}
	if c.fleet.Sidecars[host].Load.Silent {
		r |= rankSilent
	}
	if !c.fleet.alive(c.now, host) {
		r |= rankNoHeartbeat
	}
	if m.Status == registry.Removed {
		r |= rankRemoved
	}
	return r
}

// searchPosition returns the position of a host in the circular order of a search.
func searchPosition(hash uint64, h registry.Host) uint64 {
	return rank(hash, h) >> (64 - rankBits)
}

// nextHost returns the next host of a data centre to offer a packet of an unknown flow
// to: upstreams of the service first, then all others, since a newer version of the
// routes may have removed the service from the route, and then unlisted ones. When no
// reachable one is left, it returns one that is neither reachable nor lost, and
// reachable is false.
func (c *chooser) nextHost(service registry.ServiceHash, dataCentre string, exclude func(registry.Host) bool) (h registry.Host, reachable, found bool) {
	excludeMember := func(m *registry.Member) bool { return m.DataCentre != dataCentre || exclude(m.Address.Host) }
	if m := c.firstInPools(service, excludeMember, c.nextReachable); m != nil {
		return m.Address.Host, true, true
	}
	if h, found := c.fleet.firstUnlisted(c.route, dataCentre, exclude); found {
		return h, true, true
	}
	if m := c.firstInPools(service, excludeMember, c.nextUnreachable); m != nil {
		return m.Address.Host, false, true
	}
	return registry.Host{}, false, false
}

// searchOrder returns the hosts of a data centre that are not excluded in the order in
// which nextHost returns them: the reachable and unlisted ones, and those that are neither
// reachable nor lost.
func (c *chooser) searchOrder(service registry.ServiceHash, dataCentre string, exclude func(registry.Host) bool) (hosts, unreachable []registry.Host) {
	var timely, late []ranked
	for _, p := range c.fleet.Snapshot.Pools() {
		for i := range p.Members {
			m := &p.Members[i]
			if m.DataCentre != dataCentre || exclude(m.Address.Host) || !c.permits(m.DataCentre) {
				continue
			}
			r := ranked{host: m.Address.Host, otherService: p.Hash != service, rank: c.searchRank(m)}
			if c.reachable(m) {
				timely = append(timely, r)
			} else if !c.fleet.lostMember(c.now, m) {
				late = append(late, r)
			}
		}
	}
	hosts = sortedHosts(timely)
	for _, h := range c.fleet.Unlisted {
		if at := c.fleet.Sidecars[h].DataCentre; (at == dataCentre || at == "") && !exclude(h) && c.permits(at) {
			hosts = append(hosts, h)
		}
	}
	return hosts, sortedHosts(late)
}

// ranked is an upstream with its place in the order of a search.
type ranked struct {
	host         registry.Host
	otherService bool // it does not serve the service that is searched first
	rank         uint64
}

// compare orders upstreams of the service that is searched first before all others.
func (r ranked) compare(o ranked) int {
	if r.otherService != o.otherService {
		if o.otherService {
			return -1
		}
		return 1
	}
	return cmp.Compare(r.rank, o.rank)
}

// sortedHosts sorts a list and returns its hosts.
func sortedHosts(list []ranked) []registry.Host {
	slices.SortFunc(list, ranked.compare)
	hosts := make([]registry.Host, len(list))
	for i := range list {
		hosts[i] = list[i].host
	}
	return hosts
}

// firstInPools returns the first upstream that next returns for the pool of a service or,
// if there is none, for all pools.
func (c *chooser) firstInPools(service registry.ServiceHash, exclude func(*registry.Member) bool, next func(*registry.Pool, func(*registry.Member) bool) *registry.Member) *registry.Member {
	if pool := c.fleet.Snapshot.Pool(service); pool != nil {
		if m := next(pool, exclude); m != nil {
			return m
		}
	}
	for _, p := range c.fleet.Snapshot.Pools() {
		if m := next(p, exclude); m != nil {
			return m
		}
	}
	return nil
}

// chooseWithoutHeartbeat returns an upstream for a new flow when none is certain to
// accept it: one that is available in the list and whose sidecar has never sent a
// heartbeat. That sidecar passes the flow on if necessary.
func (c *chooser) chooseWithoutHeartbeat(p *registry.Pool, exclude func(registry.Host) bool) *registry.Member {
	return c.firstByHash(p, func(h registry.Host) bool {
		_, known := c.fleet.Sidecars[h]
		return known || exclude(h)
	})
}

// firstByHash returns the available upstream that comes first in the order of the
// flow's hash, or nil.
func (c *chooser) firstByHash(p *registry.Pool, exclude func(registry.Host) bool) *registry.Member {
	var best *registry.Member
	for i := range p.Members {
		m := &p.Members[i]
		if m.Status != registry.Available || exclude(m.Address.Host) || !c.permits(m.DataCentre) {
			continue
		}
		if best == nil || rank(c.hash, m.Address.Host) < rank(c.hash, best.Address.Host) {
			best = m
		}
	}
	return best
}
