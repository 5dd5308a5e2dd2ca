package demo

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
)

const (
	streamPort = 7000
	callerBits = 16
	sourceBits = 24
)

// dataCentres returns the names of the data centres of the demo.
func dataCentres() []string {
	return []string{"semarang", "surakarta", "tegal"}
}

// serviceAddress returns where callers reach a service, by its index.
func serviceAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, 100, byte(i + 1)}), streamPort)
}

// callerPrefix returns the prefix of the callers near a data centre, by its index.
func callerPrefix(i int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i), 0, 0}), callerBits)
}

// sourcePrefix returns where the callers of a service near a data centre come from, both by index.
func sourcePrefix(service, centre int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(centre), byte(service), 0}), sourceBits)
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
	at := serviceAddress(i)
	s := bundle.Service{
		Name: name,
		Addresses: []bundle.Address{
			{IP: at.Addr(), Port: at.Port(), Protocol: "tcp"},
			{IP: at.Addr(), Port: at.Port(), Protocol: "udp"},
		},
		// A sidecar that has just started drops unknown datagrams that way long.
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
