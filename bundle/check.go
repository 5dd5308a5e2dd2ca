package bundle

import (
	"net/netip"
	"reflect"
	"strconv"
	"time"
)

const (
	// MaxName is the maximum length of a name in bytes.
	MaxName = 63
	// MaxApprovers is the maximum number of approvers of a sign-off policy.
	MaxApprovers = 32
	// MaxDataCentres is the maximum number of data centres of a bundle.
	MaxDataCentres = 256
	// MaxServices is the maximum number of services of a bundle.
	MaxServices = 16384
	// MaxUpstreams is the maximum number of upstreams of a service in all its
	// places, including those of the former service of one of its addresses,
	// because a packet carries all of them as candidates.
	MaxUpstreams = 32
	// MaxEntries is the maximum number of addresses, rules, objectives or caller
	// prefixes in one list.
	MaxEntries = 4096
)

// Check returns a *FaultsError with all faults of the bundle, or nil. Parse and
// Frozen.Decode apply the same checks.
func Check(b *Bundle) error {
	faults := checkFaults(b)
	if len(faults) == 0 {
		return nil
	}
	return &FaultsError{Faults: faults}
}

func checkFaults(b *Bundle) []Fault {
	c := newChecker(b)
	c.checkRanges(nil, newRangePlan(reflect.TypeFor[Bundle](), "", declarations()), reflect.ValueOf(b).Elem())
	c.signOff("signoff", b.SignOff)
	c.dataCentres("datacentres", b.DataCentres)
	c.serviceList("services", b.Services)
	return c.faults
}

// checkSignOff checks a policy outside of a bundle, such as that of a rotation.
func checkSignOff(s SignOff) error {
	c := newChecker(&Bundle{})
	need := needField()
	c.checkRange(need, reflect.ValueOf(s.Need), func() string { return need.Path })
	c.signOff("signoff", s)
	if len(c.faults) == 0 {
		return nil
	}
	return &FaultsError{Faults: c.faults}
}

func declarations() map[string]Field {
	list := Fields()
	byPath := make(map[string]Field, len(list))
	for _, f := range list {
		byPath[f.Path] = f
	}
	return byPath
}

// checker collects the faults of one bundle. Most of its maps hold the path at
// which a value first occurs.
type checker struct {
	bundle      *Bundle
	faults      []Fault
	names       map[string]string // keys are the path of the list, a newline and the name
	prefixes    map[netip.Prefix]string
	addresses   map[Address]string // keys have no former service
	sidecars    map[netip.AddrPort]string
	services    map[string]int // indices in bundle.Services
	serviceIDs  map[ServiceID]string
	upstreamIDs map[UpstreamID]string
}

func newChecker(b *Bundle) *checker {
	return &checker{
		bundle:      b,
		names:       make(map[string]string),
		prefixes:    make(map[netip.Prefix]string),
		addresses:   make(map[Address]string),
		sidecars:    make(map[netip.AddrPort]string),
		services:    make(map[string]int),
		serviceIDs:  make(map[ServiceID]string),
		upstreamIDs: make(map[UpstreamID]string),
	}
}

func (c *checker) add(f Fault) {
	c.faults = append(c.faults, f)
}

func (c *checker) count(path string, n, limit int) {
	if n > limit {
		c.add(&CountError{Position: Position{Path: path}, Count: n, Max: limit})
	}
}

// name checks that the name is well formed and unique in its list.
func (c *checker) name(list, path, name string) {
	if !validName(name) {
		c.add(&NameError{Position: Position{Path: path}, Name: name})
		return
	}
	c.unique(list, path, name)
}

func (c *checker) unique(list, path, value string) {
	key := list + "\n" + value
	if first, ok := c.names[key]; ok {
		c.add(&DuplicateError{Position: Position{Path: path}, Value: value, First: first})
		return
	}
	c.names[key] = path
}

func (c *checker) choice(path, value string, choices ...string) {
	for _, allowed := range choices {
		if value == allowed {
			return
		}
	}
	c.add(&ChoiceError{Position: Position{Path: path}, Value: value, Choices: choices})
}

