package converge

import (
	"maps"
	"slices"
	"time"
)

const (
	// hopPenalty is added to the age of an answer at each hop, so that an age never shrinks on its way.
	hopPenalty = 100 * time.Millisecond
)

// Member holds what one process knows about the fleet and decides what it does
// next. It is not safe for concurrent use.
type Member struct {
	cfg        Config // never changes after New
	standing   standing
	neighbours neighbours
	readers    readers
	inquiry    inquiry
	list       Version // zero until a list was adopted
	offered    Version // the bundle that the platform last showed
	stale      Version // the last stale offer that was reported
	bundle     fetching
	lists      fetching
	ticked     time.Time   // of the last tick
	change     StateChange // the last one that was emitted
	out        []Output
}

// fetching is a fetch that is under way.
type fetching struct {
	peer    string
	version Version   // zero when no fetch is under way
	until   time.Time // when it counts as failed
	// platformFailed is when the platform last failed to deliver.
	platformFailed time.Time
}

// Status is what a Member knows about itself.
type Status struct {
	State    State
	Isolated bool
	// Reading is true while the process reads the platform.
	Reading bool
	InForce Version
	Pending Version
	List    Version
	// Peers is the number of connected peers.
	Peers int
	// Suspects is the number of peers that could not be reached.
	Suspects int
}

// New returns a Member that knows nothing but its seeds. It panics when cfg.Rand is nil.
func New(cfg Config) *Member {
	if cfg.Rand == nil {
		panic(&ConfigError{Field: "Rand"})
	}
	m := &Member{
		cfg:        cfg.withDefaults(),
		standing:   newStanding(),
		neighbours: newNeighbours(cfg.Seeds),
	}
	m.neighbours.setPeers(cfg.Name, nil)
	m.readers.rank(m.cfg, nil)
	return m
}

// ConfigError reports a field of Config that is missing.
type ConfigError struct{ Field string }

// Error returns the field.
func (e *ConfigError) Error() string {
	return "converge: config lacks " + e.Field
}

// Status returns what the process knows now.
func (m *Member) Status() Status {
	return Status{
		State:    m.inquiry.state,
		Isolated: m.inquiry.isolated,
		Reading:  m.readers.reading,
		InForce:  m.standing.inForce,
		Pending:  m.standing.pending,
		List:     m.list,
		Peers:    len(m.neighbours.up()),
		Suspects: len(m.neighbours.suspects),
	}
}

// Update takes in what happened and returns what the edge does next, in order.
// The time never goes back.
func (m *Member) Update(now time.Time, in Input) []Output {
	m.out = nil
	if m.inquiry.since.IsZero() {
		m.inquiry.begin(now)
		m.ticked, m.inquiry.reachedAt, m.readers.freshAt = now, now, now
	}
	m.notice(now)
	m.take(now, in)
	m.seekBundle(now)
	m.seekList(now)
	m.review(now)
	return m.out
}

func (m *Member) take(now time.Time, in Input) {
	switch in := in.(type) {
	case Tick:
		m.tick(now)
	case Connected:
		m.neighbours.connected(now, in.Peer)
		m.send(now, in.Peer, 0)
	case Disconnected:
		m.neighbours.disconnected(now, in.Peer, in.Graceful)
		m.abandon(now, in.Peer)
	case DigestReceived:
		m.digest(now, in.Peer, in.Digest)
	case BundleOffered:
		m.offer(in.Version)
	case BundleChecked:
		m.fetched(now, in)
	case FetchFailed:
		m.fetchFailed(now, in)
	case ListOffered:
		m.adopt(now, in)
	case PlatformAnswered:
		m.inquiry.platformAt = now
		m.readers.heard(now, m.cfg, m.cfg.Name, now)
	case PlatformFailed:
		m.readers.standIn = false
	}
}

