package registry

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Status determines which flows an upstream receives.
type Status uint8

// The statuses of an upstream.
const (
	// Available upstreams take new flows.
	Available Status = iota
	// Leaving upstreams keep their flows and take no new ones.
	Leaving
	// Removed upstreams are only candidates for flows that no other upstream holds.
	Removed
	// Evacuated upstreams are in an evacuated data centre: they keep their flows and take
	// no new ones.
	Evacuated
)

// Member is an upstream in a snapshot.
type Member struct {
	Upstream
	// Status is as of the time of the snapshot.
	Status Status
	// LearnedAt is when this process received the entry, or its last change.
	LearnedAt time.Duration
}

// Pool holds the upstreams of one service, one per host, in the order of their hosts.
type Pool struct {
	Service string
	Hash    ServiceHash
	// Members holds one upstream per host: one that is not removed if there is any, the
	// one started last among these, and of the entries of one start the one reported last.
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

// Snapshot is the view of routes and upstreams at one time. It is immutable and
// safe for concurrent use.
type Snapshot struct {
	version     uint64
	state       State
	idle        time.Duration
	routes      map[Endpoint]*Route
	pools       map[ServiceHash]*Pool
	sortedPools []*Pool // in the order of their services
	hosts       map[Host]struct{}
	services    map[string]Service
	evacuated   map[string]struct{} // names of data centres
}

// Snapshot returns the view at now.
func (d *Directory) Snapshot(now time.Duration) *Snapshot {
	s := &Snapshot{
		version: d.Version(),
		state:   d.state,
		routes:  make(map[Endpoint]*Route),
		pools:   make(map[ServiceHash]*Pool),
		hosts:   make(map[Host]struct{}, len(d.records)),

		evacuated: d.evacuatedAt(now),
	}
	if d.routes != nil {
		s.idle, s.services = d.routes.Idle, d.routes.Services
		for i := range d.routes.List {
			s.routes[d.routes.List[i].Address] = &d.routes.List[i]
		}
	}
	for _, c := range s.entries(d, now) {
		s.add(c.Member)
	}
	for _, p := range s.pools {
		s.sortedPools = append(s.sortedPools, p)
		slices.SortFunc(p.Members, func(a, b Member) int { return a.Address.Host.Compare(b.Address.Host) })
	}
	slices.SortFunc(s.sortedPools, func(a, b *Pool) int { return strings.Compare(a.Service, b.Service) })
	return s
}

// status returns the status of an upstream. The record must have content.
func (r *record) status(now time.Duration) Status {
	missing, since := r.isMissing(now)
	content, _ := r.content()
	switch {
	case missing && now-since >= MissingGrace:
		return Removed
	case content.Draining:
		return Leaving
	}
	return Available
}

// statusOf returns the status of an upstream whose record has the given one.
func (s *Snapshot) statusOf(u *Upstream, status Status) Status {
	if status == Available && s.Evacuated(u.DataCentre) {
		return Evacuated
	}
	return status
}

// poolHost is a host in the pool of a service.
type poolHost struct {
	service ServiceHash
	host    Host
}

// entry is one of the entries of a poolHost.
type entry struct {
	Member
	// revision is that of the entry's last change in the store.
	revision uint64
}

// entries returns the entry that represents each host in each pool.
func (s *Snapshot) entries(d *Directory, now time.Duration) map[poolHost]entry {
	chosen := make(map[poolHost]entry, len(d.records))
	for _, r := range d.records {
		content, learned := r.content()
		if content == nil {
			continue
		}
		u := *content
		u.Warmup = max(0, u.Warmup-(now-learned))
		c := entry{Member: Member{Upstream: u, Status: s.statusOf(&u, r.status(now)), LearnedAt: learned}, revision: r.revision}
		at := poolHost{service: HashService(u.Service), host: u.Address.Host}
		if other, taken := chosen[at]; !taken || c.replaces(&other) {
			chosen[at] = c
		}
	}
	return chosen
}

// replaces reports whether c rather than o represents their host. It is a total order, so
// that all processes choose the same entry.
func (c *entry) replaces(o *entry) bool {
	if c.Status == Removed != (o.Status == Removed) {
		return o.Status == Removed
	}
	if c.StartedAt != o.StartedAt {
		return c.StartedAt > o.StartedAt
	}
	if c.StartedAt != 0 { // entries of one incarnation, of which only one is its own
		if c.Sequence != o.Sequence {
			return c.Sequence > o.Sequence
		}
		if c.Draining != o.Draining {
			return c.Draining
		}
	}
	if c.revision != o.revision {
		return c.revision > o.revision
	}
	return c.ID > o.ID
}

// add puts an upstream into its pool.
func (s *Snapshot) add(m Member) {
	s.hosts[m.Address.Host] = struct{}{}
	hash := HashService(m.Service)
	p := s.pools[hash]
	if p == nil {
		p = &Pool{Service: m.Service, Hash: hash}
		s.pools[hash] = p
	}
	p.Members = append(p.Members, m)
}

// WithLocations returns the snapshot with the upstreams in the data centres of their sidecars,
// which at returns by host. It returns an empty name when the data centre is not known. An
// entry may name another data centre, where searches would not find its flows.
func (s *Snapshot) WithLocations(at func(Host) string) *Snapshot {
	moved := false
	n := *s
	n.pools, n.sortedPools = make(map[ServiceHash]*Pool, len(s.pools)), make([]*Pool, 0, len(s.pools))
	for _, p := range s.sortedPools {
		if q := s.relocate(p, at); q != p {
			moved, p = true, q
		}
		n.pools[p.Hash], n.sortedPools = p, append(n.sortedPools, p)
	}
	if !moved {
		return s
	}
	return &n
}

// relocate returns a pool with its upstreams in the data centres of their sidecars.
func (s *Snapshot) relocate(p *Pool, at func(Host) string) *Pool {
	q := p
	for i := range p.Members {
		m := p.Members[i]
		dataCentre := at(m.Address.Host)
		if dataCentre == "" || dataCentre == m.DataCentre {
			continue
		}
		if q == p {
			q = &Pool{Service: p.Service, Hash: p.Hash, Members: slices.Clone(p.Members)}
		}
		m.DataCentre = dataCentre
		if m.Status == Evacuated {
			m.Status = Available
		}
		m.Status = s.statusOf(&m.Upstream, m.Status)
		q.Members[i] = m
	}
	return q
}

// Version returns the version of the routes, 0 before the first.
func (s *Snapshot) Version() uint64 {
	return s.version
}

// State returns the store state that the upstreams reflect, zero before the first.
func (s *Snapshot) State() State {
	return s.state
}

// Idle returns the idle time after which the state of a flow may be dropped. 0 before the first routes.
func (s *Snapshot) Idle() time.Duration {
	return s.idle
}

// Route returns the route to an address, or nil.
func (s *Snapshot) Route(e Endpoint) *Route {
	return s.routes[e]
}

// Services returns the names of the services that routes send flows to, in order.
func (s *Snapshot) Services() []string {
	var names []string
	for _, r := range s.routes {
		for i := range r.Targets {
			names = append(names, r.Targets[i].Service)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Priorities returns the different priorities of the routes that may send flows to a
// service, the most important first.
func (s *Snapshot) Priorities(service string) []int {
	var list []int
	for _, r := range s.routes {
		if r.Allows(service) {
			list = append(list, r.Priority)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// Pool returns the upstreams of a service, or nil.
func (s *Snapshot) Pool(h ServiceHash) *Pool {
	return s.pools[h]
}

// Pools returns the upstreams of all services. The caller must not change the slice.
func (s *Snapshot) Pools() []*Pool {
	return s.sortedPools
}

// Evacuated reports whether a data centre is evacuated, so that no flow is opened at its upstreams.
func (s *Snapshot) Evacuated(dataCentre string) bool {
	_, evacuated := s.evacuated[dataCentre]
	return evacuated
}

// EvacuatedDataCentres returns the names of the evacuated data centres, in order.
func (s *Snapshot) EvacuatedDataCentres() []string {
	return slices.Sorted(maps.Keys(s.evacuated))
}

// Service returns the settings of a service, the zero value when it has none.
func (s *Snapshot) Service(name string) Service {
	return s.services[name]
}

// Hosts returns the hosts of all upstreams that are not removed, in order. When
// dataCentre is not empty, only its hosts are returned.
func (s *Snapshot) Hosts(dataCentre string) []Host {
	var hosts []Host
	for _, p := range s.sortedPools {
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

// Listed reports whether the snapshot has an upstream on the host, in any status.
func (s *Snapshot) Listed(h Host) bool {
	_, listed := s.hosts[h]
	return listed
}

// Unlisted returns the hosts for which Listed reports false.
func (s *Snapshot) Unlisted(hosts []Host) []Host {
	var unlisted []Host
	for _, h := range hosts {
		if !s.Listed(h) {
			unlisted = append(unlisted, h)
		}
	}
	return unlisted
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
