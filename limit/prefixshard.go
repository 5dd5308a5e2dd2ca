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
	defaultIPv4PrefixBits = 24
	// ipv6PrefixBits is the length of the IPv6 caller prefixes that share one limit.
	ipv6PrefixBits = 48
	// prefixIdleTimeout is how long a prefix without new flows is kept from eviction.
	prefixIdleTimeout = 10 * time.Second
)

// prefixKey identifies a caller prefix of one service.
type prefixKey struct {
	service bundle.ServiceID
	prefix  netip.Prefix // masked
}

func newPrefixKey(s bundle.ServiceID, l bundle.Limit, caller netip.Addr) prefixKey {
	caller = caller.Unmap()
	bits := l.Bits
	if bits == 0 {
		bits = defaultIPv4PrefixBits
	}
	if caller.Is6() {
		bits = ipv6PrefixBits
	}
	prefix, err := caller.Prefix(bits)
	if err != nil {
		return prefixKey{service: s}
	}
	return prefixKey{service: s, prefix: prefix}
}

func (k prefixKey) hash() uint64 {
	var b [20]byte
	a := k.prefix.Addr().As16()
	copy(b[:16], a[:])
	binary.BigEndian.PutUint32(b[16:], uint32(k.service))
	return xxhash.Sum64(b[:])
}

// prefixEntry holds the token buckets of one caller prefix.
type prefixEntry struct {
	key       prefixKey
	lastFlow  time.Time // time of the latest new flow
	prefix    bucket
	fairShare bucket
}

// prefixShard tracks the caller prefixes of one part of the hash space. It is
// safe for concurrent use.
type prefixShard struct {
	maxEntries int // at least 1, fixed after newPrefixShard

	mu        sync.Mutex
	entries   map[prefixKey]*list.Element
	byRecency *list.List   // of *prefixEntry, most recently used first
	overflow  *prefixEntry // shared by the prefixes that do not fit
}

func newPrefixShard(maxEntries int) prefixShard {
	return prefixShard{
		maxEntries: maxEntries,
		entries:    make(map[prefixKey]*list.Element),
		byRecency:  list.New(),
		overflow:   &prefixEntry{},
	}
}

func (s *prefixShard) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}

// takePrefix takes a token from the prefix's bucket and counts the prefix as
// active in the service.
func (s *prefixShard) takePrefix(k prefixKey, limits flowLimits, now time.Time, service *serviceBucket) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.findOrAdd(k, now)
	service.recordFlow(e.lastFlow, now)
	e.lastFlow = now
	return e.prefix.take(limits.prefix, now)
}

// takeFairShare takes a token from the prefix's fair-share bucket. It returns
// false when the prefix exceeds its fair share of the service.
func (s *prefixShard) takeFairShare(k prefixKey, limits flowLimits, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.findOrAdd(k, now).fairShare.take(limits.fairShare, now)
	return ok
}

// findOrAdd returns the entry of a prefix and adds it when it is missing. A full
// shard evicts idle entries only, so that a flood of prefixes cannot reset the
// buckets of active ones. The caller holds mu.
func (s *prefixShard) findOrAdd(k prefixKey, now time.Time) *prefixEntry {
	if e, ok := s.entries[k]; ok {
		s.byRecency.MoveToFront(e)
		return e.Value.(*prefixEntry)
	}
	if len(s.entries) >= s.maxEntries && !s.evictIdle(now) {
		return s.overflow
	}
	e := &prefixEntry{key: k}
	s.entries[k] = s.byRecency.PushFront(e)
	return e
}

// evictIdle removes the least recently used entry if it is idle.
func (s *prefixShard) evictIdle(now time.Time) bool {
	element := s.byRecency.Back()
	oldest := element.Value.(*prefixEntry)
	if now.Sub(oldest.lastFlow) < prefixIdleTimeout {
		return false
	}
	s.byRecency.Remove(element)
	delete(s.entries, oldest.key)
	return true
}
