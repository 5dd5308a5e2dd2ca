package flow

import (
	"math/bits"
	"sync"
	"sync/atomic"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/forward"
)

// SidecarConfig configures a sidecar's decisions.
type SidecarConfig struct {
	// Upstream is the upstream that the sidecar stands beside. It is required.
	Upstream bundle.UpstreamID
	// Incarnation differs each time the process starts.
	Incarnation uint64
	// Admitter accepts new flows. Nil selects a Threshold with its defaults.
	Admitter Admitter
	// Shards is rounded up to a power of two. Zero selects 64.
	Shards int
	// HintBudget is how many bytes of hints are sent a second. Zero selects 2000.
	HintBudget int
}

const (
	defaultShards     = 64
	defaultHintBudget = 2000
)

// A Sidecar decides what happens to the packets that reach the sidecar of one
// upstream. It is safe for concurrent use; it never blocks on anything but its own locks.
type Sidecar struct {
	cfg      SidecarConfig
	start    time.Time
	table    *table
	peers    *peers
	outbox   *outbox
	state    atomic.Pointer[state]
	heard    atomic.Uint64 // highest bundle that a packet or report named
	load     atomic.Uint32 // thousandths of a slot
	backlog  atomic.Bool   // packets that waited during a pause are still arriving
	born     atomic.Int64  // Unix time in nanoseconds since when the upstream remembers its requests
	counters Counters
	// mutations is for tests that switch one mechanism off.
	mutations mutation

	// known is the bundle of state.joined once each member knew that it exists.
	known atomic.Uint64

	mu         sync.Mutex // guards what follows and replacements of state
	oldest     uint64     // first bundle in force
	draining   bool
	retiring   bool // the platform's list says that the instance is leaving
	swept      int  // next shard to sweep
	lastReport time.Time
}

// A state is what a sidecar acts on until the next bundle or drain. It is immutable.
type state struct {
	view     View
	service  bundle.ServiceID // the service that the upstream serves now
	settings Settings
	// listed is false when the bundle does not name the upstream.
	listed bool
	// leaving is true when no new flow is accepted.
	leaving bool
	// generation grows with each change that may move a flow's first candidate.
	generation uint32
	// changed is when the order of candidates last changed.
	changed stamp
	// ordered is the bundle that last changed the order of candidates.
	ordered uint64
	// joined is the first bundle under which the sidecar served the service.
	joined uint64
}

// NewSidecar returns the decisions of a sidecar that starts at now. Until its
// first bundle it drops every packet.
func NewSidecar(cfg SidecarConfig, now time.Time) *Sidecar {
	if cfg.Admitter == nil {
		cfg.Admitter = Threshold{}
	}
	if cfg.Shards <= 0 {
		cfg.Shards = defaultShards
	}
	if cfg.HintBudget == 0 {
		cfg.HintBudget = defaultHintBudget
	}
	cfg.Shards = 1 << bits.Len(uint(cfg.Shards-1))
	s := &Sidecar{
		cfg:    cfg,
		start:  now,
		table:  newTable(cfg.Shards),
		peers:  newPeers(cfg.Upstream),
		outbox: newOutbox(cfg.HintBudget),
	}
	s.born.Store(now.UnixNano())
	return s
}

// stamp converts a time to ticks since the sidecar started.
func (s *Sidecar) stamp(now time.Time) stamp {
	return stamp(now.Sub(s.start)/tickLength) + 1
}

// Packet decides on a packet of a caller, edits h for a Forward, and takes
// memory of the flow. The hot path, a packet of an owned flow, allocates nothing.
func (s *Sidecar) Packet(now time.Time, h *forward.Header, p Packet) Action {
	st := s.state.Load()
	if s.backlog.Load() {
		return s.drop(ReasonBacklog)
	}
	if st == nil {
		return s.drop(ReasonUnsure)
	}
	if !valid(h) {
		return s.drop(ReasonHeader)
	}
	h.Hops++
	if h.Hops > maxHops {
		return s.drop(ReasonHops)
	}
	s.hear(h.Version)
	c := call{s: s, st: st, now: now, at: s.stamp(now), h: h, p: p, shard: s.table.shard(p.Key)}
	c.mine = c.named()
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	if h.Candidates[h.Current].Upstream != s.cfg.Upstream {
		return c.misdirected()
	}
	if p.Key.Protocol() == TCP {
		return c.tcp()
	}
	return c.udp()
}

