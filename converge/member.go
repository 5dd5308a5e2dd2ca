package converge

import (
	"maps"
	"slices"
	"time"
)

const (
	// hopPenalty is added to the age of a platform answer at each hop, so that the
	// age never decreases on the way.
	hopPenalty = 100 * time.Millisecond
)

// Member holds the state of one process and decides its next actions. It is not
// safe for concurrent use.
type Member struct {
	cfg             Config // never changes after New
	bundles         bundleState
	neighbours      neighbours
	readers         readers
	readiness       readiness
	list            Version // adopted instance list; zero before the first
	platformVersion Version // bundle last offered by the platform
	reportedStale   Version // last version reported by StaleOffer
	bundleFetch     fetchState
	listFetch       fetchState
	lastTick        time.Time   // last tick, or resume after a pause
	lastChange      StateChange // last one emitted
	out             []Output
}

// fetchState tracks the fetch of one kind of document.
type fetchState struct {
	peer     string
	version  Version   // zero when no fetch is pending
	deadline time.Time // when the fetch fails
	// platformFailedAt is when a fetch from the platform last failed.
	platformFailedAt time.Time
}

// Status is the status of a Member.
type Status struct {
	State State
	// Isolated is true while neither a peer nor the platform is reachable.
	Isolated bool
	// Reading is true while the process reads the platform.
	Reading bool
	InForce Version
	Pending Version
	List    Version
	// Peers is the number of connected peers.
	Peers int
	// Suspects is the number of peers suspected to be unreachable.
	Suspects int
}

// New returns a Member without any versions or connections. It panics if cfg.Rand is nil.
func New(cfg Config) *Member {
	if cfg.Rand == nil {
		panic(&ConfigError{Field: "Rand"})
	}
	m := &Member{
		cfg:        cfg.withDefaults(),
		bundles:    newBundleState(),
		neighbours: newNeighbours(cfg.Seeds),
	}
	m.neighbours.setPeers(cfg.Name, nil)
	m.readers.updateRank(m.cfg, nil)
	return m
}

// ConfigError reports a field of Config that is missing.
type ConfigError struct{ Field string }

// Error implements error.
func (e *ConfigError) Error() string {
	return "converge: missing config field " + e.Field
}

// Status returns the current status.
func (m *Member) Status() Status {
	return Status{
		State:    m.readiness.state,
		Isolated: m.readiness.isolated,
		Reading:  m.readers.reading,
		InForce:  m.bundles.inForce,
		Pending:  m.bundles.pending,
		List:     m.list,
		Peers:    len(m.neighbours.connectedNames()),
		Suspects: len(m.neighbours.suspects),
	}
}

// Update handles an input and returns the outputs that the caller must execute,
// in order. now must not decrease from call to call.
func (m *Member) Update(now time.Time, in Input) []Output {
	m.out = nil
	if m.readiness.startedAt.IsZero() {
		m.readiness.begin(now)
		m.lastTick, m.readiness.reachableAt, m.readers.answeredAt = now, now, now
	}
	m.detectPause(now)
	m.handle(now, in)
	m.startBundleFetch(now)
	m.startListFetch(now)
	m.updateState(now)
	return m.out
}

func (m *Member) handle(now time.Time, in Input) {
	switch in := in.(type) {
	case Tick:
		m.tick(now)
	case Connected:
		m.neighbours.addLink(now, in.Peer)
		m.sendDigest(now, in.Peer, 0)
	case Disconnected:
		m.neighbours.removeLink(now, in.Peer, in.Graceful)
		m.failFetchesFrom(now, in.Peer)
	case DigestReceived:
		m.receiveDigest(now, in.Peer, in.Digest)
	case BundleOffered:
		m.receiveOffer(in.Version)
	case BundleChecked:
		m.bundleChecked(now, in)
	case FetchFailed:
		m.fetchFailed(now, in)
	case ListOffered:
		m.adoptList(now, in)
	case PlatformAnswered:
		m.readiness.platformAnsweredAt = now
		m.readers.recordAnswer(now, m.cfg, m.cfg.Name, now)
	case PlatformFailed:
		m.readers.substitute = false
	}
}

