package flow

import (
	"math/bits"
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/forward"
)

// HintsConfig holds the limits of a balancer's hints. The zero value selects the defaults.
type HintsConfig struct {
	// Shards is rounded up to a power of two. Zero selects 64.
	Shards int
	// Size is how many hints are held. Zero selects 262,144.
	Size int
	// Life is how long a hint is used. Zero selects 15 min.
	Life time.Duration
}

const (
	defaultHints    = 1 << 18
	defaultHintLife = 15 * time.Minute
)

// Hints caches at a balancer which upstream owns a flow. It is bounded, and
// the oldest half of a full shard is evicted. Losing a hint costs hops, never a
// flow. It is safe for concurrent use.
type Hints struct {
	shards []hintShard // length is a power of two, fixed
	size   int         // hints a shard holds in each generation
	life   time.Duration
}

// A hintShard holds two generations: hints are added to young; when it is full, old is forgotten.
type hintShard struct {
	mu    sync.Mutex
	young map[uint64]hint
	old   map[uint64]hint
}

type hint struct {
	owner bundle.UpstreamID
	until int64 // Unix time in nanoseconds
}

// NewHints returns an empty cache.
func NewHints(cfg HintsConfig) *Hints {
	if cfg.Shards <= 0 {
		cfg.Shards = defaultShards
	}
	if cfg.Size <= 0 {
		cfg.Size = defaultHints
	}
	if cfg.Life <= 0 {
		cfg.Life = defaultHintLife
	}
	n := 1 << bits.Len(uint(cfg.Shards-1))
	hs := &Hints{shards: make([]hintShard, n), size: max(1, cfg.Size/n/2), life: cfg.Life}
	for i := range hs.shards {
		hs.shards[i].young = make(map[uint64]hint)
	}
	return hs
}

// Add notes that the upstream owns the flow with this hash.
func (hs *Hints) Add(now time.Time, hash uint64, owner bundle.UpstreamID) {
	sh := hs.shard(hash)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if len(sh.young) >= hs.size {
		sh.old, sh.young = sh.young, make(map[uint64]hint)
	}
	sh.young[hash] = hint{owner: owner, until: now.Add(hs.life).UnixNano()}
}

// Forget drops the hint for a flow, when its caller opens it anew.
func (hs *Hints) Forget(hash uint64) {
	sh := hs.shard(hash)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.young, hash)
	delete(sh.old, hash)
}

// Owner returns the upstream that owned the flow with this hash, and false when it is not known.
func (hs *Hints) Owner(now time.Time, hash uint64) (bundle.UpstreamID, bool) {
	sh := hs.shard(hash)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	h, ok := sh.young[hash]
	if !ok {
		h, ok = sh.old[hash]
	}
	if !ok || now.UnixNano() >= h.until {
		return 0, false
	}
	return h.owner, true
}

func (hs *Hints) shard(hash uint64) *hintShard {
	return &hs.shards[hash>>32&uint64(len(hs.shards)-1)]
}

// Health is what a balancer knows of upstreams. Nil functions report false.
type Health struct {
	// Suspect reports whether the upstream's sidecar may be unreachable.
	Suspect func(bundle.UpstreamID) bool
	// Over reports whether the upstream has been gone for so long that others
	// take over its flows.
	Over func(bundle.UpstreamID) bool
}

func (hl Health) suspect(u bundle.UpstreamID) bool {
	return hl.Suspect != nil && hl.Suspect(u)
}

func (hl Health) over(u bundle.UpstreamID) bool {
	return hl.Over != nil && hl.Over(u)
}

// Aim chooses the candidate that a balancer sends a packet to: the owner that a
// hint names, else the first that takes new flows. TCP passes by candidates that
// are suspect. A datagram passes by those that are over only, since a first
// candidate that is suspect may have run its request.
func (hs *Hints) Aim(now time.Time, h *forward.Header, p Packet, hl Health) {
	h.Phase = forward.PhaseAccept
	if p.Opening {
		hs.Forget(p.Key.Hash())
		aimOpening(h, hl)
		return
	}
	if owner, ok := hs.Owner(now, p.Key.Hash()); ok && !hl.suspect(owner) {
		if i := indexOf(h, owner); i != none {
			h.Current = uint8(i)
			return
		}
	}
	avoid := hl.over
	if p.Key.Protocol() == TCP {
		avoid = hl.suspect
	}
	h.Current = uint8(firstTaker(h, avoid))
}

func aimOpening(h *forward.Header, hl Health) {
	i := firstTaker(h, hl.suspect)
	for j := range i {
		if takes(h, j) {
			pass(h, j)
		}
	}
	h.Current = uint8(i)
}

// firstTaker returns the first candidate that takes new flows and is not to be
// avoided, or the first candidate when there is none.
func firstTaker(h *forward.Header, avoid func(bundle.UpstreamID) bool) int {
	for i := range h.Candidates {
		if takes(h, i) && !avoid(h.Candidates[i].Upstream) {
			return i
		}
	}
	return 0
}
