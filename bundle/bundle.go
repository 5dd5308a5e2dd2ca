// Package bundle defines the configuration that operators write: services, their
// places and upstreams, access rules, and the sign-off policy.
//
// A bundle is authored in YAML, checked, frozen into encoded sections with a
// manifest of their hashes, and signed. Start with Bundle and Check.
package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ServiceID identifies a service on the wire. It is unique in a bundle.
type ServiceID uint32

// UpstreamID identifies an upstream on the wire. It is unique in a bundle.
type UpstreamID uint32

// ServiceIDOf returns the ID of the service with the given name.
func ServiceIDOf(name string) ServiceID {
	return ServiceID(xxhash.Sum64String("service/" + name))
}

// UpstreamIDOf returns the ID of the upstream with the given name.
func UpstreamIDOf(name string) UpstreamID {
	return UpstreamID(xxhash.Sum64String("upstream/" + name))
}

// Bundle is one version of the whole configuration by operators. It is immutable
// once checked.
type Bundle struct {
	// Sequence is the version, at least 1. The bundle with the highest sequence
	// is in force.
	Sequence uint64 `yaml:"sequence" msgpack:"sequence"`
	// SignOff is the policy that the signatures of the next bundle must meet.
	SignOff SignOff `yaml:"signoff" msgpack:"signoff"`
	// DataCentres are unique by name.
	DataCentres []DataCentre `yaml:"datacentres,omitempty" msgpack:"datacentres,omitempty"`
	// Services are unique by name, and no two share an address, port and
	// protocol, so an address that moves to a service is removed from its former
	// service in the same bundle.
	Services []Service `yaml:"services,omitempty" msgpack:"services,omitempty"`
}

// WithSequence returns a copy of the bundle with the sequence n.
func (b *Bundle) WithSequence(n uint64) *Bundle {
	c := *b
	c.Sequence = n
	return &c
}

// clone returns a copy whose lists of data centres, services, addresses, places
// and upstreams may be modified.
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

// SignOff is the policy that the signatures of the next bundle must meet.
type SignOff struct {
	// Need is the number of approvers that must sign, from 1 to the number of
	// approvers.
	Need int `yaml:"need" msgpack:"need"`
	// Approvers are unique by name and by key.
	Approvers []Approver `yaml:"approvers,omitempty" msgpack:"approvers,omitempty"`
}

// Approver is the holder of a key who may sign bundles.
type Approver struct {
	Name string `yaml:"name" msgpack:"name"`
	// Key is an ed25519 public key in standard base64.
	Key string `yaml:"key" msgpack:"key"`
}

// publicKey returns the decoded key. It fails with *KeyError.
func (a Approver) publicKey() (ed25519.PublicKey, error) {
	b, err := base64.StdEncoding.Strict().DecodeString(a.Key)
	if err != nil || len(b) != ed25519.PublicKeySize {
		return nil, &KeyError{Key: a.Key}
	}
	return b, nil
}

// DataCentre is a data centre in which processes run.
type DataCentre struct {
	Name string `yaml:"name" msgpack:"name"`
	// Region groups data centres. An empty region contains this data centre only.
	Region string `yaml:"region,omitempty" msgpack:"region,omitempty"`
	// Callers are the caller prefixes that are nearest to this data centre. No
	// two data centres list the same prefix.
	Callers []netip.Prefix `yaml:"callers,omitempty" msgpack:"callers,omitempty"`
	// Near lists the other data centres, nearest first. Those not listed follow
	// in the order of their names.
	Near []string `yaml:"near,omitempty" msgpack:"near,omitempty"`
}

// Service is a service that callers reach at one or more addresses.
type Service struct {
	Name      string    `yaml:"name" msgpack:"name"`
	Addresses []Address `yaml:"addresses,omitempty" msgpack:"addresses,omitempty"`
	// Idempotent is true when a request may safely run more than once.
	Idempotent bool `yaml:"idempotent,omitempty" msgpack:"idempotent,omitempty"`
	// Repeat is the time after the first transmission of a request in which a
	// caller may retransmit it, from 0 s to 5 min. Zero selects 10 s.
	Repeat time.Duration `yaml:"repeat,omitempty" msgpack:"repeat,omitempty"`
	// Idle is the time after which a flow without packets is removed, from 1 s to
	// 24 h. Zero selects 5 min.
	Idle time.Duration `yaml:"idle,omitempty" msgpack:"idle,omitempty"`
	// Rules set which callers may reach the service. The rule with the longest
	// matching prefix applies. A caller that matches no rule is denied.
	Rules []Rule `yaml:"rules,omitempty" msgpack:"rules,omitempty"`
	// Limit limits the rate of new flows. The zero value sets no limit.
	Limit Limit `yaml:"limit,omitempty" msgpack:"limit,omitempty"`
	// Objectives are unique by name.
	Objectives []Objective `yaml:"objectives,omitempty" msgpack:"objectives,omitempty"`
	// Places are unique by data centre.
	Places []Place `yaml:"places,omitempty" msgpack:"places,omitempty"`
}

