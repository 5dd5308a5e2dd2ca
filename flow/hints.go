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
	// Size is the maximum number of hints. Zero selects 262,144.
	Size int
	// TTL is how long a hint stays valid. Zero selects 15 min.
	TTL time.Duration
}

const (
	defaultHintsSize = 1 << 18
	defaultHintTTL   = 15 * time.Minute
)

// Hints is a balancer's bounded cache of flow owners. The older half of a full
// shard is evicted. A lost hint costs additional hops but never breaks a flow.
// Hints is safe for concurrent use.
type Hints struct {
	shards []hintShard // length is a power of two, fixed
	size   int         // maximum number of hints in each generation of a shard
	ttl    time.Duration
}

// A hintShard holds two generations of hints. Hints are added to young; when
// young is full, it replaces old.
type hintShard struct {
	mu    sync.Mutex
	young map[uint64]hint
	old   map[uint64]hint
}

type hint struct {
	owner   bundle.UpstreamID
	expires int64 // Unix time in nanoseconds
}

// NewHints returns an empty cache.
func NewHints(cfg HintsConfig) *Hints {
	if cfg.Shards <= 0 {
		cfg.Shards = defaultShards
	}
	if cfg.Size <= 0 {
		cfg.Size = defaultHintsSize
	}
	if cfg.TTL <= 0 {
		cfg.TTL = defaultHintTTL
	}
	n := 1 << bits.Len(uint(cfg.Shards-1))
	hs := &Hints{shards: make([]hintShard, n), size: max(1, cfg.Size/n/2), ttl: cfg.TTL}
	for i := range hs.shards {
		hs.shards[i].young = make(map[uint64]hint)
	}
	return hs
}

// Add records that the upstream owns the flow with this hash.
func (hs *Hints) Add(now time.Time, hash uint64, owner bundle.UpstreamID) {
	sh := hs.shard(hash)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if len(sh.young) >= hs.size {
		sh.old, sh.young = sh.young, make(map[uint64]hint)
	}
	sh.young[hash] = hint{owner: owner, expires: now.Add(hs.ttl).UnixNano()}
}

// Remove removes the hint for the flow with this hash.
func (hs *Hints) Remove(hash uint64) {
	sh := hs.shard(hash)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.young, hash)
	delete(sh.old, hash)
}

// Owner returns the owner of the flow with this hash, and false when there is no valid hint.
func (hs *Hints) Owner(now time.Time, hash uint64) (bundle.UpstreamID, bool) {
	sh := hs.shard(hash)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	h, ok := sh.young[hash]
	if !ok {
		h, ok = sh.old[hash]
	}
	if !ok || now.UnixNano() >= h.expires {
		return 0, false
	}
	return h.owner, true
}

func (hs *Hints) shard(hash uint64) *hintShard {
	return &hs.shards[hash>>32&uint64(len(hs.shards)-1)]
}

// Health reports the state of upstreams as a balancer sees it. Nil functions report false.
type Health struct {
	// Suspect reports whether the upstream's sidecar may be unreachable.
	Suspect func(bundle.UpstreamID) bool
	// TakeoverDue reports whether the upstream has been absent for so long that
	// others take over its flows.
	TakeoverDue func(bundle.UpstreamID) bool
}

func (hl Health) suspect(u bundle.UpstreamID) bool {
	return hl.Suspect != nil && hl.Suspect(u)
}

func (hl Health) takeoverDue(u bundle.UpstreamID) bool {
	return hl.TakeoverDue != nil && hl.TakeoverDue(u)
}

// SelectCandidate selects the candidate that a balancer sends a packet to: the
// owner that a hint names, else the first candidate that takes new flows. TCP
// packets skip suspect candidates. Datagrams skip only candidates that are due
// for takeover, since a suspect first candidate may have run the request.
func (hs *Hints) SelectCandidate(now time.Time, h *forward.Header, p Packet, hl Health) {
	h.Phase = forward.PhaseAccept
	if p.Opening {
		hs.Remove(p.Key.Hash())
		selectForOpening(h, hl)
		return
	}
	if owner, ok := hs.Owner(now, p.Key.Hash()); ok && !hl.suspect(owner) {
		if i := indexOf(h, owner); i != none {
			h.Current = uint8(i)
			return
		}
	}
	avoid := hl.takeoverDue
	if p.Key.Protocol() == TCP {
		avoid = hl.suspect
	}
	h.Current = uint8(firstEligible(h, avoid))
}

func selectForOpening(h *forward.Header, hl Health) {
	i := firstEligible(h, hl.suspect)
	for j := range i {
		if eligible(h, j) {
			markPassed(h, j)
		}
	}
	h.Current = uint8(i)
}

// firstEligible returns the first candidate that takes new flows and for which
// avoid reports false, or 0 when there is none.
func firstEligible(h *forward.Header, avoid func(bundle.UpstreamID) bool) int {
	for i := range h.Candidates {
		if eligible(h, i) && !avoid(h.Candidates[i].Upstream) {
			return i
		}
	}
	return 0
}
