// Package route maps flows to services and ordered candidate upstreams, from the
// content of one bundle, and checks the access rules of the service. The result
// is deterministic: processes with the same bundle compute the same candidates.
//
// It uses no sockets, clock or global random source. Start with NewView,
// View.Classify and View.Candidates.
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

// View is the routing data of one bundle. It is immutable and safe for concurrent use.
type View struct {
	version         uint64
	services        []*Service // in bundle order
	byName          map[string]*Service
	byID            map[bundle.ServiceID]*Service
	byAddr          map[flow.Destination]addressServices
	callerPrefixes  *bart.Table[int] // caller prefix to index of the nearest data centre
	dataCentreNames []string         // by index
	distances       [][]int          // distances[a][b] is the rank of data centre b for callers near data centre a
}

// addressServices holds the current and the former service of an address.
type addressServices struct {
	service *Service // never nil
	former  *Service // the service that the address belonged to before, or nil
}

// NewView returns the view of a validated bundle.
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

// Version returns the sequence number of the bundle.
func (v *View) Version() uint64 {
	return v.version
}

// Services returns the services in bundle order. The caller must not modify the slice.
func (v *View) Services() []*Service {
	return v.services
}

// Service returns the service with the ID, or nil.
func (v *View) Service(id bundle.ServiceID) *Service {
	return v.byID[id]
}

// Upstream returns the upstream with the ID and its service; found is false when
// the bundle does not list it.
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

// Match is the result of Classify.
type Match struct {
	// Service is never nil.
	Service *Service
	// Former is the service that the address belonged to before, or nil.
	Former *Service
	// DataCentre is the index of the data centre nearest to the caller, or -1 when
	// no caller prefix matches.
	DataCentre int
}

// Classify returns the service that the key's address belongs to. It returns
// *UnknownAddressError or *DeniedError for a flow whose packets must be dropped. A
// caller that no rule of the service matches is denied.
func (v *View) Classify(k flow.Key) (Match, error) {
	services, ok := v.byAddr[k.Destination()]
	if !ok {
		return Match{}, &UnknownAddressError{Key: k}
	}
	caller := k.Caller().Addr()
	if allowed, ok := services.service.rules.Lookup(caller); !ok || !allowed {
		return Match{}, &DeniedError{Key: k, Service: services.service.name}
	}
	return Match{Service: services.service, Former: services.former, DataCentre: v.dataCentreOf(caller)}, nil
}

// Candidates appends the candidates for the flow in order: the upstreams of the
// service, leaving ones at their rank, then those of the former service, marked
// as leaving. The result holds at most forward.MaxCandidates. It allocates only
// when dst lacks capacity.
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

// Rank combines Classify and Candidates. It appends nothing for a key that Classify
// rejects, and does not return the error.
func (v *View) Rank(dst []forward.Candidate, key flow.Key) []forward.Candidate {
	m, err := v.Classify(key)
	if err != nil {
		return dst
	}
	return v.Candidates(dst, m, key)
}

// linked returns the services that s received an address from or passed one to,
// sorted by ID.
func (v *View) linked(s *Service) []*Service {
	var linked []*Service
	add := func(o *Service) {
		if o != s && !slices.Contains(linked, o) {
			linked = append(linked, o)
		}
	}
	for _, services := range v.byAddr {
		if services.former == nil {
			continue
		}
		if services.service == s {
			add(services.former)
		}
		if services.former == s {
			add(services.service)
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

// distancesFrom returns the distances of all data centres from the given one, or
// nil when the index is -1 and all rank equally.
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

// computeDistances ranks all data centres by distance from the one at index from:
// first itself, then its near list, then its region, then the others. Data centres
// of the last two groups are ordered by name.
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

// otherNames returns the sorted names of the other data centres: those in the same
// region when sameRegion is true, otherwise those outside it.
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
