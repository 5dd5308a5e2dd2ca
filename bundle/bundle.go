// Package bundle holds what operators write: services, the places and
// upstreams behind them, the rules for who may reach what, and who signs off.
//
// A bundle is authored in YAML, checked, frozen into sections with a manifest
// of their hashes, and signed. Start with Bundle and Check.
package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ServiceID names a service on the wire. No two services of a bundle share one.
type ServiceID uint32

// UpstreamID names an upstream on the wire. No two upstreams of a bundle share one.
type UpstreamID uint32

// ServiceIDOf returns the identity that follows from a service's name.
func ServiceIDOf(name string) ServiceID {
	return ServiceID(xxhash.Sum64String("service/" + name))
}

// UpstreamIDOf returns the identity that follows from an upstream's name.
func UpstreamIDOf(name string) UpstreamID {
	return UpstreamID(xxhash.Sum64String("upstream/" + name))
}

// Bundle is one version of all that operators decide. It is immutable once checked.
type Bundle struct {
	// Sequence orders versions; the higher one wins. It is at least 1.
	Sequence uint64 `yaml:"sequence" msgpack:"sequence"`
	// SignOff says who must sign the next bundle.
	SignOff SignOff `yaml:"signoff" msgpack:"signoff"`
	// DataCentres are unique by name.
	DataCentres []DataCentre `yaml:"datacentres,omitempty" msgpack:"datacentres,omitempty"`
	// Services are unique by name, and no two share an address, port and
	// protocol: an address that moves leaves its former service at once.
	Services []Service `yaml:"services,omitempty" msgpack:"services,omitempty"`
}

// WithSequence returns the bundle with another number.
func (b *Bundle) WithSequence(n uint64) *Bundle {
	c := *b
	c.Sequence = n
	return &c
}

// clone returns a copy whose lists down to the upstreams and addresses may be changed.
func (b *Bundle) clone() *Bundle {
	c := *b
	c.DataCentres = slices.Clone(b.DataCentres)
	c.Services = slices.Clone(b.Services)
	for i := range c.Services {
		s := &c.Services[i]
		s.Addresses = slices.Clone(s.Addresses)
		s.Places = slices.Clone(s.Places)
		for j := range s.Places {
			s.Places[j].Upstreams = slices.Clone(s.Places[j].Upstreams)
		}
	}
	return &c
}

// SignOff is the policy for accepting the next bundle.
type SignOff struct {
	// Need is how many approvers must sign, from 1 to the number of approvers.
	Need int `yaml:"need" msgpack:"need"`
	// Approvers are unique by name and by key.
	Approvers []Approver `yaml:"approvers,omitempty" msgpack:"approvers,omitempty"`
}

// Approver is one who may sign bundles.
type Approver struct {
	Name string `yaml:"name" msgpack:"name"`
	// Key is an ed25519 public key in standard base64.
	Key string `yaml:"key" msgpack:"key"`
}

// publicKey returns the decoded key, or *KeyError.
func (a Approver) publicKey() (ed25519.PublicKey, error) {
	b, err := base64.StdEncoding.Strict().DecodeString(a.Key)
	if err != nil || len(b) != ed25519.PublicKeySize {
		return nil, &KeyError{Key: a.Key}
	}
	return b, nil
}

// DataCentre is where processes run.
type DataCentre struct {
	Name string `yaml:"name" msgpack:"name"`
	// Region groups data centres; empty is a region of its own.
	Region string `yaml:"region,omitempty" msgpack:"region,omitempty"`
	// Callers are the prefixes that are nearest to this data centre. No prefix
	// stands in two data centres.
	Callers []netip.Prefix `yaml:"callers,omitempty" msgpack:"callers,omitempty"`
	// Near lists the other data centres, nearest first. The ones left out follow in name order.
	Near []string `yaml:"near,omitempty" msgpack:"near,omitempty"`
}

// Service is what callers reach at one or more addresses.
type Service struct {
	Name      string    `yaml:"name" msgpack:"name"`
	Addresses []Address `yaml:"addresses,omitempty" msgpack:"addresses,omitempty"`
	// Idempotent is true when a request may run more than once without harm.
	Idempotent bool `yaml:"idempotent,omitempty" msgpack:"idempotent,omitempty"`
	// Repeat is how long after its first transmission a caller may still repeat a
	// request, from 0 s to 5 min. Zero selects 10 s.
	Repeat time.Duration `yaml:"repeat,omitempty" msgpack:"repeat,omitempty"`
	// Idle is how long a flow without packets is kept, from 1 s to 24 h. Zero selects 5 min.
	Idle time.Duration `yaml:"idle,omitempty" msgpack:"idle,omitempty"`
	// Rules say which callers may reach the service; the longest matching prefix wins.
	// A caller that no rule matches is denied.
	Rules []Rule `yaml:"rules,omitempty" msgpack:"rules,omitempty"`
	// Limit bounds new flows; the zero value sets no limit.
	Limit Limit `yaml:"limit,omitempty" msgpack:"limit,omitempty"`
	// Objectives are unique by name.
	Objectives []Objective `yaml:"objectives,omitempty" msgpack:"objectives,omitempty"`
	// Places are unique by data centre.
	Places []Place `yaml:"places,omitempty" msgpack:"places,omitempty"`
}

// ID returns the identity of the service on the wire.
func (s Service) ID() ServiceID {
	return ServiceIDOf(s.Name)
}

