package steer

import (
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
)

// lostAfter is how long a sidecar has been absent when its flows are given up:
// together with the silence before that about a second, in which a process that
// was killed is back.
const lostAfter = 350 * time.Millisecond

// SidecarStatus is what a Fleet knows of the sidecar on one host.
type SidecarStatus struct {
	// DataCentre is where the sidecar runs; empty when it is not known.
	DataCentre string
	// Load is what the sidecar last told of its upstream.
	Load membership.Load
	// LastHeartbeat is when the sidecar was last heard.
	LastHeartbeat time.Duration
	// HeartbeatTimeout is the silence after which the sidecar counts as lost.
	HeartbeatTimeout time.Duration
	// Stopping is true when the sidecar is about to end, or is not heard any more.
	Stopping bool
	// AbsentSince is since when the sidecar has been absent without having said that it
	// stops. 0 when it is not absent.
	AbsentSince time.Duration
	// Unconfirmed is true when the sidecar is not heard of any more and nobody who
	// heard it itself says that it is gone.
	Unconfirmed bool
}

// alive reports whether the sidecar was heard lately and goes on.
func (i SidecarStatus) alive(now time.Duration) bool {
	return !i.Stopping && now-i.LastHeartbeat < i.HeartbeatTimeout
}

// Fleet is the routes, the upstreams and their sidecars as of one moment. It
// is immutable and safe for concurrent use.
type Fleet struct {
	// Snapshot is never nil.
	Snapshot *registry.Snapshot
	// Sidecars has the sidecars that were ever heard.
	Sidecars map[registry.Host]SidecarStatus
	// Unlisted has the hosts of live sidecars whose upstreams the list lacks, as
	// when entries lapsed while the store was away.
	Unlisted []registry.Host
	// LastStoreContact is when the store is last known to have answered any process.
	LastStoreContact time.Duration
	// LiveBalancers is how many live balancers of the data centre place new flows; 0 is not known.
	LiveBalancers int
	// Isolated is true when the process hears no sidecar any more, so that it may be the one that is cut off.
	Isolated bool
	// Recovering is true while entries that had lapsed before the first list may still come back.
	Recovering bool
	// Settled is true when the process has heard of all sidecars, and the store has
	// answered without trouble for so long that no living upstream is missing.
	Settled bool
}

// alive reports whether the sidecar on a host was heard lately and goes on.
func (f *Fleet) alive(now time.Duration, h registry.Host) bool {
	i, known := f.Sidecars[h]
	return known && i.alive(now)
}

// silent reports whether the sidecar on a host was heard once and is not heard any more.
func (f *Fleet) silent(now time.Duration, h registry.Host) bool {
	i, known := f.Sidecars[h]
	return known && !i.alive(now)
}

// lost reports whether the flows of the upstream on a host are lost to callers:
// its sidecar has been absent for longer than a process takes to start again.
func (f *Fleet) lost(now time.Duration, h registry.Host) bool {
	since := f.Sidecars[h].AbsentSince
	return since != 0 && now-since >= lostAfter && !f.Isolated
}

// anyAbsent reports whether a sidecar is absent.
func (f *Fleet) anyAbsent() bool {
	for _, i := range f.Sidecars {
		if i.AbsentSince != 0 {
			return true
		}
	}
	return false
}

// acceptsNewFlows reports whether a new flow may be opened at the upstream.
func (f *Fleet) acceptsNewFlows(now time.Duration, m *registry.Member) bool {
	if m.Standing != registry.Available {
		return false
	}
	i, known := f.Sidecars[m.Address.Host]
	return known && i.alive(now) && !i.Load.Silent
}

// firstUnlisted returns the first unlisted host that is not left out, of one data
// centre and those that are in no known one; found is false when there is none.
func (f *Fleet) firstUnlisted(dataCentre string, exclude func(registry.Host) bool) (h registry.Host, found bool) {
	for _, h := range f.Unlisted {
		at := f.Sidecars[h].DataCentre
		if !exclude(h) && (at == dataCentre || at == "" || dataCentre == "") {
			return h, true
		}
	}
	return registry.Host{}, false
}

// dataCentres returns the names of the data centres with upstreams, listed or not, in order.
func (f *Fleet) dataCentres() []string {
	var names []string
	for _, p := range f.Snapshot.Pools() {
		for i := range p.Members {
			names = append(names, p.Members[i].DataCentre)
		}
	}
	for _, h := range f.Unlisted {
		if at := f.Sidecars[h].DataCentre; at != "" {
			names = append(names, at)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// hostsIn returns those of the hosts whose sidecars are in a data centre.
func (f *Fleet) hostsIn(dataCentre string, hosts []registry.Host) []registry.Host {
	var list []registry.Host
	for _, h := range hosts {
		if f.Sidecars[h].DataCentre == dataCentre {
			list = append(list, h)
		}
	}
	return list
}

// listLacks reports whether the list lacks an upstream on any of the hosts, unless
// that one is known not to react.
func (f *Fleet) listLacks(hosts []registry.Host) bool {
	for _, h := range f.Snapshot.Unlisted(hosts) {
		if !f.Sidecars[h].Load.Silent {
			return true
		}
	}
	return false
}

// allReturned reports whether each upstream that may hold a flow has returned a
// packet of it. One that was removed and whose sidecar is not heard is gone, unless
// that is doubtful.
func (f *Fleet) allReturned(now time.Duration, s *search) bool {
	for _, p := range f.Snapshot.Pools() {
		for i := range p.Members {
			m := &p.Members[i]
			host := m.Address.Host
			left := m.Standing == registry.Removed && !f.alive(now, host) && !f.Sidecars[host].Unconfirmed
			gone := left || f.lost(now, host)
			if !gone && !s.returnedBy(host) {
				return false
			}
		}
	}
	for _, h := range f.Unlisted {
		if f.alive(now, h) && !s.returnedBy(h) {
			return false
		}
	}
	return true
}
