package bundle

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// CarryConfig says what Carry may let go. The zero value lets nothing go.
type CarryConfig struct {
	// DrainedUpstreams names upstreams that hold no flows any more.
	DrainedUpstreams []string
	// DrainedAddresses names addresses, as Address.String has them, at which no flows
	// of the former service are left.
	DrainedAddresses []string
}

// Carry returns next with all that flows of running still need: upstreams
// that next lacks are kept as leaving, a service that next lacks is kept with
// its leaving upstreams, and an address that moves to another service names
// the former one. An address that next drops altogether is not kept.
//
// An upstream that moves to another service, or to another sidecar address,
// is an error, as the sidecar beside it holds flows of the old one: let it
// leave, and give the new one another name. Carry fails with *CarryError, or
// with *FaultsError when the result is no valid bundle.
func Carry(running, next *Bundle, cfg CarryConfig) (*Bundle, error) {
	c := &carrier{
		running:       running,
		result:        next.clone(),
		cfg:           cfg,
		locations:     upstreamLocations(next),
		addressOwners: addressOwners(next),
	}
	for _, s := range running.Services {
		c.carryService(s)
	}
	c.carryDataCentres()
	c.carryAddresses()
	if len(c.moves) > 0 {
		return nil, &CarryError{Moves: c.moves}
	}
	if err := Check(c.result); err != nil {
		return nil, err
	}
	return c.result, nil
}

// Rollback returns the content of old with the number after running's. It
// keeps running's sign-off policy, so that removed approvers stay removed,
// and carries forward what flows still need. It fails like Carry.
func Rollback(running, old *Bundle, cfg CarryConfig) (*Bundle, error) {
	next := old.clone()
	next.Sequence = running.Sequence + 1
	next.SignOff = running.SignOff
	return Carry(running, next, cfg)
}

// upstreamLocation is where an upstream stands.
type upstreamLocation struct {
	service  string
	upstream Upstream
}

// carrier builds the result of one Carry.
type carrier struct {
	running       *Bundle
	result        *Bundle
	cfg           CarryConfig
	locations     map[string]upstreamLocation // upstreams of the next bundle by name
	addressOwners map[Address]string          // services of the next bundle by address without former
	moves         []error
}

// carryService keeps the upstreams of s that the next bundle lacks.
func (c *carrier) carryService(s Service) {
	for _, p := range s.Places {
		for _, u := range p.Upstreams {
			if c.mustKeep(s.Name, u) {
				u.Leaving = true
				place := c.placeOf(s, p.DataCentre)
				place.Upstreams = append(place.Upstreams, u)
			}
		}
	}
}

// mustKeep returns true for an upstream that must be carried forward. It notes an upstream that moves.
func (c *carrier) mustKeep(service string, u Upstream) bool {
	next, ok := c.locations[u.Name]
	if !ok {
		return !slices.Contains(c.cfg.DrainedUpstreams, u.Name)
	}
	if slices.Contains(c.cfg.DrainedUpstreams, u.Name) {
		return false
	}
	if next.service != service {
		c.moves = append(c.moves, &MoveError{Upstream: u.Name, From: service, To: next.service})
	}
	if next.upstream.Sidecar != u.Sidecar {
		c.moves = append(c.moves, &MoveError{Upstream: u.Name, From: u.Sidecar.String(), To: next.upstream.Sidecar.String()})
	}
	return false
}

// placeOf returns the place of the result in which an upstream of s is kept, and adds what it lacks.
func (c *carrier) placeOf(s Service, centre string) *Place {
	i := slices.IndexFunc(c.result.Services, func(o Service) bool { return o.Name == s.Name })
	if i < 0 {
		kept := s
		kept.Places = nil
		kept.Addresses = slices.DeleteFunc(slices.Clone(s.Addresses), c.ownedInNext)
		c.result.Services = append(c.result.Services, kept)
		i = len(c.result.Services) - 1
	}
	kept := &c.result.Services[i]
	j := slices.IndexFunc(kept.Places, func(p Place) bool { return p.DataCentre == centre })
	if j < 0 {
		kept.Places = append(kept.Places, Place{DataCentre: centre})
		j = len(kept.Places) - 1
	}
	return &kept.Places[j]
}

// ownedInNext returns true for an address that a service of the next bundle holds.
func (c *carrier) ownedInNext(a Address) bool {
	_, ok := c.addressOwners[a.withoutFormer()]
	return ok
}