// Address is where callers reach a service.
type Address struct {
	IP netip.Addr `yaml:"ip" msgpack:"ip"`
	// Port is from 1 to 65535.
	Port uint16 `yaml:"port" msgpack:"port"`
	// Protocol is "tcp" or "udp".
	Protocol string `yaml:"protocol" msgpack:"protocol"`
	// Former names the service that held the address before; its flows stay
	// findable until they end. Empty when the address never moved.
	Former string `yaml:"former,omitempty" msgpack:"former,omitempty"`
}

// String returns the address as "tcp 198.51.100.1:80".
func (a Address) String() string {
	return a.Protocol + " " + netip.AddrPortFrom(a.IP, a.Port).String()
}

// withoutFormer returns the address without its former service, for use as a key.
func (a Address) withoutFormer() Address {
	return Address{IP: a.IP.Unmap(), Port: a.Port, Protocol: a.Protocol}
}

// Rule says whether callers of a prefix may reach a service.
type Rule struct {
	Callers netip.Prefix `yaml:"callers" msgpack:"callers"`
	Allow   bool         `yaml:"allow,omitempty" msgpack:"allow,omitempty"`
}

// Limit bounds the new flows of one service.
type Limit struct {
	// Rate is new flows a second over the whole fleet, from 0 (none set) to 1,000,000.
	Rate float64 `yaml:"rate,omitempty" msgpack:"rate,omitempty"`
	// Prefix is new flows a second for each caller prefix of Bits length, from 0 (none set) to 1,000,000.
	Prefix float64 `yaml:"prefix,omitempty" msgpack:"prefix,omitempty"`
	// Bits is the length of an IPv4 caller prefix that shares one limit, from 0 to 32. Zero selects 24.
	Bits int `yaml:"bits,omitempty" msgpack:"bits,omitempty"`
}

// Objective is a service-level objective.
type Objective struct {
	Name string `yaml:"name" msgpack:"name"`
	// Measure is "flows" (flows not broken), "answers" (whole answers) or "latency" (answers within Within).
	Measure string `yaml:"measure" msgpack:"measure"`
	// Target is the share that must be good, above 0 and below 1.
	Target float64 `yaml:"target" msgpack:"target"`
	// Within is the bound of a latency objective, from 1 ms to 1 h; zero for the others.
	Within time.Duration `yaml:"within,omitempty" msgpack:"within,omitempty"`
}

// Place is a service's pool of upstreams in one data centre.
type Place struct {
	// DataCentre names a data centre of the bundle.
	DataCentre string `yaml:"datacentre" msgpack:"datacentre"`
	// Upstreams are unique by name over the whole bundle.
	Upstreams []Upstream `yaml:"upstreams,omitempty" msgpack:"upstreams,omitempty"`
}

// Upstream is one back end with a sidecar beside it.
type Upstream struct {
	Name string `yaml:"name" msgpack:"name"`
	// Sidecar is where the sidecar beside the upstream receives forwarded packets.
	Sidecar netip.AddrPort `yaml:"sidecar" msgpack:"sidecar"`
	// Weight is the share of new flows, from 1 to 1000. Zero selects 100.
	Weight int `yaml:"weight,omitempty" msgpack:"weight,omitempty"`
	// Slots is how many requests the upstream runs at once, from 1 to 100,000. Zero selects 2.
	Slots int `yaml:"slots,omitempty" msgpack:"slots,omitempty"`
	// Connections is how many flows the upstream holds at most, from 1 to 10,000,000. Zero selects 2,500.
	Connections int `yaml:"connections,omitempty" msgpack:"connections,omitempty"`
	// Leaving is true for an upstream that keeps its flows and gets no new ones.
	Leaving bool `yaml:"leaving,omitempty" msgpack:"leaving,omitempty"`
}

// ID returns the identity of the upstream on the wire.
func (u Upstream) ID() UpstreamID {
	return UpstreamIDOf(u.Name)
}

// EffectiveWeight returns the weight with the default filled in.
func (u Upstream) EffectiveWeight() int {
	if u.Weight == 0 {
		return defaultWeight
	}
	return u.Weight
}

// EffectiveSlots returns the slots with the default filled in.
func (u Upstream) EffectiveSlots() int {
	if u.Slots == 0 {
		return defaultSlots
	}
	return u.Slots
}

// EffectiveConnections returns the connection limit with the default filled in.
func (u Upstream) EffectiveConnections() int {
	if u.Connections == 0 {
		return defaultConnections
	}
	return u.Connections
}

// EffectiveRepeat returns the repeat time with the default filled in.
func (s Service) EffectiveRepeat() time.Duration {
	if s.Repeat == 0 {
		return defaultRepeat
	}
	return s.Repeat
}

// EffectiveIdle returns the idle time with the default filled in.
func (s Service) EffectiveIdle() time.Duration {
	if s.Idle == 0 {
		return defaultIdle
	}
	return s.Idle
}

// The protocols of addresses.
const (
	ProtocolTCP = "tcp"
	ProtocolUDP = "udp"
)

// The measures of objectives.
const (
	MeasureFlows   = "flows"
	MeasureAnswers = "answers"
	MeasureLatency = "latency"
)

const (
	defaultWeight      = 100
	defaultSlots       = 2
	defaultConnections = 2500
	defaultBits        = 24
	defaultRepeat      = 10 * time.Second
	defaultIdle        = 5 * time.Minute
)
