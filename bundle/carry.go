package bundle

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// CarryConfig sets what Carry may drop. The zero value keeps everything.
type CarryConfig struct {
	// DrainedUpstreams are the names of upstreams that have no flows left.
	DrainedUpstreams []string
	// DrainedAddresses are the addresses, in the form of Address.String, at which
	// the former service has no flows left.
	DrainedAddresses []string
}

// Carry returns next extended by everything that flows of running still need.
// Upstreams that next lacks are kept as leaving, a service that next lacks is
// kept with its leaving upstreams, and an address that moves to another service
// records the former one. An address that no service of next has is not kept.
//
// An upstream that moves to another service or to another sidecar address is an
// error, because its sidecar has flows of the old one. Instead, the old upstream
// must be drained and the new one needs another name. Carry fails with
// *CarryError, or with *FaultsError when the result is not a valid bundle.
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

// Rollback returns the content of old with the sequence that follows that of
// running. It keeps the sign-off policy of running, so that removed approvers
// stay removed, and everything that flows still need, as Carry does. It fails
// with the errors of Carry.
func Rollback(running, old *Bundle, cfg CarryConfig) (*Bundle, error) {
	next := old.clone()
	next.Sequence = running.Sequence + 1
	next.SignOff = running.SignOff
	return Carry(running, next, cfg)
}

// upstreamLocation is an upstream with the service that contains it.
type upstreamLocation struct {
	service  string
	upstream Upstream
}

// carrier builds the result of one Carry.
type carrier struct {
	running       *Bundle
	result        *Bundle
	cfg           CarryConfig
	locations     map[string]upstreamLocation // of the upstreams of the next bundle, by name
	addressOwners map[Address]string          // service names of the next bundle, by address without former service
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

// mustKeep reports whether an upstream must be kept as leaving. It adds an error
// to moves for an upstream that moves.
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

// placeOf returns the place of the result in which upstreams of s are kept. It
// adds the service and the place when they are missing.
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

// ownedInNext reports whether a service of the next bundle has the address.
func (c *carrier) ownedInNext(a Address) bool {
	_, ok := c.addressOwners[a.withoutFormer()]
	return ok
}

// carryDataCentres adds the data centres of kept places that the next bundle
// lacks. It omits their callers, because the next bundle assigns those.
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

// carryAddresses records the former service of every address that moves.
func (c *carrier) carryAddresses() {
	// The upstream name of a location holds the former service of the address.
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

// carryAddress sets the former service of an address of the service owner. In
// the running bundle the address belonged to previousOwner and had the former
// service former.
func (c *carrier) carryAddress(owner string, a *Address, previousOwner, former string) {
	if previousOwner == owner {
		if a.Former == "" && c.hasUpstreams(former) {
			a.Former = former
		}
		return
	}
	if c.hasUpstreams(former) && former != owner {
		c.moves = append(c.moves, &FormerError{Address: a.String(), Former: former, Owner: previousOwner, Next: owner})
		return
	}
	if c.hasUpstreams(previousOwner) {
		a.Former = previousOwner
	}
}

// hasUpstreams reports whether the result contains the service with at least one
// upstream.
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

// CarryError holds all reasons why one bundle cannot follow another.
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

// Unwrap returns the reasons for use by errors.As.
func (e *CarryError) Unwrap() []error {
	return e.Moves
}

// MoveError reports an upstream that moves to another service or sidecar address
// without being drained first.
type MoveError struct {
	Upstream string
	// From and To are the services, or the sidecar addresses.
	From, To string
}

func (e *MoveError) Error() string {
	return fmt.Sprintf("upstream %q moves from %s to %s; drain it first and give the new one another name",
		e.Upstream, e.From, e.To)
}

// FormerError reports an address that moves again while its former service may
// still have flows.
type FormerError struct {
	Address string
	// Former is the service that had the address before Owner. Next is the
	// service that has it in the next bundle.
	Former, Owner, Next string
}

func (e *FormerError) Error() string {
	return fmt.Sprintf("%s moves from %s to %s while %s may still have flows at it", e.Address, e.Owner, e.Next, e.Former)
}
