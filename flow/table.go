package flow

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
)

// A stamp counts ticks of tickLength since the sidecar started.
type stamp uint32

// tickLength is the resolution of stamps. A stamp overflows after 497 days.
const tickLength = 10 * time.Millisecond

// since returns the ticks from o to s, or 0 when o is later: workers may lock a
// shard in a different order than they read the clock.
func (s stamp) since(o stamp) stamp {
	if s < o {
		return 0
	}
	return s - o
}

// A kind is the kind of an entry of the table.
type kind uint8

const (
	// kindHalfOpen is an accepted TCP flow whose caller has not acknowledged the upstream's SYN-ACK.
	kindHalfOpen kind = 1 + iota
	// kindOwner is a flow that the upstream owns.
	kindOwner
	// kindPassed is a flow that another sidecar may own.
	kindPassed
	// kindRefused is the tombstone of a refused flow.
	kindRefused
)

// owned reports whether the upstream owns the flow.
func (k kind) owned() bool {
	return k == kindHalfOpen || k == kindOwner
}

// An entry holds the state of one flow. Its size matters, since a sidecar holds
// hundreds of thousands of entries.
type entry struct {
	// version is the highest version of a bundle whose order of candidates the entry was
	// made or updated under.
	version uint64
	// target is the upstream to forward packets to first; zero when none is known. Only for kindPassed.
	target bundle.UpstreamID
	// lastUsed is when a packet was last delivered, or when a kindPassed entry was last used.
	lastUsed stamp
	// lastRefresh is when a UDP packet of the flow last came through the home, or, for
	// kindPassed, when the sidecar passed the flow on, or started or last answered a
	// search for it.
	lastRefresh stamp
	// callerISN is the caller's initial sequence number. Only for TCP.
	callerISN uint32
	// nextISN is the caller's ISN of a new incarnation that the upstream has not
	// confirmed; valid with reopening.
	nextISN uint32
	// upstreamNext is one past the highest sequence number that the upstream has
	// sent; valid with answered.
	upstreamNext uint32
	// generation is state.generation at the time when isHome was computed.
	generation uint32
	kind       kind
	flags      flags
}

// flags is the set of flags of an entry.
type flags uint16

const (
	answered  flags = 1 << iota // the upstream has answered the opening
	reopening                   // nextISN is valid
	closing                     // a FIN or RST was seen
	isHome                      // the sidecar is the flow's home; valid for entry.generation
	searching                   // this sidecar searches for the owner; only for kindPassed
	// promised: the sidecar answered a search for the flow, or others may have taken the
	// flow over. It then accepts the flow only after a search of its own, or when the
	// home passes it on. target, if set, is the searching upstream; only for kindPassed.
	promised
	callerClosed   // the caller has sent FIN, or either side RST
	upstreamClosed // the upstream has sent FIN, or either side RST
	// searchedNewer: another sidecar searched for the flow under a newer bundle than
	// this sidecar's, and the flow may have been accepted elsewhere; only for kindPassed.
	searchedNewer
)

// ended reports whether both directions of the flow are closed.
func (f flags) ended() bool {
	return f&(callerClosed|upstreamClosed) == callerClosed|upstreamClosed
}

// A table maps flows to entries. Each shard has its own lock.
type table struct {
	shards []shard // length is a power of two, fixed
	mask   uint64
	owned  atomic.Int64 // entries whose kind is owned
}

// A shard is one part of a table.
type shard struct {
	mu      sync.Mutex
	entries map[Key]entry
	_       [48]byte // keeps the locks of two shards off one cache line
}

func newTable(shards int) *table {
	t := &table{shards: make([]shard, shards), mask: uint64(shards - 1)}
	for i := range t.shards {
		t.shards[i].entries = make(map[Key]entry)
	}
	return t
}

// shard returns the shard of the key.
func (t *table) shard(k Key) *shard {
	return &t.shards[k.Hash()&t.mask]
}

// put stores the entry. The caller holds the shard's lock.
func (t *table) put(sh *shard, k Key, e entry) {
	t.count(sh.entries[k].kind, -1)
	t.count(e.kind, 1)
	sh.entries[k] = e
}

// openFlows returns the number of owned flows that have not ended.
func (t *table) openFlows() int {
	n := 0
	for i := range t.shards {
		n += t.shards[i].openFlows()
	}
	return n
}

// openFlows returns the number of owned flows of the shard that have not ended.
func (sh *shard) openFlows() int {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	n := 0
	for _, e := range sh.entries {
		if e.kind.owned() && !e.flags.ended() {
			n++
		}
	}
	return n
}

// remove removes the entry. The caller holds the shard's lock.
func (t *table) remove(sh *shard, k Key) {
	t.count(sh.entries[k].kind, -1)
	delete(sh.entries, k)
}

func (t *table) count(k kind, n int64) {
	if k.owned() {
		t.owned.Add(n)
	}
}
