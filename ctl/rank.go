package ctl

import (
	"net/netip"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
	"github.com/corianderbay/corianderbay/route"
)

const (
	// firstCallerPort and callerPorts are the range of the ports of sampled callers.
	firstCallerPort = 1024
	callerPorts     = 64000
)

// ranker ranks sampled flows under two bundles.
type ranker struct {
	oldView, nextView *route.View
	// addresses holds for each service an address that it has in both bundles.
	addresses map[string]bundle.Address
	// callers holds the caller prefixes of all data centres of the next bundle.
	callers []netip.Prefix
}

func newRanker(from, to *bundle.Bundle) *ranker {
	r := &ranker{
		oldView:   route.NewView(from),
		nextView:  route.NewView(to),
		addresses: make(map[string]bundle.Address),
	}
	for _, d := range to.DataCentres {
		r.callers = append(r.callers, d.Callers...)
	}
	serviceByAddress := make(map[string]string)
	for _, s := range from.Services {
		for _, a := range s.Addresses {
			serviceByAddress[a.String()] = s.Name
		}
	}
	for _, s := range to.Services {
		for _, a := range s.Addresses {
			if serviceByAddress[a.String()] == s.Name {
				r.addresses[s.Name] = a
				break
			}
		}
	}
	return r
}

// rankOld ranks a sampled flow under the old bundle. It implements bundle.DiffConfig.Old.
func (r *ranker) rankOld(service string, sample int) []bundle.UpstreamID {
	return r.rank(r.oldView, service, sample)
}

// rankNext ranks a sampled flow under the next bundle. It implements bundle.DiffConfig.New.
func (r *ranker) rankNext(service string, sample int) []bundle.UpstreamID {
	return r.rank(r.nextView, service, sample)
}

// rank returns the upstreams that may accept a new flow, in candidate order. It
// returns nil for a service without a common address.
func (r *ranker) rank(v *route.View, service string, sample int) []bundle.UpstreamID {
	a, ok := r.addresses[service]
	if !ok || len(r.callers) == 0 {
		return nil
	}
	caller := netip.AddrPortFrom(r.caller(sample), uint16(firstCallerPort+sample%callerPorts))
	protocol := flow.UDP
	if a.Protocol == bundle.ProtocolTCP {
		protocol = flow.TCP
	}
	var buf [forward.MaxCandidates]forward.Candidate
	var ids []bundle.UpstreamID
	for _, c := range v.Rank(buf[:0], flow.NewKey(protocol, caller, netip.AddrPortFrom(a.IP, a.Port))) {
		if !c.Leaving {
			ids = append(ids, c.Upstream)
		}
	}
	return ids
}

// caller returns the caller address of a sample. It uses the prefixes in turn and
// varies the last byte of the address unless the prefix covers part of it.
func (r *ranker) caller(sample int) netip.Addr {
	p := r.callers[sample%len(r.callers)]
	b := p.Addr().AsSlice()
	last := len(b) - 1
	if p.Bits() <= last*8 {
		b[last] = byte(sample / len(r.callers))
	}
	addr, _ := netip.AddrFromSlice(b)
	return addr
}
