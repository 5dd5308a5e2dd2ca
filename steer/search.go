package steer

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

const (
	// missReportTTL is the time after the last report for which upstreams that returned
	// a packet are assumed not to hold its flow.
	missReportTTL = time.Second
	// searchTTL is the time after the first report of a search from which all its reports
	// are outdated, even when further ones arrive.
	searchTTL = 2 * time.Second
	// searchOrderTTL is the time after the last report for which the next search for the
	// flow starts at an upstream that did not return the packet. A caller sends a packet
	// again after at most half of it.
	searchOrderTTL = 5 * time.Second
	// maxSearches bounds the number of concurrent searches.
	maxSearches = 1 << 14

	missReportMinSize = KeySize + 4 + registry.StateSize // bytes before the list of hosts
)

// MissReport reports that upstreams returned a packet of a flow.
type MissReport struct {
	Key Key
	// Acknowledged is the acknowledgement number of the packet.
	Acknowledged uint32
	// State is the newest state of the upstream list that any process on the path used.
	State registry.State
	// Hosts lists the hosts of the upstreams that returned the packet.
	Hosts []registry.Host
}

// Append appends the encoding of m to b.
func (m *MissReport) Append(b []byte) []byte {
	b = m.Key.Append(b)
	b = binary.BigEndian.AppendUint32(b, m.Acknowledged)
	b = m.State.Append(b)
	for i := range m.Hosts {
		b = append(b, m.Hosts[i][:]...)
	}
	return b
}

// ParseMissReport decodes a report. It returns a *MissReportError for an invalid one.
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

// MissReportError reports a datagram that holds no valid MissReport.
type MissReportError struct {
	// Length is the length of the datagram in bytes.
	Length int
}

// Error returns the length.
func (e *MissReportError) Error() string {
	return fmt.Sprintf("invalid miss report: datagram of %d bytes", e.Length)
}

// search is the state of a balancer's search for the upstream of a flow.
type search struct {
	hosts        []registry.Host // that returned a packet of the flow, sorted
	state        registry.State  // newest state of the upstream list in the reports
	acknowledged uint32          // acknowledgement number in the last report
	firstReport  time.Duration   // when the first report arrived
	lastReport   time.Duration   // when the last one did
}

// expired reports whether the reports are too old to be used.
func (s *search) expired(now time.Duration) bool {
	return now-s.lastReport >= missReportTTL || now-s.firstReport >= searchTTL
}

// returnedBy reports whether the upstream on a host returned a packet of the flow.
func (s *search) returnedBy(h registry.Host) bool {
	_, found := slices.BinarySearchFunc(s.hosts, h, registry.Host.Compare)
	return found
}

// contradicts reports whether the upstream in a flow entry has returned a packet, and
// the entry was last updated before the first report.
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

// searches holds the searches of a balancer. It is safe for concurrent use.
type searches struct {
	mu     sync.Mutex
	byFlow map[Key]search
}

// record adds a report to the search for its flow.
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
		s = search{firstReport: now} // reports based on lists of two eras cannot be combined
	}
	s.acknowledged, s.lastReport = m.Acknowledged, now
	s.state = registry.Latest(s.state, m.State)
	for _, h := range m.Hosts {
		s = s.withHost(h)
	}
	ss.byFlow[m.Key] = s
}

// get returns the search for a flow, unless it has expired.
func (ss *searches) get(now time.Duration, k Key) (search, bool) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	s, ok := ss.byFlow[k]
	if !ok || s.expired(now) {
		return search{}, false
	}
	return s, true
}

// returnedBefore returns the last search for a flow, also when its reports are too old to
// base a reset on.
func (ss *searches) returnedBefore(now time.Duration, k Key) search {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if s := ss.byFlow[k]; now-s.lastReport < searchOrderTTL {
		return s
	}
	return search{}
}

// remove ends the search for a flow.
func (ss *searches) remove(k Key) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	delete(ss.byFlow, k)
}

// activeKeys returns the flows with a search, and removes searches that are too old even
// for the order of the next one.
func (ss *searches) activeKeys(now time.Duration) []Key {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	var keys []Key
	for k, s := range ss.byFlow {
		if !s.expired(now) {
			keys = append(keys, k)
		} else if now-s.lastReport >= searchOrderTTL {
			delete(ss.byFlow, k)
		}
	}
	return keys
}

