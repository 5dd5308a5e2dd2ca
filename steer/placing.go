package steer

import "github.com/corianderbay/corianderbay/registry"

// Placing is how the upstream of a new flow is chosen. Those that are not loads
// are for comparisons; none of them passes an opening on to spare an upstream.
type Placing string

// The ways to choose. The zero value stands for PlaceByLoad.
const (
	// PlaceByLoad compares the loads of upstreams, near ones first.
	PlaceByLoad Placing = "load"
	// PlaceByHash takes the near upstream that goes first for the flow's hash.
	PlaceByHash Placing = "hash"
	// PlaceByTwoChoices takes, of the two near upstreams that go first for the flow's
	// hash, the one that this balancer gave fewer flows.
	PlaceByTwoChoices Placing = "two"
)

// Placings returns the names of all ways to choose.
func Placings() []string {
	return []string{string(PlaceByLoad), string(PlaceByHash), string(PlaceByTwoChoices)}
}

// comparesLoad reports whether loads are compared.
func (p Placing) comparesLoad() bool {
	return p == "" || p == PlaceByLoad
}

// chooseWithoutLoad returns the upstream for a new flow without a look at loads, or
// nil. It goes to other data centres only when no near one takes flows.
func (c *chooser) chooseWithoutLoad(p *registry.Pool, exclude func(registry.Host) bool) *registry.Member {
	if m := c.firstOrLeastPlaced(p, exclude, true); m != nil {
		return m
	}
	return c.firstOrLeastPlaced(p, exclude, false)
}

// firstOrLeastPlaced returns the choice among the upstreams that are near, or among those that are not.
func (c *chooser) firstOrLeastPlaced(p *registry.Pool, exclude func(registry.Host) bool, near bool) *registry.Member {
	var first, second candidate
	for i := range p.Members {
		m := &p.Members[i]
		if exclude(m.Address.Host) || !c.fleet.acceptsNewFlows(c.now, m) || (m.DataCentre == c.dataCentre) != near {
			continue
		}
		n := candidate{member: m, rank: rank(c.hash, m.Address.Host)}
		if first.member == nil || n.rank < first.rank {
			first, second = n, first
		} else if second.member == nil || n.rank < second.rank {
			second = n
		}
	}
	if c.placing == PlaceByTwoChoices && second.member != nil && c.totalPlaced(second.member.Address.Host) < c.totalPlaced(first.member.Address.Host) {
		return second.member
	}
	return first.member
}
