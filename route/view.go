// Package route answers, from one bundle, which service a packet is for,
// whether its caller may reach it, and in which order the service's upstreams
// are asked for its flow. Two processes with the same bundle give the same
// answers.
//
// It imports no sockets, no clock and no global randomness. Start with
// NewView, View.Classify and View.Candidates.
package route

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
	"github.com/gaissmai/bart"
)

// View is what one bundle says about routing. It is immutable and safe for concurrent use.
type View struct {
	version         uint64
	services        []*Service // in the order of the bundle
	byName          map[string]*Service
	byID            map[bundle.ServiceID]*Service
	byAddr          map[flow.Destination]addressServices
	callerPrefixes  *bart.Table[int] // caller prefix to index of the nearest data centre
	dataCentreNames []string         // of the data centres
	distances       [][]int          // near[a][b] is the rank of data centre b for callers of data centre a
}

// addressServices are the services that packets to an address may be for.
type addressServices struct {
	service *Service // never nil
	former  *Service // the one that held the address before, or nil
}

// NewView returns the view of a checked bundle.
func NewView(b *bundle.Bundle) *View {
	v := &View{
		version:        b.Sequence,
		byName:         make(map[string]*Service),
		byID:           make(map[bundle.ServiceID]*Service),
		byAddr:         make(map[flow.Destination]addressServices),
		callerPrefixes: new(bart.Table[int]),
	}
	v.addDataCentres(b.DataCentres)
	for i := range b.Services {
		v.addService(&b.Services[i], b.DataCentres)
	}
	for i := range b.Services {
		v.addAddresses(&b.Services[i])
	}
	return v
}

// Version returns the sequence of the bundle.
func (v *View) Version() uint64 {
	return v.version
}

// Services returns the services in the order of the bundle. The caller must not change the slice.
func (v *View) Services() []*Service {
	return v.services
}

// Service returns the service with the identity, or nil.
func (v *View) Service(id bundle.ServiceID) *Service {
	return v.byID[id]
}

// Upstream returns the upstream with the identity and its service; found is false when the bundle has no such upstream.
func (v *View) Upstream(id bundle.UpstreamID) (up bundle.Upstream, svc *Service, found bool) {
	for _, s := range v.services {
		for i := range s.pool {
			if s.pool[i].candidate.Upstream == id {
				return s.pool[i].upstream, s, true
			}
		}
	}
	return bundle.Upstream{}, nil, false
}

// Match is the outcome of Classify.
type Match struct {
	// Service is never nil.
	Service *Service
	// Former is the service that held the address before, or nil.
	Former *Service
	// DataCentre is the index of the data centre nearest to the caller, or -1 when no prefix matches.
	DataCentre int
}

// Classify returns the service that holds the address of the key. It reports
// *UnknownAddressError or *DeniedError; both mean that the packet is dropped.
func (v *View) Classify(k flow.Key) (Match, error) {
	h, ok := v.byAddr[k.Destination()]
	if !ok {
		return Match{}, &UnknownAddressError{Key: k}
	}
	caller := k.Caller().Addr()
	if allowed, ok := h.service.rules.Lookup(caller); !ok || !allowed {
		return Match{}, &DeniedError{Key: k, Service: h.service.name}
	}
	return Match{Service: h.service, Former: h.former, DataCentre: v.dataCentreOf(caller)}, nil
}

// Candidates appends the order in which sidecars are asked for the flow of
// key: the upstreams of the service, leaving ones at their rank, then those of
// the former service as leaving. At most forward.MaxCandidates are returned.
// It allocates only when dst lacks room.
func (v *View) Candidates(dst []forward.Candidate, m Match, key flow.Key) []forward.Candidate {
	hash := key.Hash()
	dst = m.Service.appendRanked(dst, hash, v.distancesFrom(m.DataCentre))
	if m.Former == nil {
		return dst
	}
	ownCount := len(dst)
	dst = m.Former.appendRanked(dst, hash, v.distancesFrom(m.DataCentre))
	for i := ownCount; i < len(dst); i++ {
		dst[i].Leaving = true
	}
	return dst
}

// Rank appends the candidates of a key as Classify and Candidates do, for a
// process that is not the one which admits packets. It appends nothing for a
// key that no service of the bundle serves.
func (v *View) Rank(dst []forward.Candidate, key flow.Key) []forward.Candidate {
	m, err := v.Classify(key)
	if err != nil {
		return dst
	}
	return v.Candidates(dst, m, key)
}

// linked returns the other services that held an address of s before, or that hold one that s held.
func (v *View) linked(s *Service) []*Service {
	var linked []*Service
	add := func(o *Service) {
		if o != s && !slices.Contains(linked, o) {
			linked = append(linked, o)
		}
	}
	for _, h := range v.byAddr {
		if h.former == nil {
			continue
		}
		if h.service == s {
			add(h.former)
		}
		if h.former == s {
			add(h.service)
		}
	}
	slices.SortFunc(linked, func(a, b *Service) int { return cmp.Compare(a.id, b.id) })
	return linked
}

func (v *View) dataCentreOf(caller netip.Addr) int {
	i, ok := v.callerPrefixes.Lookup(caller)
	if !ok {
		return -1
	}
	return i
}

// distancesFrom returns the ranks of the data centres, or nil when all are equal.
func (v *View) distancesFrom(dataCentre int) []int {
	if dataCentre < 0 {
		return nil
	}
	return v.distances[dataCentre]
}

func (v *View) addDataCentres(dcs []bundle.DataCentre) {
	for i, dc := range dcs {
		v.dataCentreNames = append(v.dataCentreNames, dc.Name)
		for _, p := range dc.Callers {
			v.callerPrefixes.Insert(p, i)
		}
	}
	for i := range dcs {
		v.distances = append(v.distances, v.computeDistances(i, dcs))
	}
}

// computeDistances returns the rank of each data centre as seen from the one at index
// from: itself, then its near list, then its region, then the others, by name.
func (v *View) computeDistances(from int, dcs []bundle.DataCentre) []int {
	order := []string{dcs[from].Name}
	order = append(order, dcs[from].Near...)
	order = append(order, otherNames(dcs, from, true)...)
	order = append(order, otherNames(dcs, from, false)...)
	distances := make([]int, len(dcs))
	for i, dc := range dcs {
		distances[i] = slices.Index(order, dc.Name)
	}
	return distances
}

// otherNames returns the names of the other data centres in name order, those of the same region or those outside it.
func otherNames(dcs []bundle.DataCentre, from int, sameRegion bool) []string {
	var names []string
	for i, dc := range dcs {
		same := dc.Region != "" && dc.Region == dcs[from].Region
		if i != from && same == sameRegion {
			names = append(names, dc.Name)
		}
	}
	slices.Sort(names)
	return names
}

func (v *View) addService(b *bundle.Service, dcs []bundle.DataCentre) {
	s := newService(b, dcs)
	v.services = append(v.services, s)
	v.byName[s.name] = s
	v.byID[s.id] = s
}

func (v *View) addAddresses(b *bundle.Service) {
	for _, a := range b.Addresses {
		v.byAddr[addressOf(a)] = addressServices{service: v.byName[b.Name], former: v.byName[a.Former]}
	}
}

func addressOf(a bundle.Address) flow.Destination {
	p := flow.TCP
	if a.Protocol == "udp" {
		p = flow.UDP
	}
	return flow.NewDestination(p, netip.AddrPortFrom(a.IP, a.Port))
}