// tick does what is due.
func (m *Member) tick(now time.Time) {
	m.ticked = now
	dial, drop := m.neighbours.maintain(now, m.cfg)
	for _, name := range drop {
		m.emit(Disconnect{Peer: name})
		m.abandon(now, name)
	}
	for _, name := range dial {
		m.emit(Connect{Peer: name})
	}
	for _, name := range m.neighbours.up() {
		if now.Sub(m.neighbours.links[name].told) >= m.cfg.DigestInterval {
			m.send(now, name, 0)
		}
	}
	if v, ok := m.standing.due(now); ok && m.inquiry.informed {
		m.enforce(now, v)
	}
}

// notice acts on a gap since the last tick. After a short one a pending version
// waits until what peers told meanwhile is taken in.
func (m *Member) notice(now time.Time) {
	gap := now.Sub(m.ticked)
	if gap > m.cfg.SettleTime/2 {
		m.standing.delay(now.Add(m.cfg.SettleTime / 2))
	}
	if gap > m.cfg.PauseThreshold {
		m.wake(now)
	}
}

// wake asks everyone again, after a gap between ticks which says that the process was paused.
func (m *Member) wake(now time.Time) {
	m.ticked = now
	m.inquiry.begin(now)
	m.inquiry.reachedAt = now
	for _, name := range slices.Sorted(maps.Keys(m.neighbours.links)) {
		l := m.neighbours.links[name]
		l.heard = now
		l.answered = false
		if l.up {
			m.send(now, name, 0)
		}
	}
}

func (m *Member) digest(now time.Time, peer string, d Digest) {
	l := m.neighbours.links[peer]
	if l == nil || !l.up {
		return
	}
	l.heard, l.digest = now, d
	l.answered = l.answered || d.Reply == m.inquiry.round
	if d.Origin != m.cfg.Name {
		m.readers.heard(now, m.cfg, d.Origin, now.Add(-d.age()-hopPenalty))
	}
	if m.standing.conflict(d.InForce) {
		m.emit(Conflict{Have: m.standing.inForce, Got: d.InForce, Peer: peer})
	}
	if d.InForce == m.standing.pending && !d.InForce.IsZero() {
		m.enforce(now, d.InForce)
	}
	if d.Request != 0 {
		m.send(now, peer, d.Request)
	}
}

// offer takes in what the platform holds. A number below the one in force is a
// stale platform or a roll that came too late.
func (m *Member) offer(v Version) {
	m.offered = v
	have := m.standing.inForce
	switch {
	case m.standing.conflict(v):
		m.emit(Conflict{Have: have, Got: v, Peer: FromPlatform})
	case v.Sequence < have.Sequence && v != m.stale:
		m.stale = v
		m.emit(StaleOffer{Have: have, Got: v})
	}
}

// fetched takes in a checked bundle.
func (m *Member) fetched(now time.Time, in BundleChecked) {
	if in.Version == m.bundle.version {
		m.bundle.version = Version{}
	}
	if !in.Valid {
		m.standing.reject(in.Version)
		return
	}
	if m.lockedElsewhere(in.Version) {
		m.enforce(now, in.Version)
		return
	}
	rival := m.standing.pending
	if !m.standing.hold(now, in.Version, m.cfg) {
		return
	}
	if rival.Conflicts(in.Version) {
		m.emit(Conflict{Have: in.Version, Got: rival, Peer: in.Peer})
	}
	m.flood(now)
}

func (m *Member) lockedElsewhere(v Version) bool {
	for _, l := range m.neighbours.links {
		if l.up && l.digest.InForce == v {
			return true
		}
	}
	return false
}

func (m *Member) enforce(now time.Time, v Version) {
	if !m.standing.enforce(v) {
		return
	}
	m.emit(Activate{Version: v})
	m.flood(now)
}

func (m *Member) adopt(now time.Time, in ListOffered) {
	if in.Version == m.lists.version {
		m.lists.version = Version{}
	}
	if in.Version.Compare(m.list) <= 0 {
		return
	}
	m.list = in.Version
	m.neighbours.setPeers(m.cfg.Name, in.Peers)
	m.readers.rank(m.cfg, in.Peers)
	m.emit(AdoptList{Version: in.Version})
	m.flood(now)
}