// ID returns the ID of the service on the wire.
func (s Service) ID() ServiceID {
	return ServiceIDOf(s.Name)
}

// Address is an address at which callers reach a service.
type Address struct {
	IP netip.Addr `yaml:"ip" msgpack:"ip"`
	// Port is from 1 to 65535.
	Port uint16 `yaml:"port" msgpack:"port"`
	// Protocol is "tcp" or "udp".
	Protocol string `yaml:"protocol" msgpack:"protocol"`
	// Former is the name of the service that had the address before. Flows of
	// that service at the address are still routed until they end. Empty when
	// the address has no former service.
	Former string `yaml:"former,omitempty" msgpack:"former,omitempty"`
}

// String returns the address as "tcp 198.51.100.1:80".
func (a Address) String() string {
	return a.Protocol + " " + netip.AddrPortFrom(a.IP, a.Port).String()
}

// withoutFormer returns the address without its former service, for use as a
// map key.
func (a Address) withoutFormer() Address {
	return Address{IP: a.IP.Unmap(), Port: a.Port, Protocol: a.Protocol}
}

// Rule allows or denies the callers of a prefix access to a service.
type Rule struct {
	Callers netip.Prefix `yaml:"callers" msgpack:"callers"`
	Allow   bool         `yaml:"allow,omitempty" msgpack:"allow,omitempty"`
}

// Limit limits the rate of new flows of one service.
type Limit struct {
	// Rate is the limit for the whole fleet in new flows per second, from 0 (no
	// limit) to 1,000,000.
	Rate float64 `yaml:"rate,omitempty" msgpack:"rate,omitempty"`
	// Prefix is the limit for each caller prefix of length Bits in new flows per
	// second, from 0 (no limit) to 1,000,000.
	Prefix float64 `yaml:"prefix,omitempty" msgpack:"prefix,omitempty"`
	// Bits is the length of the IPv4 caller prefixes that share one limit, from 0
	// to 32. Zero selects 24.
	Bits int `yaml:"bits,omitempty" msgpack:"bits,omitempty"`
}

// Objective is a service-level objective.
type Objective struct {
	Name string `yaml:"name" msgpack:"name"`
	// Measure is "flows" (flows that are not broken), "answers" (complete
	// answers) or "latency" (answers within the time Within).
	Measure string `yaml:"measure" msgpack:"measure"`
	// Target is the required fraction of good events, above 0 and below 1.
	Target float64 `yaml:"target" msgpack:"target"`
	// Within is the latency threshold of a latency objective, from 1 ms to 1 h.
	// It is zero for other measures.
	Within time.Duration `yaml:"within,omitempty" msgpack:"within,omitempty"`
}

// Place is a service's pool of upstreams in one data centre.
type Place struct {
	// DataCentre is the name of a data centre of the bundle.
	DataCentre string `yaml:"datacentre" msgpack:"datacentre"`
	// Upstreams are unique by name in the whole bundle.
	Upstreams []Upstream `yaml:"upstreams,omitempty" msgpack:"upstreams,omitempty"`
}

// Upstream is one upstream server with its sidecar.
type Upstream struct {
	Name string `yaml:"name" msgpack:"name"`
	// Sidecar is the address at which the upstream's sidecar receives forwarded
	// packets.
	Sidecar netip.AddrPort `yaml:"sidecar" msgpack:"sidecar"`
	// Weight is the relative share of new flows, from 1 to 1000. Zero selects 100.
	Weight int `yaml:"weight,omitempty" msgpack:"weight,omitempty"`
	// Slots is the number of requests that the upstream runs concurrently, from 1
	// to 100,000. Zero selects 2.
	Slots int `yaml:"slots,omitempty" msgpack:"slots,omitempty"`
	// Connections is the maximum number of flows of the upstream, from 1 to
	// 10,000,000. Zero selects 2,500.
	Connections int `yaml:"connections,omitempty" msgpack:"connections,omitempty"`
	// Leaving is true for a draining upstream, which keeps its flows and receives
	// no new ones.
	Leaving bool `yaml:"leaving,omitempty" msgpack:"leaving,omitempty"`
}

// ID returns the ID of the upstream on the wire.
func (u Upstream) ID() UpstreamID {
	return UpstreamIDOf(u.Name)
}

// EffectiveWeight returns the weight, or the default when it is zero.
func (u Upstream) EffectiveWeight() int {
	if u.Weight == 0 {
		return defaultWeight
	}
	return u.Weight
}

// EffectiveSlots returns the number of slots, or the default when it is zero.
func (u Upstream) EffectiveSlots() int {
	if u.Slots == 0 {
		return defaultSlots
	}
	return u.Slots
}

// EffectiveConnections returns the maximum number of flows, or the default when
// it is zero.
func (u Upstream) EffectiveConnections() int {
	if u.Connections == 0 {
		return defaultConnections
	}
	return u.Connections
}

// EffectiveRepeat returns the repeat time, or the default when it is zero.
func (s Service) EffectiveRepeat() time.Duration {
	if s.Repeat == 0 {
		return defaultRepeat
	}
	return s.Repeat
}

// EffectiveIdle returns the idle time, or the default when it is zero.
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
