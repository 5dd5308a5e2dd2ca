package steer

import (
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
)

// lostAfter is how long a sidecar must be absent before its flows are reset. A sidecar is
// absent only after its heartbeat timeout; both together are about one second, within
// which a killed process has restarted.
const lostAfter = 350 * time.Millisecond

// A sidecar of the own data centre that was silent for silentLostAfter is lost after it has been
// absent for silentAbsence. The confirmation of a balancer with a slow link may come late,
// and a killed process is given up within 1.3 s of its end.
const (
	silentLostAfter = time.Second
	silentAbsence   = 100 * time.Millisecond
)

// SidecarStatus is what is known about the sidecar on one host.
type SidecarStatus struct {
	// DataCentre is the data centre of the sidecar; empty when it is not known.
	DataCentre string
	// Load is the last load that the sidecar reported for its upstream.
	Load membership.Load
	// LastSeen is when the last heartbeat of the sidecar was sent.
	LastSeen time.Duration
	// HeartbeatTimeout is the time after LastSeen from which the sidecar is not alive.
	HeartbeatTimeout time.Duration
	// Stopping is true when the sidecar is shutting down or its heartbeats have
	// stopped.
	Stopping bool
	// AbsentSince is when the sidecar became absent: without having announced that it stops,
	// or long after that while its upstream is not listed. 0 when it is not absent.
	AbsentSince time.Duration
	// LastContact is when a datagram last arrived from a sidecar whose heartbeats all come
	// directly to this process. 0 for others.
	LastContact time.Duration
	// Suspected is true when heartbeats of the sidecar have stopped here, but it is not
	// certain that it is gone.
	Suspected bool
	// Ended is true when the sidecar announced that it stops after its upstream had ended.
	Ended bool
	// EndedAt is when the sidecar sent that announcement. 0 when Ended is false.
	EndedAt time.Duration
}

// alive reports whether the last heartbeat is recent enough and the sidecar is not
// stopping.
func (i SidecarStatus) alive(now time.Duration) bool {
	return !i.Stopping && now-i.LastSeen < i.HeartbeatTimeout
}

// Fleet is the state of routes, upstreams and sidecars at one moment. It is immutable
// and safe for concurrent use.
type Fleet struct {
	// Snapshot is never nil.
	Snapshot *registry.Snapshot
	// RoutesSince is when the process adopted the routes of Snapshot; 0 before the first.
	RoutesSince time.Duration
	// Sidecars has every sidecar that ever sent a heartbeat.
	Sidecars map[registry.Host]SidecarStatus
	// Regions holds the region of each data centre by its name. It may be empty when no
	// route has homes.
	Regions map[string]string
	// Unlisted has the hosts of live sidecars whose upstreams are missing from the
	// upstream list, for example because entries expired while the store was
	// unavailable.
	Unlisted []registry.Host
	// LastStoreContact is the last known time at which the store answered any process.
	LastStoreContact time.Duration
	// LiveBalancers is the number of live balancers in the data centre, all of which
	// place new flows; 0 when it is not known.
	LiveBalancers int
	// PlacingPeers is the number of other live balancers in the data centre that report how
	// many flows they place; PlacedByPeers is the sum of these in flows per second.
	PlacingPeers  int
	PlacedByPeers float64
	// Isolated is true when the process receives no heartbeat from any sidecar any
	// more, so that the process itself may be cut off.
	Isolated bool
	// Recovering is true for some time after the first upstream list, while entries
	// that expired before it may still be restored.
	Recovering bool
	// Settled is true when the process has received the status of all sidecars, and no
	// live upstream is missing from the list: the store has been available for long
	// enough, or the list was complete before the store became unavailable.
	Settled bool
}

// alive reports whether the sidecar on a host sends heartbeats and is not stopping.
func (f *Fleet) alive(now time.Duration, h registry.Host) bool {
	i, known := f.Sidecars[h]
	return known && i.alive(now)
}

// silent reports whether the sidecar on a host has sent a heartbeat before and is not
// alive now.
func (f *Fleet) silent(now time.Duration, h registry.Host) bool {
	i, known := f.Sidecars[h]
	return known && !i.alive(now)
}

// lost reports whether the flows of the upstream on a host are lost: it has ended, or its
// sidecar has been absent for longer than a process takes to restart. The latter does not
// count while this process is isolated.
func (f *Fleet) lost(now time.Duration, h registry.Host) bool {
	if f.Sidecars[h].Ended {
		return true
	}
	since, contact := f.Sidecars[h].AbsentSince, f.Sidecars[h].LastContact
	if since == 0 || f.Isolated {
		return false
	}
	return now-since >= lostAfter || contact != 0 && now-contact >= silentLostAfter && now-since >= silentAbsence
}

// lostFlow reports whether the upstream to which a flow's packets are sent is lost. One that was
// reported after the sidecar announced its end is not: it is a flow of the next sidecar on the
// host, of which no heartbeat has arrived yet. An absence ends with the report itself. A flow
// that no sidecar reported may be open at another upstream, to which its opening was passed on.
func (f *Fleet) lostFlow(now time.Duration, e *flowEntry) bool {
	ended := f.Sidecars[e.host].EndedAt
	if ended > 0 && e.confirmed && e.updated > ended {
		return false
	}
	return f.lost(now, e.host)
}

