package limit

import (
	"container/list"
	"encoding/binary"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/corianderbay/corianderbay/bundle"
)

const (
	defaultBits = 24
	// ipv6Bits is the length of an IPv6 caller prefix that shares one limit.
	ipv6Bits = 48
	// idleAfter is how long a prefix without flows keeps its room.
	idleAfter = 10 * time.Second
)

// callerKey names a caller prefix of one service.
type callerKey struct {
	service bundle.ServiceID
	prefix  netip.Prefix // masked
}

func newCallerKey(s bundle.ServiceID, l bundle.Limit, caller netip.Addr) callerKey {
	caller = caller.Unmap()
	bits := l.Bits
	if bits == 0 {
		bits = defaultBits
	}
	if caller.Is6() {
		bits = ipv6Bits
	}
	prefix, err := caller.Prefix(bits)
	if err != nil {
		return callerKey{service: s}
	}
	return callerKey{service: s, prefix: prefix}
}

func (k callerKey) hash() uint64 {
	var b [20]byte
	a := k.prefix.Addr().As16()
	copy(b[:16], a[:])
	binary.BigEndian.PutUint32(b[16:], uint32(k.service))
	return xxhash.Sum64(b[:])
}

// callerEntry holds the buckets of one caller prefix.
type callerEntry struct {
	key    callerKey
	last   time.Time // of the latest flow
	prefix bucket
	fair   bucket
}

// callerShard holds the caller prefixes of one part of the hash space. It is
// safe for concurrent use.
type callerShard struct {
	max int // entries held, at least 1, fixed after newCallerShard

	mu       sync.Mutex
	entries  map[callerKey]*list.Element
	order    *list.List   // of *callerEntry, the latest flow first
	overflow *callerEntry // shared by the prefixes that find no room
}

func newCallerShard(maxEntries int) callerShard {
	return callerShard{
		max:      maxEntries,
		entries:  make(map[callerKey]*list.Element),
		order:    list.New(),
		overflow: &callerEntry{},
	}
}

func (s *callerShard) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}

// prefix takes a flow from the prefix's bucket.
func (s *callerShard) prefix(k callerKey, b bounds, now time.Time, service *serviceBucket) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.find(k, now)
	service.seen(e.last, now)
	e.last = now
	return e.prefix.take(b.prefix, now)
}

// fair reports whether the prefix is below its fair share of the service.
func (s *callerShard) fair(k callerKey, b bounds, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.find(k, now).fair.take(b.fair, now)
	return ok
}

// find returns the entry of a prefix. In a full shard only an idle entry makes
// room, so that a flood of prefixes cannot renew the buckets of the active
// ones. The caller holds mu.
func (s *callerShard) find(k callerKey, now time.Time) *callerEntry {
	if e, ok := s.entries[k]; ok {
		s.order.MoveToFront(e)
		return e.Value.(*callerEntry)
	}
	if len(s.entries) >= s.max && !s.evict(now) {
		return s.overflow
	}
	e := &callerEntry{key: k}
	s.entries[k] = s.order.PushFront(e)
	return e
}

// evict drops the entry with the oldest flow when it is idle.
func (s *callerShard) evict(now time.Time) bool {
	back := s.order.Back()
	oldest := back.Value.(*callerEntry)
	if now.Sub(oldest.last) < idleAfter {
		return false
	}
	s.order.Remove(back)
	delete(s.entries, oldest.key)
	return true
}
