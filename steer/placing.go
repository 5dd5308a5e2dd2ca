package steer

import "github.com/corianderbay/corianderbay/registry"

// Placing selects how the upstream of a new flow is chosen. PlaceByHash and
// PlaceByTwoChoices are for comparisons; with them, sidecars do not pass an opening on to
// relieve an upstream.
type Placing string

// The placing methods. The zero value selects PlaceByLoad.
const (
	// PlaceByLoad compares the loads of upstreams and prefers near ones.
	PlaceByLoad Placing = "load"
	// PlaceByHash uses the near upstream that comes first in the order of the flow's
	// hash.
	PlaceByHash Placing = "hash"
	// PlaceByTwoChoices uses, of the first two near upstreams in the order of the
	// flow's hash, the one that this balancer has placed fewer flows on.
	PlaceByTwoChoices Placing = "two"
	// PlaceByTime uses an upstream with an early expected completion of the flow's first
	// request, from the work queued there and the time that each request takes. Where
	// upstreams are alike, it chooses as PlaceByLoad does.
	PlaceByTime Placing = "time"
)

// Placings returns the names of all placing methods.
func Placings() []string {
	return []string{string(PlaceByLoad), string(PlaceByHash), string(PlaceByTwoChoices), string(PlaceByTime)}
}

// comparesLoad reports whether the method compares loads.
func (p Placing) comparesLoad() bool {
	return p == "" || p == PlaceByLoad || p == PlaceByTime
}

// chooseWithoutLoad returns the upstream for a new flow without regard to loads, or
// nil. It uses another data centre only when no near upstream accepts flows.
func (c *chooser) chooseWithoutLoad(p *registry.Pool, exclude func(registry.Host) bool) *registry.Member {
	if m := c.firstOrLeastPlaced(p, exclude, true); m != nil {
		return m
	}
	return c.firstOrLeastPlaced(p, exclude, false)
}

// firstOrLeastPlaced applies the placing method to the upstreams of the own data centre
// if near is true, and to all others if not.
func (c *chooser) firstOrLeastPlaced(p *registry.Pool, exclude func(registry.Host) bool, near bool) *registry.Member {
	var first, second candidate
	for i := range p.Members {
		m := &p.Members[i]
		if exclude(m.Address.Host) || !c.accepts(m) || (m.DataCentre == c.policy.dataCentre) != near {
			continue
		}
		n := candidate{member: m, rank: rank(c.hash, m.Address.Host)}
		if first.member == nil || n.rank < first.rank {
			first, second = n, first
		} else if second.member == nil || n.rank < second.rank {
			second = n
		}
	}
	if c.policy.placing == PlaceByTwoChoices && second.member != nil && c.policy.totalPlacedOn(second.member.Address.Host) < c.policy.totalPlacedOn(first.member.Address.Host) {
		return second.member
	}
	return first.member
}
