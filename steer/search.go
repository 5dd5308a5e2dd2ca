package steer

import (
	"encoding/binary"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

const (
	// missReportTTL is for how long after the last report upstreams count as not
	// holding a flow whose packets they returned.
	missReportTTL = time.Second
	// searchTTL is for how long after the first report they do.
	searchTTL = 2 * time.Second
	// maxSearches bounds how many flows are searched for at the same time.
	maxSearches = 1 << 14

	missReportMinSize = KeySize + 4 + registry.StateSize // bytes before the list of hosts
)

// MissReport says that upstreams returned a packet of a flow.
type MissReport struct {
	Key Key
	// Acknowledged is that of the packet.
	Acknowledged uint32
	// State is that of the newest list of upstreams that any process on the way acted on.
	State registry.State
	// Hosts lists the upstreams.
	Hosts []registry.Host
}

// Append appends the encoding of m.
func (m *MissReport) Append(b []byte) []byte {
	b = m.Key.Append(b)
	b = binary.BigEndian.AppendUint32(b, m.Acknowledged)
	b = m.State.Append(b)
	for i := range m.Hosts {
		b = append(b, m.Hosts[i][:]...)
	}
	return b
}

// ParseMissReport returns what Append wrote. It reports *MissReportError.
func ParseMissReport(b []byte) (MissReport, error) {
	if len(b) < missReportMinSize || (len(b)-missReportMinSize)%hostSize != 0 {
		return MissReport{}, &MissReportError{Length: len(b)}
	}
	m := MissReport{
		Key:          ParseKey(b),
		Acknowledged: binary.BigEndian.Uint32(b[KeySize:]),
		State:        registry.ParseState(b[KeySize+4:]),
	}
	for b = b[missReportMinSize:]; len(b) > 0; b = b[hostSize:] {
		m.Hosts = append(m.Hosts, registry.Host(b))
	}
	return m, nil
}

// MissReportError reports a datagram that says of no flow that it is missing.
type MissReportError struct {
	// Length is that of the datagram in bytes.
	Length int
}

// Error returns the length.
func (e *MissReportError) Error() string {
	return fmt.Sprintf("a datagram of %d bytes names no missing flow", e.Length)
}

// search is what a balancer knows of a flow that it searches for.
type search struct {
	hosts       []registry.Host // that returned a packet of the flow, in order
	state       registry.State  // of the newest list that those who reported acted on
	acknowledge uint32
	firstReport time.Duration // when the first report arrived
	lastReport  time.Duration // when the last one did
}

// expired reports whether what was reported is too old.
func (s *search) expired(now time.Duration) bool {
	return now-s.lastReport >= missReportTTL || now-s.firstReport >= searchTTL
}

// returnedBy reports whether the upstream on a host returned the packet.
func (s *search) returnedBy(h registry.Host) bool {
	_, found := slices.BinarySearchFunc(s.hosts, h, registry.Host.Compare)
	return found
}

// contradicts reports whether the upstream where a flow was remembered to be has
// returned a packet of it since that was learned.
func (s *search) contradicts(e *flowEntry) bool {
	return s.returnedBy(e.host) && e.updated < s.firstReport
}

// withHost returns s with one more host that returned a packet.
func (s search) withHost(h registry.Host) search {
	if i, found := slices.BinarySearchFunc(s.hosts, h, registry.Host.Compare); !found {
		s.hosts = slices.Insert(slices.Clip(s.hosts), i, h)
	}
	return s
}

// searches are the flows that a balancer searches for. It is safe for concurrent use.
type searches struct {
	mu     sync.Mutex
	byFlow map[Key]search
}

// record takes in a report.
func (ss *searches) record(now time.Duration, m *MissReport) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	s, known := ss.byFlow[m.Key]
	if !known && len(ss.byFlow) >= maxSearches {
		return
	}
	if known && !s.expired(now) && m.State.Era < s.state.Era {
		return
	}
	if s.expired(now) || m.State.Era > s.state.Era {
		s = search{firstReport: now} // what was returned under lists of two eras proves nothing
	}
	s.acknowledge, s.lastReport = m.Acknowledged, now
	s.state = registry.Latest(s.state, m.State)
	for _, h := range m.Hosts {
		s = s.withHost(h)
	}
	ss.byFlow[m.Key] = s
}

