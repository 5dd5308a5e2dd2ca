package capacity

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
)

const (
	dataCentreCount = 5
	regionCount     = 2
	servicePort     = 7000
	sidecarPort     = 4789
	serviceNet      = 198              // first byte of service addresses
	sidecarNet      = 20               // first byte of sidecar addresses, before the index in the service is added
	callerNet       = 10               // first byte of caller addresses
	idleTime        = 30 * time.Minute // until a flow without packets is removed
)

// Size is the size of a deployment.
type Size struct {
	// Services is the number of services. Each has one address.
	Services int
	// Upstreams is the number of upstreams per service. They are assigned to the
	// data centres in turn.
	Upstreams int
}

// Bundle returns a valid bundle of the size. approvers is the sign-off policy for
// the next bundle.
func (s Size) Bundle(sequence uint64, approvers bundle.SignOff) *bundle.Bundle {
	b := &bundle.Bundle{Sequence: sequence, SignOff: approvers}
	for i := range dataCentreCount {
		b.DataCentres = append(b.DataCentres, bundle.DataCentre{
			Name:    dataCentreName(i),
			Region:  fmt.Sprintf("region-%d", i%regionCount),
			Callers: []netip.Prefix{netip.PrefixFrom(netip.AddrFrom4([4]byte{callerNet, byte(i)}), 16)},
		})
	}
	for i := range s.Services {
		b.Services = append(b.Services, s.service(i))
	}
	return b
}

// service returns the service with the index.
func (s Size) service(i int) bundle.Service {
	out := bundle.Service{
		Name:       fmt.Sprintf("service-%05d", i),
		Addresses:  []bundle.Address{{IP: numberedAddress(serviceNet, i), Port: servicePort, Protocol: bundle.ProtocolTCP}},
		Idle:       idleTime,
		Rules:      []bundle.Rule{{Callers: netip.MustParsePrefix("10.0.0.0/8"), Allow: true}},
		Limit:      bundle.Limit{Rate: 2000, Prefix: 100, Bits: 24},
		Objectives: []bundle.Objective{{Name: "whole", Measure: bundle.MeasureAnswers, Target: 0.999}},
	}
	for j := range min(s.Upstreams, dataCentreCount) {
		out.Places = append(out.Places, bundle.Place{DataCentre: dataCentreName((i + j) % dataCentreCount)})
	}
	for j := range s.Upstreams {
		p := &out.Places[j%len(out.Places)]
		p.Upstreams = append(p.Upstreams, bundle.Upstream{
			Name:        fmt.Sprintf("%s-%d", out.Name, j),
			Sidecar:     netip.AddrPortFrom(numberedAddress(byte(sidecarNet+j), i), sidecarPort),
			Connections: maxFlows,
		})
	}
	return out
}

// Address returns the address of the service with the index.
func (s Size) Address(service int) netip.AddrPort {
	return netip.AddrPortFrom(numberedAddress(serviceNet, service), servicePort)
}

func dataCentreName(i int) string {
	return fmt.Sprintf("centre-%d", i)
}

// numberedAddress returns the IPv4 address with the given first byte and the low
// 24 bits of n in the other bytes.
func numberedAddress(first byte, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{first, byte(n >> 16), byte(n >> 8), byte(n)})
}
