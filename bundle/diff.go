package bundle

import (
	"maps"
	"reflect"
	"slices"
)

// defaultSamples is the number of flows that are ranked per service.
const defaultSamples = 1000

// Rank returns the upstreams of a service in the order in which they are
// candidates for a flow. Equal samples denote the same flow in every bundle.
type Rank func(service string, sample int) []UpstreamID

// DiffConfig sets how Diff ranks flows. The zero value ranks none.
type DiffConfig struct {
	// Old and New rank the flows of the two bundles. If either is nil, no flows
	// are ranked.
	Old, New Rank
	// Samples is the number of flows that are ranked per service. Zero selects
	// 1000.
	Samples int
}

// Change is the difference between two bundles.
type Change struct {
	// From and To are the sequences of the bundles.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// SignOff is true when the sign-off policy differs.
	SignOff bool `json:"signoff"`
	// DataCentres are the names of those that were added, removed or changed.
	DataCentres []string `json:"datacentres,omitempty"`
	// Added and Removed are names of services.
	Added   []string `json:"added,omitempty"`
	Removed []string `json:"removed,omitempty"`
	// Services has one entry for each service that was added, removed or changed,
	// sorted by name.
	Services []ServiceChange `json:"services,omitempty"`
}

// Empty reports whether nothing but the sequence differs.
func (c Change) Empty() bool {
	return !c.SignOff && len(c.DataCentres) == 0 && len(c.Services) == 0
}

// ServiceChange is the difference of one service. Upstreams are listed by name.
type ServiceChange struct {
	Name    string   `json:"name"`
	Added   []string `json:"added,omitempty"`
	Removed []string `json:"removed,omitempty"`
	// Leaving are the upstreams that no longer receive new flows, and Returned
	// those that receive them again.
	Leaving  []string       `json:"leaving,omitempty"`
	Returned []string       `json:"returned,omitempty"`
	Weights  []WeightChange `json:"weights,omitempty"`
	// Gained and Lost are the added and the removed addresses.
	Gained []string `json:"gained,omitempty"`
	Lost   []string `json:"lost,omitempty"`
	// Settings is true when anything else differs, such as rules or limits.
	Settings bool `json:"settings"`
	// Moved is the number of flows, out of Sampled, whose first candidate changes.
	Moved   int `json:"moved"`
	Sampled int `json:"sampled"`
}

// WeightChange is a change of the effective weight of an upstream.
type WeightChange struct {
	Upstream string `json:"upstream"`
	Old      int    `json:"old"`
	New      int    `json:"new"`
}

// Diff returns the changes from one bundle to another.
func Diff(from, to *Bundle, cfg DiffConfig) Change {
	c := Change{
		From:        from.Sequence,
		To:          to.Sequence,
		SignOff:     !equalEncoded(from.SignOff, to.SignOff),
		DataCentres: changedDataCentres(from.DataCentres, to.DataCentres),
	}
	before := servicesByName(from)
	after := servicesByName(to)
	c.Added = missingFrom(after, before)
	c.Removed = missingFrom(before, after)
	names := make(map[string]bool)
	for name := range before {
		names[name] = true
	}
	for name := range after {
		names[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if equalEncoded(before[name], after[name]) {
			continue
		}
		s := diffService(name, before[name], after[name])
		s.Moved, s.Sampled = cfg.moved(name)
		c.Services = append(c.Services, s)
	}
	return c
}

// moved returns the number of sampled flows of a service whose first candidate
// changes, and the number of all that were sampled.
func (cfg DiffConfig) moved(service string) (moved, sampled int) {
	if cfg.Old == nil || cfg.New == nil {
		return 0, 0
	}
	samples := cfg.Samples
	if samples == 0 {
		samples = defaultSamples
	}
	for i := range samples {
		before, after := cfg.Old(service, i), cfg.New(service, i)
		if len(before) == 0 || len(after) == 0 {
			continue
		}
		sampled++
		if before[0] != after[0] {
			moved++
		}
	}
	return moved, sampled
}

func diffService(name string, before, after Service) ServiceChange {
	c := ServiceChange{Name: name}
	old, updated := upstreamsByName(before), upstreamsByName(after)
	c.Added = missingFrom(updated, old)
	c.Removed = missingFrom(old, updated)
	for _, upstream := range slices.Sorted(maps.Keys(updated)) {
		u, ok := old[upstream]
		if ok {
			c.diffUpstream(u, updated[upstream])
		}
	}
	oldAddresses, newAddresses := addressSet(before), addressSet(after)
	c.Gained = missingFrom(newAddresses, oldAddresses)
	c.Lost = missingFrom(oldAddresses, newAddresses)
	before.Addresses, after.Addresses = nil, nil
	before.Places, after.Places = nil, nil
	before.Name, after.Name = name, name
	c.Settings = !equalEncoded(before, after)
	return c
}

func (c *ServiceChange) diffUpstream(before, after Upstream) {
	if after.Leaving && !before.Leaving {
		c.Leaving = append(c.Leaving, after.Name)
	}
	if before.Leaving && !after.Leaving {
		c.Returned = append(c.Returned, after.Name)
	}
	if before.EffectiveWeight() != after.EffectiveWeight() {
		c.Weights = append(c.Weights, WeightChange{after.Name, before.EffectiveWeight(), after.EffectiveWeight()})
	}
	before.Leaving, before.Weight = after.Leaving, after.Weight
	if before != after {
		c.Settings = true
	}
}

func changedDataCentres(before, after []DataCentre) []string {
	old, updated := dataCentresByName(before), dataCentresByName(after)
	changed := slices.Concat(missingFrom(old, updated), missingFrom(updated, old))
	for name, d := range updated {
		if o, ok := old[name]; ok && !equalEncoded(o, d) {
			changed = append(changed, name)
		}
	}
	slices.Sort(changed)
	return changed
}

func dataCentresByName(list []DataCentre) map[string]DataCentre {
	byName := make(map[string]DataCentre, len(list))
	for _, d := range list {
		byName[d.Name] = d
	}
	return byName
}

func servicesByName(b *Bundle) map[string]Service {
	byName := make(map[string]Service, len(b.Services))
	for _, s := range b.Services {
		byName[s.Name] = s
	}
	return byName
}

func upstreamsByName(s Service) map[string]Upstream {
	byName := make(map[string]Upstream)
	for _, p := range s.Places {
		for _, u := range p.Upstreams {
			byName[u.Name] = u
		}
	}
	return byName
}

func addressSet(s Service) map[string]bool {
	set := make(map[string]bool)
	for _, a := range s.Addresses {
		set[a.String()] = true
	}
	return set
}

// missingFrom returns the sorted keys of a that are missing from b.
func missingFrom[V any](a, b map[string]V) []string {
	var keys []string
	for k := range a {
		if _, ok := b[k]; !ok {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

// equalEncoded reports whether two values of one type have equal encodings, in
// which an empty list equals an absent one.
func equalEncoded(a, b any) bool {
	x, errX := hashEncoded("value", a)
	y, errY := hashEncoded("value", b)
	if errX != nil || errY != nil {
		return reflect.DeepEqual(a, b)
	}
	return x == y
}