func (c *checker) prefix(path string, p netip.Prefix) bool {
	if !p.IsValid() {
		c.add(&MissingError{Position: Position{Path: path}})
		return false
	}
	if p.Addr().Is4In6() {
		c.add(&AddressError{Position: Position{Path: path}, Address: p.String(), Reason: reasonMapped})
		return false
	}
	if p != p.Masked() {
		c.add(&HostBitsError{Position: Position{Path: path}, Prefix: p.String(), Masked: p.Masked().String()})
		return false
	}
	return true
}

func (c *checker) signOff(path string, s SignOff) {
	approvers := joinPath(path, "approvers")
	c.count(approvers, len(s.Approvers), MaxApprovers)
	if len(s.Approvers) == 0 {
		c.add(&MissingError{Position: Position{Path: approvers}})
	}
	needTooHigh := s.Need > len(s.Approvers) && s.Need <= MaxApprovers
	if needTooHigh && len(s.Approvers) > 0 {
		c.add(&RangeError{
			Position: Position{Path: joinPath(path, "need")},
			Value:    strconv.Itoa(s.Need),
			Range:    "1 to " + strconv.Itoa(len(s.Approvers)),
		})
	}
	for i, a := range s.Approvers {
		at := indexPath(approvers, i)
		c.name(approvers, joinPath(at, "name"), a.Name)
		if _, err := a.publicKey(); err != nil {
			c.add(&KeyError{Position: Position{Path: joinPath(at, "key")}, Key: a.Key})
			continue
		}
		c.unique(approvers+".key", joinPath(at, "key"), a.Key)
	}
}

func (c *checker) dataCentres(path string, list []DataCentre) {
	c.count(path, len(list), MaxDataCentres)
	known := make(map[string]bool, len(list))
	for _, d := range list {
		known[d.Name] = true
	}
	for i, d := range list {
		c.dataCentre(path, indexPath(path, i), d, known)
	}
}

func (c *checker) dataCentre(list, path string, d DataCentre, known map[string]bool) {
	c.name(list, joinPath(path, "name"), d.Name)
	if d.Region != "" && !validName(d.Region) {
		c.add(&NameError{Position: Position{Path: joinPath(path, "region")}, Name: d.Region})
	}
	callers := joinPath(path, "callers")
	c.count(callers, len(d.Callers), MaxEntries)
	for i, p := range d.Callers {
		c.callerPrefix(indexPath(callers, i), p)
	}
	near := joinPath(path, "near")
	for i, name := range d.Near {
		at := indexPath(near, i)
		switch {
		case name == d.Name:
			c.add(&SelfReferenceError{Position: Position{Path: at}, Name: name})
		case !known[name]:
			c.add(&UnknownDataCentreError{Position: Position{Path: at}, Name: name})
		default:
			c.unique(near, at, name)
		}
	}
}

// callerPrefix checks a caller prefix of a data centre.
func (c *checker) callerPrefix(path string, p netip.Prefix) {
	if !c.prefix(path, p) {
		return
	}
	if first, ok := c.prefixes[p]; ok {
		c.add(&DuplicatePrefixError{Position: Position{Path: path}, Prefix: p.String(), First: first})
		return
	}
	c.prefixes[p] = path
}

func validName(name string) bool {
	if name == "" || len(name) > MaxName {
		return false
	}
	for _, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && r != '-' && r != '.' && r != '_' {
			return false
		}
	}
	return true
}

// latencyBound checks that only a latency objective has a latency threshold.
func (c *checker) latencyBound(path string, measure string, d time.Duration) {
	latency := measure == MeasureLatency
	if latency && d == 0 {
		c.add(&MissingError{Position: Position{Path: path}})
	}
	if !latency && d != 0 {
		c.add(&RangeError{Position: Position{Path: path}, Value: d.String(), Range: "0s, because only latency objectives have a bound"})
	}
}
