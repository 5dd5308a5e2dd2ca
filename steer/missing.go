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
	// missingLife is for how long after they returned a packet upstreams count as not holding its flow.
	missingLife = time.Second
	// maxMissing bounds how many flows are searched for at the same time.
	maxMissing = 1 << 14

	missingSize = KeySize + 12 // bytes before the list of hosts
)

// Missing says that upstreams returned a packet of a flow.
type Missing struct {
	Key Key
	// Acknowledge is that of the packet.
	Acknowledge uint32
	// Revision is that of the newest list of upstreams that any sidecar on the way acted on.
	Revision uint64
	// Hosts lists the upstreams.
	Hosts []registry.Host
}

// Append appends the encoding of m.
func (m *Missing) Append(b []byte) []byte {
	b = m.Key.Append(b)
	b = binary.BigEndian.AppendUint32(b, m.Acknowledge)
	b = binary.BigEndian.AppendUint64(b, m.Revision)
	for i := range m.Hosts {
		b = append(b, m.Hosts[i][:]...)
	}
	return b
}

// ParseMissing returns what Append wrote. It reports *MissingError.
func ParseMissing(b []byte) (Missing, error) {
	if len(b) < missingSize || (len(b)-missingSize)%hostSize != 0 {
		return Missing{}, &MissingError{Length: len(b)}
	}
	m := Missing{
		Key:         ParseKey(b),
		Acknowledge: binary.BigEndian.Uint32(b[KeySize:]),
		Revision:    binary.BigEndian.Uint64(b[KeySize+4:]),
	}
	for b = b[missingSize:]; len(b) > 0; b = b[hostSize:] {
		m.Hosts = append(m.Hosts, registry.Host(b))
	}
	return m, nil
}

// MissingError reports a datagram that says of no flow that it is missing.
type MissingError struct {
	// Length is that of the datagram in bytes.
	Length int
}

// Error returns the length.
func (e *MissingError) Error() string {
	return fmt.Sprintf("a datagram of %d bytes names no missing flow", e.Length)
}

// search is what a balancer knows of a flow that it searches for.
type search struct {
	hosts       []registry.Host // that returned a packet of the flow, in order
	revision    uint64
	acknowledge uint32
	last        time.Duration // when the last report arrived
}

// asked reports whether the upstream on a host returned the packet.
func (s *search) asked(h registry.Host) bool {
	_, found := slices.BinarySearchFunc(s.hosts, h, registry.Host.Compare)
	return found
}

// with returns s with one more host that returned a packet.
func (s search) with(h registry.Host) search {
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

// note takes in a report.
func (ss *searches) note(now time.Duration, m *Missing) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	s, known := ss.byFlow[m.Key]
	if !known && len(ss.byFlow) >= maxMissing {
		return
	}
	if now-s.last >= missingLife {
		s = search{}
	}
	s.acknowledge, s.last = m.Acknowledge, now
	s.revision = max(s.revision, m.Revision)
	for _, h := range m.Hosts {
		s = s.with(h)
	}
	ss.byFlow[m.Key] = s
}

// get returns what is known of a flow.
func (ss *searches) get(now time.Duration, k Key) (search, bool) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	s, ok := ss.byFlow[k]
	return s, ok && now-s.last < missingLife
}

// forget ends the search for a flow.
func (ss *searches) forget(k Key) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	delete(ss.byFlow, k)
}

// keys returns the flows that are searched for, and forgets those of which nothing was heard for long.
func (ss *searches) keys(now time.Duration) []Key {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	var keys []Key
	for k, s := range ss.byFlow {
		if now-s.last >= missingLife {
			delete(ss.byFlow, k)
			continue
		}
		keys = append(keys, k)
	}
	return keys
}

// Missing takes in which upstreams returned a packet of a flow that was searched
// for. It returns a packet to be reset, and true, when no upstream holds the flow.
func (b *Balancer) Missing(now time.Duration, m *Missing) (Packet, bool) {
	b.searches.note(now, m)
	return b.givenUp(now, m.Key)
}

// Unheld returns packets, to be reset, of flows that no upstream holds by what was reported lately.
func (b *Balancer) Unheld(now time.Duration) []Packet {
	var list []Packet
	for _, k := range b.searches.keys(now) {
		if p, ok := b.givenUp(now, k); ok {
			list = append(list, p)
		}
	}
	return list
}

// givenUp returns the packet to be reset when it is certain that no upstream
// holds the flow: each one that may was asked and returned the packet, and the
// list of them is whole. A young list that lacks one that reacts may lack others, too.
func (b *Balancer) givenUp(now time.Duration, k Key) (Packet, bool) {
	f := b.fleet.Load()
	s, searched := b.searches.get(now, k)
	if f == nil || !searched || !f.Settled || s.revision == 0 || f.Snapshot.Revision() < s.revision {
		return Packet{}, false
	}
	if !f.allAsked(now, &s) || f.Young && f.lacks(s.hosts) {
		return Packet{}, false
	}
	sh := b.shard(k)
	sh.mu.Lock()
	_, known := sh.flows[k]
	sh.mu.Unlock()
	b.searches.forget(k)
	return Packet{Source: k.Caller, Destination: k.Address, Flags: ACK, Acknowledge: s.acknowledge}, !known
}

// hopeless reports whether each upstream that may hold the flow has just returned
// a packet of it, so that another search would find nothing.
func (b *Balancer) hopeless(now time.Duration, f *Fleet, k Key) bool {
	s, searched := b.searches.get(now, k)
	return searched && f.allAsked(now, &s)
}
