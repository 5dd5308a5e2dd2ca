package flow

import (
	"math/bits"
	"sync"
	"sync/atomic"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/forward"
)

// SidecarConfig configures a Sidecar.
type SidecarConfig struct {
	// Upstream is the upstream that the sidecar runs beside. It is required.
	Upstream bundle.UpstreamID
	// Incarnation differs each time the process starts.
	Incarnation uint64
	// Admitter is the admission policy for new flows. Nil selects a Threshold with its defaults.
	Admitter Admitter
	// Shards is rounded up to a power of two. Zero selects 64.
	Shards int
	// HintBudget is the maximum number of bytes of hints sent per second. Zero selects 2000.
	HintBudget int
}

const (
	defaultShards     = 64
	defaultHintBudget = 2000
)

// A Sidecar decides on the packets that the sidecar of one upstream receives. It
// is safe for concurrent use and blocks only on its own locks.
type Sidecar struct {
	cfg            SidecarConfig
	start          time.Time
	table          *table
	peers          *peers
	outbox         *outbox
	state          atomic.Pointer[state]
	highestVersion atomic.Uint64 // highest bundle version in any packet, report or bundle in force
	load           atomic.Uint32 // thousandths of a slot
	backlog        atomic.Bool   // packets queued during a pause may still arrive
	upstreamStart  atomic.Int64  // Unix time in nanoseconds at which the upstream last started empty
	counters       Counters
	// mutations holds the mechanisms that a test has disabled.
	mutations mutation

	// acknowledgedJoin is the last state.joinVersion that each member has acknowledged.
	acknowledgedJoin atomic.Uint64

	mu            sync.Mutex // guards the following fields and replacements of state
	oldestVersion uint64     // version of the first bundle in force
	draining      bool
	listedLeaving bool // the platform's list has the instance as leaving
	nextShard     int  // next shard to sweep
	lastReport    time.Time
}

// A state holds the bundle in force and what is derived from it. It is immutable
// and replaced as a whole.
type state struct {
	view     View
	service  bundle.ServiceID // the service that the upstream serves
	settings Settings
	// listed is false when the bundle does not list the upstream.
	listed bool
	// leaving is true when no new flow is accepted.
	leaving bool
	// generation increases with each change that may move the home of a flow.
	generation uint32
	// orderChanged is when the order of candidates last changed.
	orderChanged stamp
	// orderVersion is the version of the bundle that last changed the order of candidates.
	orderVersion uint64
	// joinVersion is the version of the bundle that the other members must have
	// acknowledged before the sidecar accepts flows: the first one under which it
	// served the service, or a later one that linked another service or moved an
	// address.
	joinVersion uint64
}

// NewSidecar returns a Sidecar that starts at now. It drops every packet until
// its first bundle.
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
	s.upstreamStart.Store(now.UnixNano())
	return s
}

// stamp converts a time to ticks since the sidecar started; the first tick is 1.
func (s *Sidecar) stamp(now time.Time) stamp {
	return stamp(now.Sub(s.start)/tickLength) + 1
}

// Packet decides on a packet of a caller, updates h for a Forward, and updates the
// flow's entry. The hot path, a packet of an owned flow, does not allocate.
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
	s.observeVersion(h.Version)
	c := call{s: s, st: st, now: now, at: s.stamp(now), h: h, p: p, shard: s.table.shard(p.Key)}
	c.serviceMatch = c.matchService()
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

// observeVersion raises highestVersion to the version.
func (s *Sidecar) observeVersion(version uint64) {
	for {
		old := s.highestVersion.Load()
		if version <= old || s.highestVersion.CompareAndSwap(old, version) {
			return
		}
	}
}

// HighestVersion returns the highest version of any bundle in force, and of those
// that packets and reports named.
func (s *Sidecar) HighestVersion() uint64 {
	return s.highestVersion.Load()
}

// Flows returns the number of flows that the upstream owns.
func (s *Sidecar) Flows() int {
	return int(s.table.owned.Load())
}

// OpenFlows returns the number of owned flows that have not ended. It scans the
// whole table.
func (s *Sidecar) OpenFlows() int {
	return s.table.openFlows()
}

// Owns reports whether the upstream owns the flow.
func (s *Sidecar) Owns(k Key) bool {
	sh := s.table.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.entries[k].kind.owned()
}

// PassedTo returns the upstream that a flow was last passed on to, and false when
// none is recorded.
func (s *Sidecar) PassedTo(k Key) (bundle.UpstreamID, bool) {
	sh := s.table.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := sh.entries[k]
	return e.target, e.kind == kindPassed && e.target != 0
}

// SilentUpstreams returns the other upstreams of the service whose sidecars have been
// silent for SuspectTimeout. It returns none when this sidecar may itself be isolated.
func (s *Sidecar) SilentUpstreams(now time.Time) []bundle.UpstreamID {
	return s.peers.silentMembers(now)
}

// Service returns the service that the upstream serves, and false before the first bundle.
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

// restarted reports whether callers may still retransmit non-idempotent requests
// that the upstream ran before its last start.
func (s *Sidecar) restarted(st *state, now time.Time) bool {
	return !st.settings.Idempotent && s.recentlyStarted(st, now)
}

// recentlyStarted reports whether callers may still retransmit requests that the
// upstream ran before its last start.
func (s *Sidecar) recentlyStarted(st *state, now time.Time) bool {
	if s.mutations.has(mutateIgnoreRestart) {
		return false
	}
	return now.UnixNano()-s.upstreamStart.Load() < int64(st.settings.Repeat+MaxPacketLifetime)
}

// JoinAcknowledged reports whether each other member has acknowledged the bundle
// that added this sidecar, or is absent or silent. The sidecar accepts no new flow
// before that.
func (s *Sidecar) JoinAcknowledged(now time.Time) bool {
	st := s.state.Load()
	return st != nil && s.joinAcknowledged(st, now)
}

// joinAcknowledged reports whether each member has acknowledged the bundle that
// added this sidecar, or is absent or silent. Before that, a packet under an older
// order of candidates could not find the flows of this sidecar.
func (s *Sidecar) joinAcknowledged(st *state, now time.Time) bool {
	if s.acknowledgedJoin.Load() == st.joinVersion {
		return true
	}
	if !s.peers.acknowledged(now, st.joinVersion) {
		return false
	}
	s.acknowledgedJoin.Store(st.joinVersion)
	return true
}

// fenced reports whether non-idempotent requests must not be delivered.
func (s *Sidecar) fenced(st *state, now time.Time) bool {
	return s.needsFencing(st) && (!st.listed || s.peers.fenced(now))
}

// needsFencing reports whether requests of the service must not run twice, so that
// the sidecar must be fenced.
func (s *Sidecar) needsFencing(st *state) bool {
	return !st.settings.Idempotent && !s.mutations.has(mutateNoFence)
}

// takeoverDelay returns how long an upstream must be absent before others take
// over its flows.
func (st *state) takeoverDelay() time.Duration {
	return st.settings.TakeoverDelay()
}

// noOtherOwner reports whether no other sidecar can own a flow for which the home
// has no entry.
func (s *Sidecar) noOtherOwner(st *state, now time.Time, version uint64) bool {
	if s.mutations.has(mutateNoSearch) {
		return true
	}
	if version != st.view.Version() || s.highestVersion.Load() > version {
		return false
	}
	return s.peers.agreedFor(now) >= st.settings.guardTime()
}
