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

// weighs reports whether loads are compared.
func (p Placing) weighs() bool {
	return p == "" || p == PlaceByLoad
}

// chooseBlind returns the upstream for a new flow without a look at loads, or
// nil. It goes to other data centres only when no near one takes flows.
func (c *chooser) chooseBlind(p *registry.Pool, skip func(registry.Host) bool) *registry.Member {
	if m := c.firstOf(p, skip, true); m != nil {
		return m
	}
	return c.firstOf(p, skip, false)
}

// firstOf returns the choice among the upstreams that are near, or among those that are not.
func (c *chooser) firstOf(p *registry.Pool, skip func(registry.Host) bool, near bool) *registry.Member {
	var first, second choice
	for i := range p.Members {
		m := &p.Members[i]
		if skip(m.Address.Host) || !c.fleet.opens(c.now, m) || (m.DataCentre == c.dataCentre) != near {
			continue
		}
		n := choice{member: m, rank: rank(c.hash, m.Address.Host)}
		if first.member == nil || n.rank < first.rank {
			first, second = n, first
		} else if second.member == nil || n.rank < second.rank {
			second = n
		}
	}
	if c.placing == PlaceByTwoChoices && second.member != nil && c.given(second.member.Address.Host) < c.given(first.member.Address.Host) {
		return second.member
	}
	return first.member
}
