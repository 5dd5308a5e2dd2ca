package ctl

import (
	"net/netip"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
	"github.com/corianderbay/corianderbay/route"
)

const (
	// firstCallerPort and callerPorts bound the ports of sampled callers.
	firstCallerPort = 1024
	callerPorts     = 64000
)

// ranker ranks sampled flows under two bundles.
type ranker struct {
	old, next *route.View
	// addresses holds for each service one that both bundles give it.
	addresses map[string]bundle.Address
	// callers are the prefixes of all data centres of the next bundle.
	callers []netip.Prefix
}

func newRanker(from, to *bundle.Bundle) *ranker {
	r := &ranker{
		old:       route.NewView(from),
		next:      route.NewView(to),
		addresses: make(map[string]bundle.Address),
	}
	for _, d := range to.DataCentres {
		r.callers = append(r.callers, d.Callers...)
	}
	held := make(map[string]string)
	for _, s := range from.Services {
		for _, a := range s.Addresses {
			held[a.String()] = s.Name
		}
	}
	for _, s := range to.Services {
		for _, a := range s.Addresses {
			if held[a.String()] == s.Name {
				r.addresses[s.Name] = a
				break
			}
		}
	}
	return r
}

// before ranks a sampled flow under the old bundle.
func (r *ranker) before(service string, sample int) []bundle.UpstreamID {
	return r.rank(r.old, service, sample)
}

// after ranks a sampled flow under the next bundle.
func (r *ranker) after(service string, sample int) []bundle.UpstreamID {
	return r.rank(r.next, service, sample)
}

// rank returns the upstreams that a new flow may go to, in their order.
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

// caller returns an address of one of the prefixes in turn.
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