// lostMember reports whether the flows of a listed upstream are lost. An available entry
// that arrived after the loss is that of the next upstream on the host.
func (f *Fleet) lostMember(now time.Duration, m *registry.Member) bool {
	i := f.Sidecars[m.Address.Host]
	since := max(i.EndedAt, i.AbsentSince)
	if since > 0 && m.Status == registry.Available && m.LearnedAt > since {
		return false
	}
	return f.lost(now, m.Address.Host)
}

// anyLost reports whether a sidecar is absent, or stopped after its upstream had ended.
func (f *Fleet) anyLost() bool {
	for _, i := range f.Sidecars {
		if i.AbsentSince != 0 || i.Ended {
			return true
		}
	}
	return false
}

// acceptsNewFlows reports whether a new flow may be opened at the upstream.
func (f *Fleet) acceptsNewFlows(now time.Duration, m *registry.Member) bool {
	if m.Status != registry.Available {
		return false
	}
	i, known := f.Sidecars[m.Address.Host]
	return known && i.alive(now) && !i.Load.Silent
}

// permits reports whether flows of the route may reach upstreams of a data centre: the
// route has no homes, or the region of the data centre is one of them. r may be nil.
func (f *Fleet) permits(r *registry.Route, dataCentre string) bool {
	if r == nil || len(r.Homes) == 0 {
		return true
	}
	region, known := f.Regions[dataCentre]
	return known && slices.Contains(r.Homes, region)
}

// refusalReason returns why no upstream of the route accepts a new flow: those that would
// are in evacuated data centres or outside the route's homes, or there are none.
func (f *Fleet) refusalReason(r *registry.Route) Reason {
	if r == nil {
		return ReasonNoUpstream
	}
	reason := ReasonNoUpstream
	for i := range r.Targets {
		pool := f.Snapshot.Pool(registry.HashService(r.Targets[i].Service))
		if pool == nil {
			continue
		}
		for k := range pool.Members {
			m := &pool.Members[k]
			switch {
			case m.Status == registry.Evacuated && f.permits(r, m.DataCentre):
				return ReasonEvacuated
			case m.Status == registry.Available && !f.permits(r, m.DataCentre):
				reason = ReasonHome
			}
		}
	}
	return reason
}

// firstUnlisted returns the first unlisted host that is not excluded, that the route
// permits, and that is either in one data centre or in an unknown one. An empty name
// matches all data centres. found is false when there is none.
func (f *Fleet) firstUnlisted(r *registry.Route, dataCentre string, exclude func(registry.Host) bool) (h registry.Host, found bool) {
	for _, h := range f.Unlisted {
		at := f.Sidecars[h].DataCentre
		if !exclude(h) && f.permits(r, at) && (at == dataCentre || at == "" || dataCentre == "") {
			return h, true
		}
	}
	return registry.Host{}, false
}

// dataCentres returns the sorted names of the data centres with upstreams, listed or
// not.
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

// listLacks reports whether an upstream on any of the hosts is missing from the
// upstream list. Upstreams that are reported as silent do not count.
func (f *Fleet) listLacks(hosts []registry.Host) bool {
	for _, h := range f.Snapshot.Unlisted(hosts) {
		if !f.Sidecars[h].Load.Silent {
			return true
		}
	}
	return false
}

// allReturned reports whether each upstream that may hold a flow of the route has returned
// a packet of it. Upstreams that are gone cannot hold it: those with a lost sidecar, and
// removed ones whose sidecar is not known. A sidecar that stops without its upstream
// having ended restarts, whether its upstream is listed or not. One that is known only from
// a peer's report as unlisted is alive. The upstreams that are gone are returned, too; the
// list is complete when all is true.
func (f *Fleet) allReturned(now time.Duration, r *registry.Route, s *search) (gone []registry.Host, all bool) {
	for _, p := range f.Snapshot.Pools() {
		for i := range p.Members {
			m := &p.Members[i]
			host := m.Address.Host
			if s.returnedBy(host) || !f.permits(r, m.DataCentre) {
				continue
			}
			_, known := f.Sidecars[host]
			if !f.lostMember(now, m) && (known || m.Status != registry.Removed) {
				return nil, false
			}
			gone = append(gone, host)
		}
	}
	for h, i := range f.Sidecars {
		if f.Snapshot.Listed(h) || s.returnedBy(h) || !f.permits(r, i.DataCentre) {
			continue
		}
		if !f.lost(now, h) && !i.Load.Silent {
			return nil, false
		}
	}
	if slices.ContainsFunc(f.Unlisted, func(h registry.Host) bool { return !f.hasStatus(h) && !s.returnedBy(h) }) {
		return nil, false
	}
	return gone, true
}

// exhausts reports whether a search has made certain that no upstream holds the flow: every
// upstream that may hold it has returned the packet, and the upstream list is complete and
// not older than those in the reports. While the fleet is recovering, a list that lacks one
// of the upstreams that returned the packet may lack others as well. gone is as in allReturned.
func (f *Fleet) exhausts(now time.Duration, r *registry.Route, s *search) (gone []registry.Host, certain bool) {
	if !f.Settled || s.state.IsZero() || s.state.After(f.Snapshot.State()) {
		return nil, false
	}
	gone, all := f.allReturned(now, r, s)
	return gone, all && !(f.Recovering && f.listLacks(s.hosts))
}

// hasStatus reports whether a heartbeat or report of the sidecar on a host is known.
func (f *Fleet) hasStatus(h registry.Host) bool {
	_, known := f.Sidecars[h]
	return known
}