// carryDataCentres adds the data centres that kept places name, without
// callers, as these belong to data centres of the next bundle.
func (c *carrier) carryDataCentres() {
	known := make(map[string]bool)
	for _, d := range c.result.DataCentres {
		known[d.Name] = true
	}
	for _, s := range c.result.Services {
		for _, p := range s.Places {
			c.carryDataCentre(p.DataCentre, known)
		}
	}
}

func (c *carrier) carryDataCentre(name string, known map[string]bool) {
	if known[name] {
		return
	}
	i := slices.IndexFunc(c.running.DataCentres, func(d DataCentre) bool { return d.Name == name })
	if i < 0 {
		return
	}
	known[name] = true
	c.result.DataCentres = append(c.result.DataCentres, DataCentre{Name: name, Region: c.running.DataCentres[i].Region})
}

// carryAddresses names the former service of every address that moves.
func (c *carrier) carryAddresses() {
	before := make(map[Address]upstreamLocation)
	for _, s := range c.running.Services {
		for _, a := range s.Addresses {
			before[a.withoutFormer()] = upstreamLocation{service: s.Name, upstream: Upstream{Name: a.Former}}
		}
	}
	for i := range c.result.Services {
		s := &c.result.Services[i]
		for j := range s.Addresses {
			a := &s.Addresses[j]
			if previous, ok := before[a.withoutFormer()]; ok && !slices.Contains(c.cfg.DrainedAddresses, a.String()) {
				c.carryAddress(s.Name, a, previous.service, previous.upstream.Name)
			}
		}
	}
}

// carryAddress fills in the former service of an address that holder holds
// now, and that was held before by the service was, which named former.
func (c *carrier) carryAddress(owner string, a *Address, previousOwner, former string) {
	if previousOwner == owner {
		if a.Former == "" && c.hasUpstreams(former) {
			a.Former = former
		}
		return
	}
	if c.hasUpstreams(former) && former != owner {
		c.moves = append(c.moves, &FormerError{Address: a.String(), Former: former, Holder: previousOwner, Next: owner})
		return
	}
	if c.hasUpstreams(previousOwner) {
		a.Former = previousOwner
	}
}

// hasUpstreams returns true when the result has the service with at least one upstream.
func (c *carrier) hasUpstreams(service string) bool {
	i := slices.IndexFunc(c.result.Services, func(s Service) bool { return s.Name == service })
	return i >= 0 && countUpstreams(c.result.Services[i]) > 0
}

func upstreamLocations(b *Bundle) map[string]upstreamLocation {
	return maps.Collect(func(yield func(string, upstreamLocation) bool) {
		for _, s := range b.Services {
			for _, p := range s.Places {
				for _, u := range p.Upstreams {
					if !yield(u.Name, upstreamLocation{service: s.Name, upstream: u}) {
						return
					}
				}
			}
		}
	})
}

func addressOwners(b *Bundle) map[Address]string {
	owners := make(map[Address]string)
	for _, s := range b.Services {
		for _, a := range s.Addresses {
			owners[a.withoutFormer()] = s.Name
		}
	}
	return owners
}

// CarryError holds every reason for which one bundle cannot follow another.
type CarryError struct {
	// Moves has at least one *MoveError or *FormerError.
	Moves []error
}

func (e *CarryError) Error() string {
	lines := make([]string, len(e.Moves))
	for i, m := range e.Moves {
		lines[i] = m.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the reasons, so that errors.As finds each kind.
func (e *CarryError) Unwrap() []error {
	return e.Moves
}

// MoveError reports an upstream that moves to another service or sidecar address without leaving first.
type MoveError struct {
	Upstream string
	// From and To are the services, or the sidecar addresses.
	From, To string
}

func (e *MoveError) Error() string {
	return fmt.Sprintf("upstream %q moves from %s to %s; let it leave first and give the new one another name",
		e.Upstream, e.From, e.To)
}

// FormerError reports an address that moves on while flows of the service before the present one may be left.
type FormerError struct {
	Address string
	// Former held the address before Holder, and Next is to hold it now.
	Former, Holder, Next string
}

func (e *FormerError) Error() string {
	return fmt.Sprintf("%s moves from %s to %s while %s may have flows at it", e.Address, e.Holder, e.Next, e.Former)
}