// FlowMissing records which upstreams returned a packet of a flow. When no upstream
// holds the flow, it returns the flow to be reset, and true.
func (b *Balancer) FlowMissing(now time.Duration, m *MissReport) (Reset, bool) {
	b.searches.record(now, m)
	r, reset := b.endIfExhausted(now, m.Key)
	if !reset {
		b.removeFormer(now, m.Key)
	}
	return r, reset
}

// RetrySearch decides again on a packet of an unknown flow some time after it was last
// sent: it may have been lost, or more upstreams may have been discovered. It returns
// copies for upstreams of each data centre that have not returned the packet. attempt is
// 1 for the first retry; each retry starts at other upstreams than the ones before, since
// a search does not pass an upstream that neither accepts nor returns the packet. When all
// returned one before, the first maxRepeats retries go to those without a recent report.
// again is false when the search is over.
func (b *Balancer) RetrySearch(now time.Duration, p *Packet, attempt int) (list []Forward, again bool) {
	s, d := b.unfinishedSearch(now, p)
	if d == nil {
		return nil, false
	}
	before := b.searches.returnedBefore(now, d.key)
	if list = d.retry(&s, attempt, before.returnedBy); len(list) > 0 || attempt > maxRepeats {
		return list, true
	}
	return d.retry(&s, attempt, s.returnedBy), true
}

// ExtendSearch returns copies of a packet of an unknown flow for sidecars that have become
// reachable, unless their upstreams returned one shortly before. Of many in one data centre
// only some get one, as the copies are passed on there. again is false when the search is
// over.
func (b *Balancer) ExtendSearch(now time.Duration, p *Packet, reachable []registry.Host) (list []Forward, again bool) {
	s, d := b.unfinishedSearch(now, p)
	if d == nil {
		return nil, false
	}
	before := b.searches.returnedBefore(now, d.key)
	service := d.route.Service(d.hash)
	byDataCentre := make(map[string][]registry.Host)
	for _, h := range reachable {
		at := d.fleet.Sidecars[h].DataCentre
		if !before.returnedBy(h) && d.fleet.permits(d.route, at) {
			byDataCentre[at] = append(byDataCentre[at], h)
		}
	}
	for _, at := range slices.Sorted(maps.Keys(byDataCentre)) {
		for _, h := range spread(byDataCentre[at], retryGrowth) {
			list = append(list, d.copyTo(h, at, service, &s))
		}
	}
	return list, true
}

// unfinishedSearch returns the search for the flow of a packet, without outdated reports,
// and the state for deciding on the packet. The latter is nil when the search is over: an
// upstream holds the flow, or it is certain that none does, or the packet has no route.
func (b *Balancer) unfinishedSearch(now time.Duration, p *Packet) (search, *decision) {
	f, k := b.fleet.Load(), p.CallerKey()
	s, _ := b.searches.get(now, k)
	if f == nil || b.hasValidEntry(k, &s) {
		return s, nil
	}
	route := f.Snapshot.Route(p.Destination)
	if route == nil {
		return s, nil
	}
	if _, certain := f.exhausts(now, route, &s); certain {
		return s, nil
	}
	return s, &decision{b: b, now: now, fleet: f, route: route, key: k, hash: k.Hash(), packet: p}
}

// retry returns the copies of a packet for one retry of a search, for hosts that are not
// excluded.
func (d *decision) retry(s *search, attempt int, exclude func(registry.Host) bool) []Forward {
	ch := d.chooser()
	service := d.route.Service(d.hash)
	var list []Forward
	for _, dataCentre := range d.fleet.dataCentres() {
		for _, host := range ch.retryHosts(registry.HashService(service), dataCentre, attempt, exclude) {
			list = append(list, d.copyTo(host, dataCentre, service, s))
		}
	}
	return list
}

// copyTo returns the copy of a searched packet for a sidecar of a data centre. The copy
// stays in that data centre, and visits no upstream of it that has returned the packet.
func (d *decision) copyTo(host registry.Host, dataCentre, service string, s *search) Forward {
	h := d.header(service, true)
	h.Remote, h.Visited = true, d.fleet.hostsIn(dataCentre, s.hosts)
	return Forward{Host: host, Header: h, DataCentre: dataCentre}
}