func (m *Member) fetchFailed(now time.Time, in FetchFailed) {
	f := m.fetchOf(in.Kind)
	if f.version != in.Version || f.peer != in.Peer {
		return
	}
	f.version = Version{}
	if in.Peer == FromPlatform {
		f.platformFailed = now
		return
	}
	if l := m.neighbours.links[in.Peer]; l != nil {
		l.failed = now
	}
}

func (m *Member) fetchOf(kind Kind) *fetching {
	if kind == KindList {
		return &m.lists
	}
	return &m.bundle
}

// abandon gives up fetches from a peer that went away.
func (m *Member) abandon(now time.Time, peer string) {
	for _, kind := range []Kind{KindBundle, KindList} {
		f := m.fetchOf(kind)
		if !f.version.IsZero() && f.peer == peer {
			m.fetchFailed(now, FetchFailed{Peer: peer, Kind: kind, Version: f.version})
		}
	}
}

// review draws the conclusions of an input: the state, and whether to read the platform.
func (m *Member) review(now time.Time) {
	m.reviewReach(now)
	m.reviewState(now)
	m.reviewReading(now)
	change := StateChange{State: m.inquiry.state, Isolated: m.inquiry.isolated}
	if m.change != change {
		m.change = change
		m.emit(change)
	}
}

func (m *Member) reviewReach(now time.Time) {
	up := len(m.neighbours.up()) > 0
	platform := now.Sub(m.inquiry.platformAt) <= m.cfg.PeerTimeout
	if up || platform {
		m.inquiry.reachedAt = now
		m.inquiry.isolated = false
		return
	}
	if m.inquiry.isolated || now.Sub(m.inquiry.reachedAt) <= m.cfg.PeerTimeout {
		return
	}
	m.inquiry.isolated = true
	m.inquiry.begin(now)
}

func (m *Member) reviewState(now time.Time) {
	answers := 0
	ahead := false
	for _, l := range m.neighbours.links {
		if !l.up || !l.answered {
			continue
		}
		answers++
		ahead = ahead || l.digest.InForce.Sequence > m.standing.inForce.Sequence
	}
	q := &m.inquiry
	if !q.informed && q.enough(now, m.cfg, answers, len(m.neighbours.peers), !m.list.IsZero()) && !ahead {
		q.informed = true
		m.standing.resettle(now, m.cfg)
	}
	if q.informed && !m.standing.inForce.IsZero() {
		q.state = StateReady
	}
}

func (m *Member) reviewReading(now time.Time) {
	on := m.readers.update(now, m.cfg, m.neighbours.reach())
	alone := len(m.neighbours.up()) == 0
	on = on || m.list.IsZero() || alone
	if on != m.readers.reading {
		m.readers.reading = on
		m.emit(ReadPlatform{On: on})
	}
}

// flood tells every peer that does not know yet.
func (m *Member) flood(now time.Time) {
	for _, name := range m.neighbours.up() {
		d := m.neighbours.links[name].digest
		if d.InForce == m.standing.inForce && d.Pending == m.standing.pending && d.List == m.list {
			continue
		}
		m.send(now, name, 0)
	}
}

// send tells a peer where the process stands, and asks as long as it is not informed.
func (m *Member) send(now time.Time, peer string, answer uint64) {
	l := m.neighbours.links[peer]
	l.told = now
	d := Digest{
		InForce: m.standing.inForce,
		Pending: m.standing.pending,
		List:    m.list,
		Origin:  m.readers.origin,
		Reply:   answer,
	}
	if !m.inquiry.informed {
		d.Request = m.inquiry.round
	}
	if d.Origin != "" {
		d.Age = uint64(now.Sub(m.readers.freshAt).Milliseconds())
	}
	m.emit(Send{Peer: peer, Digest: d})
}

func (m *Member) emit(o Output) {
	m.out = append(m.out, o)
}