// hear notes that a bundle of this version exists.
func (s *Sidecar) hear(version uint64) {
	for {
		old := s.heard.Load()
		if version <= old || s.heard.CompareAndSwap(old, version) {
			return
		}
	}
}

// Heard returns the highest bundle version that a packet or report named.
func (s *Sidecar) Heard() uint64 {
	return s.heard.Load()
}

// Flows returns how many flows the upstream owns.
func (s *Sidecar) Flows() int {
	return int(s.table.owned.Load())
}

// Open returns how many flows the upstream owns that have not ended. It reads
// the whole table.
func (s *Sidecar) Open() int {
	return s.table.open()
}

// Owns reports whether the upstream owns the flow.
func (s *Sidecar) Owns(k Key) bool {
	sh := s.table.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.entries[k].kind.owned()
}

// Passed returns the upstream that a flow was last handed to, and false when
// the sidecar remembers none.
func (s *Sidecar) Passed(k Key) (bundle.UpstreamID, bool) {
	sh := s.table.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := sh.entries[k]
	return e.target, e.kind == kindPassed && e.target != 0
}

// Silent returns the other upstreams of the service whose sidecars have been
// silent for SuspectTime; none when this sidecar may itself be cut off.
func (s *Sidecar) Silent(now time.Time) []bundle.UpstreamID {
	return s.peers.silentMembers(now)
}

// Service returns the service that the upstream serves now, and false before the first bundle.
func (s *Sidecar) Service() (bundle.ServiceID, bool) {
	st := s.state.Load()
	if st == nil {
		return 0, false
	}
	return st.service, true
}

// drop counts and returns a Drop.
func (s *Sidecar) drop(r Reason) Action {
	s.counters.Dropped.Add(1)
	return Drop{Reason: r}
}

// restarted reports whether the upstream may have run, before its last start,
// requests that callers may still repeat.
func (s *Sidecar) restarted(st *state, now time.Time) bool {
	return !st.settings.Idempotent && s.young(st, now)
}

// young reports whether the upstream started so lately that callers may still
// repeat requests that it forgot.
func (s *Sidecar) young(st *state, now time.Time) bool {
	if s.mutations.has(mutateForgetRestart) {
		return false
	}
	return now.UnixNano()-s.born.Load() < int64(st.settings.Repeat+MaxPacketLife)
}

// Introduced reports whether the sidecar may take new flows as far as the other
// members are concerned: each knows of the bundle that added this one, or is silent.
func (s *Sidecar) Introduced(now time.Time) bool {
	st := s.state.Load()
	return st != nil && s.introduced(st, now)
}

// introduced reports whether each member knows of the bundle that added this
// sidecar. Before that, a packet with an older order could not find its flows.
func (s *Sidecar) introduced(st *state, now time.Time) bool {
	if s.known.Load() == st.joined {
		return true
	}
	if !s.peers.know(now, st.joined) {
		return false
	}
	s.known.Store(st.joined)
	return true
}

// fenced reports whether non-idempotent requests must not be delivered.
func (s *Sidecar) fenced(st *state, now time.Time) bool {
	return s.guarded(st) && (!st.listed || s.peers.fenced(now))
}

// guarded reports whether requests of the service must not run twice.
func (s *Sidecar) guarded(st *state) bool {
	return !st.settings.Idempotent && !s.mutations.has(mutateNoFence)
}

// takeover returns how long an upstream must be gone before others take over its flows.
func (st *state) takeover() time.Duration {
	return st.settings.Takeover()
}

// sure reports whether no other sidecar can own a flow that the first candidate does not know.
func (s *Sidecar) sure(st *state, now time.Time, version uint64) bool {
	if s.mutations.has(mutateAlwaysSure) {
		return true
	}
	if version != st.view.Version() || s.heard.Load() > version {
		return false
	}
	return s.peers.agreedFor(now) >= st.settings.guard()
}