// tick performs the actions that are due: it maintains connections, sends
// digests and puts a settled bundle in force.
func (m *Member) tick(now time.Time) {
	m.lastTick = now
	dial, drop := m.neighbours.maintain(now, m.cfg)
	for _, name := range drop {
		m.emit(Disconnect{Peer: name})
		m.failFetchesFrom(now, name)
	}
	for _, name := range dial {
		m.emit(Connect{Peer: name})
	}
	for _, name := range m.neighbours.connectedNames() {
		if now.Sub(m.neighbours.links[name].lastSent) >= m.cfg.DigestInterval {
			m.sendDigest(now, name, 0)
		}
	}
	if v, ok := m.bundles.settled(now); ok && m.readiness.synced {
		m.activate(now, v)
	}
}

// detectPause handles a gap since the last tick. After a short gap it postpones
// the pending version until the digests that arrived meanwhile are handled.
func (m *Member) detectPause(now time.Time) {
	gap := now.Sub(m.lastTick)
	if gap > m.cfg.SettleTime/2 {
		m.bundles.postpone(now.Add(m.cfg.SettleTime / 2))
	}
	if gap > m.cfg.PauseThreshold {
		m.resume(now)
	}
}

// resume starts a synchronization round after a pause of the process and
// requests a digest from every connected peer.
func (m *Member) resume(now time.Time) {
	m.lastTick = now
	m.readiness.begin(now)
	m.readiness.reachableAt = now
	for _, name := range slices.Sorted(maps.Keys(m.neighbours.links)) {
		l := m.neighbours.links[name]
		l.lastReceived = now
		l.replied = false
		if l.connected {
			m.sendDigest(now, name, 0)
		}
	}
}

func (m *Member) receiveDigest(now time.Time, peer string, d Digest) {
	l := m.neighbours.links[peer]
	if l == nil || !l.connected {
		return
	}
	l.lastReceived, l.digest = now, d
	l.replied = l.replied || d.Reply == m.readiness.round
	if d.Origin != m.cfg.Name {
		m.readers.recordAnswer(now, m.cfg, d.Origin, now.Add(-d.age()-hopPenalty))
	}
	if m.bundles.isNewConflict(d.InForce) {
		m.emit(Conflict{Have: m.bundles.inForce, Got: d.InForce, Peer: peer})
	}
	if d.InForce == m.bundles.pending && !d.InForce.IsZero() {
		m.activate(now, d.InForce)
	}
	if d.Request != 0 {
		m.sendDigest(now, peer, d.Request)
	}
}

// receiveOffer handles the version that the platform holds. A sequence below the
// one in force means that the platform is stale or that the bundle was published
// too late.
func (m *Member) receiveOffer(v Version) {
	m.platformVersion = v
	have := m.bundles.inForce
	switch {
	case m.bundles.isNewConflict(v):
		m.emit(Conflict{Have: have, Got: v, Peer: FromPlatform})
	case v.Sequence < have.Sequence && v != m.reportedStale:
		m.reportedStale = v
		m.emit(StaleOffer{Have: have, Got: v})
	}
}

// bundleChecked handles the result of a bundle's verification.
func (m *Member) bundleChecked(now time.Time, in BundleChecked) {
	if in.Version == m.bundleFetch.version {
		m.bundleFetch.version = Version{}
	}
	if !in.Valid {
		m.bundles.reject(in.Version)
		return
	}
	if m.inForceElsewhere(in.Version) {
		m.activate(now, in.Version)
		return
	}
	previous := m.bundles.pending
	if !m.bundles.setPending(now, in.Version, m.cfg) {
		return
	}
	if previous.Conflicts(in.Version) {
		m.emit(Conflict{Have: in.Version, Got: previous, Peer: in.Peer})
	}
	m.broadcast(now)
}

func (m *Member) inForceElsewhere(v Version) bool {
	for _, l := range m.neighbours.links {
		if l.connected && l.digest.InForce == v {
			return true
		}
	}
	return false
}

func (m *Member) activate(now time.Time, v Version) {
	if !m.bundles.activate(v) {
		return
	}
	m.emit(Activate{Version: v})
	m.broadcast(now)
}

func (m *Member) adoptList(now time.Time, in ListOffered) {
	if in.Version == m.listFetch.version {
		m.listFetch.version = Version{}
	}
	if in.Version.Compare(m.list) <= 0 {
		return
	}
	m.list = in.Version
	m.neighbours.setPeers(m.cfg.Name, in.Peers)
	m.readers.updateRank(m.cfg, in.Peers)
	m.emit(AdoptList{Version: in.Version})
	m.broadcast(now)
}

