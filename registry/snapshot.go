package registry

import (
	"slices"
	"strings"
	"time"
)

// Status says how far an upstream may be used.
type Status uint8

// The standings of an upstream.
const (
	// Available upstreams take new flows.
	Available Status = iota
	// Leaving upstreams keep their flows and take no new ones.
	Leaving
	// Removed upstreams are asked only for flows that nobody else holds.
	Removed
)

// Member is an upstream in a snapshot.
type Member struct {
	Upstream
	// Status is as of the time that the snapshot was made for.
	Status Status
}

// Pool is the upstreams of one service, one a host, in the order of their hosts.
type Pool struct {
	Service string
	Hash    ServiceHash
	// Members has the youngest upstream of each host.
	Members []Member
}

// Hosts returns the hosts of the upstreams that are not removed.
func (p *Pool) Hosts() []Host {
	var hosts []Host
	for i := range p.Members {
		if p.Members[i].Status != Removed {
			hosts = append(hosts, p.Members[i].Address.Host)
		}
	}
	return hosts
}

// Snapshot is what a process acts on until the next one. It is immutable and
// safe for concurrent use.
type Snapshot struct {
	version uint64
	state   State
	idle    time.Duration
	routes  map[Endpoint]*Route
	pools   map[ServiceHash]*Pool
	list    []*Pool // the pools in the order of their services
	hosts   map[Host]struct{}
	caps    map[string]int
}

// Snapshot returns the view at now.
func (d *Directory) Snapshot(now time.Duration) *Snapshot {
	s := &Snapshot{
		version: d.Version(),
		state:   d.state,
		routes:  make(map[Endpoint]*Route),
		pools:   make(map[ServiceHash]*Pool),
		hosts:   make(map[Host]struct{}, len(d.records)),
	}
	if d.routes != nil {
		s.idle, s.caps = d.routes.Idle, d.routes.Connections
		for i := range d.routes.List {
			s.routes[d.routes.List[i].Address] = &d.routes.List[i]
		}
	}
	for _, r := range d.records {
		if content, learned := r.content(); content != nil {
			u := *content
			u.Warmup = max(0, u.Warmup-(now-learned))
			s.add(u, r.standing(now))
		}
	}
	for _, p := range s.pools {
		s.list = append(s.list, p)
		slices.SortFunc(p.Members, func(a, b Member) int { return a.Address.Host.Compare(b.Address.Host) })
	}
	slices.SortFunc(s.list, func(a, b *Pool) int { return strings.Compare(a.Service, b.Service) })
	return s
}

// standing returns how far the upstream of a record that has content may be used.
func (r *record) standing(now time.Duration) Status {
	missing, since := r.lacks(now)
	content, _ := r.content()
	switch {
	case missing && now-since >= MissingGrace:
		return Removed
	case content.Draining:
		return Leaving
	}
	return Available
}

// add puts an upstream into its pool. Of two on one host the younger one stays.
func (s *Snapshot) add(u Upstream, st Status) {
	s.hosts[u.Address.Host] = struct{}{}
	hash := HashService(u.Service)
	p := s.pools[hash]
	if p == nil {
		p = &Pool{Service: u.Service, Hash: hash}
		s.pools[hash] = p
	}
	m := Member{Upstream: u, Status: st}
	for i := range p.Members {
		if p.Members[i].Address.Host != u.Address.Host {
			continue
		}
		if replaces(m, p.Members[i]) {
			p.Members[i] = m
		}
		return
	}
	p.Members = append(p.Members, m)
}

// replaces reports whether a stands for the host rather than b.
func replaces(a, b Member) bool {
	if a.Status == Removed != (b.Status == Removed) {
		return b.Status == Removed
	}
	if a.StartedAt != b.StartedAt {
		return a.StartedAt > b.StartedAt
	}
	return strings.Compare(a.ID, b.ID) > 0
}

// Version returns the version of the routes, 0 before the first.
func (s *Snapshot) Version() uint64 {
	return s.version
}

// State returns the state of the store that the upstreams stand for, zero before the first.
func (s *Snapshot) State() State {
	return s.state
}

// Idle returns after how much silence a flow may be forgotten. 0 before the first routes.
func (s *Snapshot) Idle() time.Duration {
	return s.idle
}

// Route returns the route to an address, or nil.
func (s *Snapshot) Route(e Endpoint) *Route {
	return s.routes[e]
}

// Pool returns the upstreams of a service, or nil.
func (s *Snapshot) Pool(h ServiceHash) *Pool {
	return s.pools[h]
}

// Pools returns the upstreams of all services. The caller must not change the slice.
func (s *Snapshot) Pools() []*Pool {
	return s.list
}

// Connections returns how many flows an upstream of the service holds, 0 when it is not known.
func (s *Snapshot) Connections(service string) int {
	return s.caps[service]
}

// Hosts returns the hosts of all upstreams that are not removed, in order;
// only those of one data centre when its name is not empty.
func (s *Snapshot) Hosts(dataCentre string) []Host {
	var hosts []Host
	for _, p := range s.list {
		for i := range p.Members {
			m := &p.Members[i]
			if m.Status != Removed && (dataCentre == "" || m.DataCentre == dataCentre) {
				hosts = append(hosts, m.Address.Host)
			}
		}
	}
	slices.SortFunc(hosts, Host.Compare)
	return slices.Compact(hosts)
}

// Listed reports whether the list has an upstream on the host, removed ones included.
func (s *Snapshot) Listed(h Host) bool {
	_, listed := s.hosts[h]
	return listed
}

// Unlisted returns those of the hosts on which the list has no upstream, removed ones included.
func (s *Snapshot) Unlisted(hosts []Host) []Host {
	var missing []Host
	for _, h := range hosts {
		if !s.Listed(h) {
			missing = append(missing, h)
		}
	}
	return missing
}

// Member returns the upstream of a service on a host; found is false when there is none.
func (s *Snapshot) Member(h ServiceHash, host Host) (m Member, found bool) {
	p := s.pools[h]
	if p == nil {
		return Member{}, false
	}
	for i := range p.Members {
		if p.Members[i].Address.Host == host {
			return p.Members[i], true
		}
	}
	return Member{}, false
}
