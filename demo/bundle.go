package demo

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
)

const (
	servicePort      = 7000
	callerPrefixBits = 16
	sourcePrefixBits = 24
)

// dataCentres returns the names of the data centres of the demo.
func dataCentres() []string {
	return []string{"semarang", "surakarta", "tegal"}
}

// serviceAddress returns the address of the i-th service.
func serviceAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, 100, byte(i + 1)}), servicePort)
}

// callerPrefix returns the prefix of the callers near the i-th data centre.
func callerPrefix(i int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i), 0, 0}), callerPrefixBits)
}

// sourcePrefix returns the source prefix of the callers of a service near a data centre, both given by index.
func sourcePrefix(service, dataCentre int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(dataCentre), byte(service), 0}), sourcePrefixBits)
}

// bundle returns the first bundle of the deployment.
func (d *deployment) bundle() *bundle.Bundle {
	b := &bundle.Bundle{Sequence: 1, SignOff: d.signOff()}
	for i, name := range dataCentres() {
		b.DataCentres = append(b.DataCentres, bundle.DataCentre{
			Name:    name,
			Callers: []netip.Prefix{callerPrefix(i)},
		})
	}
	b.Services = append(b.Services, d.service(firstService, 0), d.service(secondService, 1))
	return b
}

func (d *deployment) service(name string, i int) bundle.Service {
	addr := serviceAddress(i)
	s := bundle.Service{
		Name: name,
		Addresses: []bundle.Address{
			{IP: addr.Addr(), Port: addr.Port(), Protocol: "tcp"},
			{IP: addr.Addr(), Port: addr.Port(), Protocol: "udp"},
		},
		// A newly started sidecar drops datagrams of unknown flows for this duration.
		Repeat:     time.Second,
		Idempotent: name == secondService,
		Rules:      []bundle.Rule{{Callers: netip.MustParsePrefix("10.0.0.0/8"), Allow: true}},
		Objectives: []bundle.Objective{
			{Name: fmt.Sprintf("%s-whole", name), Measure: "answers", Target: 0.999},
		},
	}
	for _, dc := range dataCentres() {
		s.Places = append(s.Places, bundle.Place{DataCentre: dc})
	}
	n := 0
	for _, p := range d.pairs {
		if p.service != name {
			continue
		}
		place := &s.Places[n%len(s.Places)]
		place.Upstreams = append(place.Upstreams, bundle.Upstream{
			Name:    p.upstream.Name(),
			Sidecar: p.sidecar.ForwardAddress(),
			Slots:   d.cfg.Slots,
		})
		n++
	}
	return s
}
