package steer

import (
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

// searchTarget is the upstream at which a search of one data centre starts.
type searchTarget struct {
	service    string
	host       registry.Host
	dataCentre string // empty when it is not known
}

// search forwards a packet of an unknown flow to the first upstream that may hold it: one
// that did not return a packet of the flow shortly before, if there is any.
func (d *decision) search(service string) Action {
	before := d.b.searches.returnedBefore(d.now, d.key)
	to, found := d.firstToSearch(service, func(h registry.Host, _ string) bool { return before.returnedBy(h) })
	if !found {
		to, found = d.firstToSearch(service, func(registry.Host, string) bool { return false })
	}
	if !found {
		return Drop{Reason: ReasonNoUpstream}
	}
	d.forward(to.service, to.host, true)
	d.out.DataCentre = to.dataCentre
	return d.out
}

// ContinueSearch returns the copy of a packet of an unknown flow for the next data centre,
// other than those that got one in this search. found is false when the search is over, and
// when there is no such data centre. The data centres are searched one after the other,
// since copies in several of them at once reach upstreams when the one that holds the flow
// already has the packet.
func (b *Balancer) ContinueSearch(now time.Duration, p *Packet, searched []string) (f Forward, found bool) {
	s, d := b.unfinishedSearch(now, p)
	if d == nil {
		return Forward{}, false
	}
	before := b.searches.returnedBefore(now, d.key)
	to, found := d.firstToSearch(d.route.Service(d.hash), func(h registry.Host, dataCentre string) bool {
		return before.returnedBy(h) || slices.Contains(searched, dataCentre)
	})
	if !found {
		return Forward{}, false
	}
	return d.copyTo(to.host, to.dataCentre, to.service, &s), true
}

// firstToSearch returns the first upstream to offer a packet of an unknown flow to.
// Upstreams of the service that the hash selects for new flows come before all others, and
// unreachable ones come last.
func (d *decision) firstToSearch(service string, exclude func(h registry.Host, dataCentre string) bool) (to searchTarget, found bool) {
	ch := d.chooser()
	hash := registry.HashService(service)
	excludeMember := func(m *registry.Member) bool { return exclude(m.Address.Host, m.DataCentre) }
	if m := ch.firstInPools(hash, excludeMember, ch.nextReachable); m != nil {
		return searchTarget{m.Service, m.Address.Host, m.DataCentre}, true
	}
	excludeHost := func(h registry.Host) bool { return exclude(h, d.fleet.Sidecars[h].DataCentre) }
	if host, found := d.fleet.firstUnlisted(d.route, "", excludeHost); found {
		return searchTarget{service, host, d.fleet.Sidecars[host].DataCentre}, true
	}
	if m := ch.firstInPools(hash, excludeMember, ch.nextUnreachable); m != nil {
		return searchTarget{m.Service, m.Address.Host, m.DataCentre}, true
	}
	return searchTarget{}, false
}