const (
	// maxRetryCopies is the maximum number of copies that one retry of a search sends to
	// the reachable sidecars of a data centre.
	maxRetryCopies = 32
	// maxRepeats is the number of retries that may go to upstreams that returned the packet
	// before. Later ones start at many upstreams of each data centre.
	maxRepeats = 3
	// retryGrowth is the number of copies of a retry as a multiple of the one before.
	retryGrowth = 6
)

// retryHosts returns the hosts of a data centre at which a retry of a search starts: one for
// the first retry, and retryGrowth times as many for each further one. They are spread
// evenly over the order of the search, so that the copies that they pass on cover all
// upstreams but a few behind one that keeps them. Unreachable sidecars, which may be a
// whole data centre that lost its power, get one copy for the first retry, two for the
// second, and so on.
func (c *chooser) retryHosts(service registry.ServiceHash, dataCentre string, attempt int, exclude func(registry.Host) bool) []registry.Host {
	reachable, unreachable := c.searchOrder(service, dataCentre, exclude)
	count := 1
	for range attempt - 1 {
		count = min(retryGrowth*count, maxRetryCopies)
	}
	return append(spread(reachable, count), spread(unreachable, attempt)...)
}

// spread returns count elements of a list at even distances, or the whole list if it is
// shorter.
func spread(list []registry.Host, count int) []registry.Host {
	if count >= len(list) {
		return list
	}
	selected := make([]registry.Host, count)
	for i := range selected {
		selected[i] = list[(2*i+1)*len(list)/(2*count)]
	}
	return selected
}

// hasValidEntry reports whether the table has an entry for the flow that the search does
// not contradict.
func (b *Balancer) hasValidEntry(k Key, s *search) bool {
	sh := b.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e, known := sh.flows[k]
	return known && !s.contradicts(&e)
}

// removeContradicted removes the entry of a flow when the search contradicts it.
func (b *Balancer) removeContradicted(k Key, s *search) {
	sh := b.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if e, known := sh.flows[k]; known && s.contradicts(&e) {
		delete(sh.flows, k)
	}
}

// removeFormer removes the entry for an upstream that has returned a packet of the flow since:
// the upstream was confirmed and held a former flow of the same port, or the flow was opened
// elsewhere with another copy of its opening. Until a packet has followed the opening here, the
// entry stays, as retransmitted openings must follow the first one. Packets of flows with an
// entry are not stored and resent until the upstream is found.
func (b *Balancer) removeFormer(now time.Duration, k Key) {
	s, searched := b.searches.get(now, k)
	if !searched {
		return
	}
	sh := b.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if e, known := sh.flows[k]; known && (e.confirmed || e.resettable) && s.contradicts(&e) {
		delete(sh.flows, k)
	}
}

// ExhaustedSearches ends the searches that have found that no upstream holds the flow.
// It returns the flows to be reset.
func (b *Balancer) ExhaustedSearches(now time.Duration) []Reset {
	var list []Reset
	for _, k := range b.searches.activeKeys(now) {
		if r, ok := b.endIfExhausted(now, k); ok {
			list = append(list, r)
		}
	}
	return list
}

// endIfExhausted ends a search and returns the flow to be reset when it is certain
// that no upstream holds the flow.
func (b *Balancer) endIfExhausted(now time.Duration, k Key) (Reset, bool) {
	f := b.fleet.Load()
	s, searched := b.searches.get(now, k)
	if f == nil || !searched {
		return Reset{}, false
	}
	gone, certain := f.exhausts(now, f.Snapshot.Route(k.Address), &s)
	if !certain {
		return Reset{}, false
	}
	b.searches.remove(k)
	b.removeContradicted(k, &s)
	p := Packet{Source: k.Caller, Destination: k.Address, Flags: ACK, Acknowledged: s.acknowledged}
	return Reset{Packet: p, Reason: ReasonUnknownFlow, Evidence: &Evidence{Returned: s.hosts, Gone: gone}}, !b.hasValidEntry(k, &s)
}

// recentlyExhausted reports whether every upstream that may hold the flow has just
// returned a packet of it, so that another search would find nothing.
func (b *Balancer) recentlyExhausted(now time.Duration, f *Fleet, r *registry.Route, k Key) bool {
	s, searched := b.searches.get(now, k)
	if !searched {
		return false
	}
	_, all := f.allReturned(now, r, &s)
	return all
}