// get returns what is known of a flow.
func (ss *searches) get(now time.Duration, k Key) (search, bool) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	s, ok := ss.byFlow[k]
	if !ok || s.expired(now) {
		return search{}, false
	}
	return s, true
}

// remove ends the search for a flow.
func (ss *searches) remove(k Key) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	delete(ss.byFlow, k)
}

// activeKeys returns the flows that are searched for, and forgets those of which nothing was heard for long.
func (ss *searches) activeKeys(now time.Duration) []Key {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	var keys []Key
	for k, s := range ss.byFlow {
		if s.expired(now) {
			delete(ss.byFlow, k)
			continue
		}
		keys = append(keys, k)
	}
	return keys
}

// FlowMissing takes in which upstreams returned a packet of a flow that was searched
// for. It returns a packet to be reset, and true, when no upstream holds the flow.
func (b *Balancer) FlowMissing(now time.Duration, m *MissReport) (Packet, bool) {
	b.searches.record(now, m)
	return b.endIfExhausted(now, m.Key)
}

// RetrySearch decides again on a packet whose flow is searched for, a while after
// it was last sent: what did not come back may be lost, or upstreams have become
// known since. It returns copies for the first upstream of each data centre that
// has not returned the packet and whose sidecar is heard. again is false when the search is over.
func (b *Balancer) RetrySearch(now time.Duration, p *Packet) (list []Forward, again bool) {
	f, k := b.fleet.Load(), p.CallerKey()
	s, _ := b.searches.get(now, k)
	if f == nil || b.hasValidEntry(k, &s) {
		return nil, false
	}
	route := f.Snapshot.Route(p.Destination)
	if route == nil || f.allReturned(now, &s) {
		return nil, false
	}
	d := decision{b: b, now: now, fleet: f, route: route, key: k, hash: k.Hash(), packet: p}
	ch := d.chooser()
	service := route.Service(d.hash)
	exclude := func(h registry.Host) bool { return s.returnedBy(h) || !f.alive(now, h) }
	for _, dataCentre := range f.dataCentres() {
		host, found := ch.nextHost(registry.HashService(service), dataCentre, exclude)
		if !found {
			continue
		}
		h := d.header(service, true)
		h.Remote, h.Visited = true, f.hostsIn(dataCentre, s.hosts)
		list = append(list, Forward{Host: host, Header: h})
	}
	return list, true
}

// hasValidEntry reports whether the balancer remembers where the flow is, and the
// upstream there has not returned a packet of it since.
func (b *Balancer) hasValidEntry(k Key, s *search) bool {
	sh := b.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e, known := sh.flows[k]
	return known && !s.contradicts(&e)
}

// removeContradicted forgets where a flow was that no upstream holds, unless it has become known since.
func (b *Balancer) removeContradicted(k Key, s *search) {
	sh := b.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if e, known := sh.flows[k]; known && s.contradicts(&e) {
		delete(sh.flows, k)
	}
}

// ExhaustedSearches returns packets, to be reset, of flows that no upstream holds by what was reported lately.
func (b *Balancer) ExhaustedSearches(now time.Duration) []Packet {
	var list []Packet
	for _, k := range b.searches.activeKeys(now) {
		if p, ok := b.endIfExhausted(now, k); ok {
			list = append(list, p)
		}
	}
	return list
}

// endIfExhausted returns the packet to be reset when it is certain that no upstream
// holds the flow: each one that may was asked and returned the packet, and the
// list of them is whole. A young list that lacks one that reacts may lack others, too.
func (b *Balancer) endIfExhausted(now time.Duration, k Key) (Packet, bool) {
	f := b.fleet.Load()
	s, searched := b.searches.get(now, k)
	if f == nil || !searched || !f.Settled || s.state.IsZero() || s.state.After(f.Snapshot.State()) {
		return Packet{}, false
	}
	if !f.allReturned(now, &s) || f.Recovering && f.listLacks(s.hosts) {
		return Packet{}, false
	}
	b.searches.remove(k)
	b.removeContradicted(k, &s)
	return Packet{Source: k.Caller, Destination: k.Address, Flags: ACK, Acknowledged: s.acknowledge}, !b.hasValidEntry(k, &s)
}

// recentlyExhausted reports whether each upstream that may hold the flow has just returned
// a packet of it, so that another search would find nothing.
func (b *Balancer) recentlyExhausted(now time.Duration, f *Fleet, k Key) bool {
	s, searched := b.searches.get(now, k)
	return searched && f.allReturned(now, &s)
}