func (m *Member) fetchFailed(now time.Time, in FetchFailed) {
	f := m.fetchOfKind(in.Kind)
	if f.version != in.Version || f.peer != in.Peer {
		return
	}
	f.version = Version{}
	if in.Peer == FromPlatform {
		f.platformFailedAt = now
		return
	}
	if l := m.neighbours.links[in.Peer]; l != nil {
		l.fetchFailedAt = now
	}
}

func (m *Member) fetchOfKind(kind Kind) *fetchState {
	if kind == KindList {
		return &m.listFetch
	}
	return &m.bundleFetch
}

// failFetchesFrom fails the pending fetches from a disconnected peer.
func (m *Member) failFetchesFrom(now time.Time, peer string) {
	for _, kind := range []Kind{KindBundle, KindList} {
		f := m.fetchOfKind(kind)
		if !f.version.IsZero() && f.peer == peer {
			m.fetchFailed(now, FetchFailed{Peer: peer, Kind: kind, Version: f.version})
		}
	}
}

// updateState updates the state, and whether the process reads the platform, after an input.
func (m *Member) updateState(now time.Time) {
	m.updateIsolation(now)
	m.updateReadiness(now)
	m.updateReading(now)
	change := StateChange{State: m.readiness.state, Isolated: m.readiness.isolated}
	if m.lastChange != change {
		m.lastChange = change
		m.emit(change)
	}
}

func (m *Member) updateIsolation(now time.Time) {
	connected := len(m.neighbours.connectedNames()) > 0
	platform := now.Sub(m.readiness.platformAnsweredAt) <= m.cfg.PeerTimeout
	if connected || platform {
		m.readiness.reachableAt = now
		m.readiness.isolated = false
		return
	}
	if m.readiness.isolated || now.Sub(m.readiness.reachableAt) <= m.cfg.PeerTimeout {
		return
	}
	m.readiness.isolated = true
	m.readiness.begin(now)
}

func (m *Member) updateReadiness(now time.Time) {
	replies := 0
	ahead := false
	for _, l := range m.neighbours.links {
		if !l.connected || !l.replied {
			continue
		}
		replies++
		ahead = ahead || l.digest.InForce.Sequence > m.bundles.inForce.Sequence
	}
	r := &m.readiness
	if !r.synced && r.hasEnoughReplies(now, m.cfg, replies, len(m.neighbours.peers), !m.list.IsZero()) && !ahead {
		r.synced = true
		m.bundles.restartSettleTime(now, m.cfg)
	}
	if r.synced && !m.bundles.inForce.IsZero() {
		r.state = StateReady
	}
}

// updateReading starts or stops reading the platform. A process without an
// instance list or without connected peers always reads it.
func (m *Member) updateReading(now time.Time) {
	on := m.readers.update(now, m.cfg, m.neighbours.reachableCount())
	alone := len(m.neighbours.connectedNames()) == 0
	on = on || m.list.IsZero() || alone
	if on != m.readers.reading {
		m.readers.reading = on
		m.emit(ReadPlatform{On: on})
	}
}

// broadcast sends a digest to each connected peer whose last digest differs from this process's versions.
func (m *Member) broadcast(now time.Time) {
	for _, name := range m.neighbours.connectedNames() {
		d := m.neighbours.links[name].digest
		if d.InForce == m.bundles.inForce && d.Pending == m.bundles.pending && d.List == m.list {
			continue
		}
		m.sendDigest(now, name, 0)
	}
}

// sendDigest sends a digest to a peer. It requests a reply until the process is
// synced. reply is the number of the request that the digest answers, or zero.
func (m *Member) sendDigest(now time.Time, peer string, reply uint64) {
	l := m.neighbours.links[peer]
	l.lastSent = now
	d := Digest{
		InForce: m.bundles.inForce,
		Pending: m.bundles.pending,
		List:    m.list,
		Origin:  m.readers.origin,
		Reply:   reply,
	}
	if !m.readiness.synced {
		d.Request = m.readiness.round
	}
	if d.Origin != "" {
		d.Age = uint64(now.Sub(m.readers.answeredAt).Milliseconds())
	}
	m.emit(Send{Peer: peer, Digest: d})
}

func (m *Member) emit(o Output) {
	m.out = append(m.out, o)
}
