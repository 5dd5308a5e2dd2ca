package membership

import (
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

const (
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval = 250 * time.Millisecond
	// SuspectAfter is the silence after which a process gets no new flows: two beats lost in a row.
	SuspectAfter = 650 * time.Millisecond
	// HeartbeatsPerRemoteDigest is how many heartbeats go by between two digests for other data
	// centres, where each byte costs more.
	HeartbeatsPerRemoteDigest = 4
	// farSuspectAfter is SuspectAfter for processes that are known by digests: one
	// digest lost, and the way over two delegates.
	farSuspectAfter = HeartbeatsPerRemoteDigest*SuspectAfter - HeartbeatInterval
	// sidecarSuspectAfter is that for sidecars, which a balancer tells what it was told.
	sidecarSuspectAfter = farSuspectAfter + HeartbeatsPerRemoteDigest*HeartbeatInterval
	// farAlone is the silence of digests after which a process that hears no
	// sidecar itself is alone: one digest and what it may be late.
	farAlone = HeartbeatsPerRemoteDigest*HeartbeatInterval + 300*time.Millisecond
	// farPullAfter is for how long a process that is no delegate leaves it to the
	// delegates to bring news from other data centres.
	farPullAfter = time.Second
	// forgetAfter is the silence after which a process is forgotten.
	forgetAfter = 20 * time.Second

	// MaxStoreAge is the age up to which the state of the store counts as known.
	// It leaves most of the three seconds within which changes must be in force.
	MaxStoreAge = 1500 * time.Millisecond
	// readers is how many balancers read the store for all. Another one takes over
	// as soon as it hears that the first one is gone or has no answers.
	readers = 1
)

// Config holds the settings of a Table.
type Config struct {
	Self       registry.Host
	Role       Role
	DataCentre string
	// Seeds are hosts of balancers to begin with; they may be stale.
	Seeds []registry.Host
	// Started is when the process started.
	Started time.Duration
}

// Peer is what is known of another process.
type Peer struct {
	Host      registry.Host
	Heartbeat Heartbeat
	// LastSeen is when Beat was sent, as far as is known.
	LastSeen time.Duration
	// LastDirect is when a beat last came from the process itself; 0 if never.
	LastDirect time.Duration
	learned    time.Duration // when Beat arrived here
	changed    time.Duration // when News.Changed was last true of the process
	news       time.Duration // when the process first told its present version and state
	former     uint32        // what it last told itself of the time before the era
	asked      uint32        // what it was last asked for of that time
}

// ahead reports whether the process has newer routes or upstreams than this one,
// or knows something else of the time before their era.
func (p *Peer) ahead(own Versions) bool {
	if p.Heartbeat.Version > own.Version || p.Heartbeat.State.After(own.State) {
		return true
	}
	return p.Heartbeat.State == own.State && p.former != 0 && p.former != own.FormerHash && p.former != p.asked
}

// Table holds the other processes. It is not safe for concurrent use.
type Table struct {
	cfg         Config
	peers       map[registry.Host]*Peer
	named       map[registry.Host]time.Duration // balancers that others named, and when
	lost        map[registry.Host]time.Duration // sidecars that balancers do not hear, and when they said so
	unlisted    map[registry.Host]time.Duration // live sidecars that a list lacks, and when balancers said so
	absentSince map[registry.Host]time.Duration // sidecars that are absent, and since when
	speakers    map[registry.Host]time.Duration // delegates of other data centres, and when they last sent a digest
	sidecarNews time.Duration                   // when something was last heard of a sidecar of another data centre
	storeSeen   time.Duration                   // when the store last answered anyone; before Started if never
	selfRead    time.Duration                   // when the store last answered this process
}

// New returns a table that knows only the seeds.
func New(cfg Config) *Table {
	t := &Table{
		cfg:         cfg,
		peers:       make(map[registry.Host]*Peer),
		named:       make(map[registry.Host]time.Duration),
		lost:        make(map[registry.Host]time.Duration),
		unlisted:    make(map[registry.Host]time.Duration),
		absentSince: make(map[registry.Host]time.Duration),
		speakers:    make(map[registry.Host]time.Duration),
		storeSeen:   cfg.Started - time.Hour,
		selfRead:    cfg.Started - time.Hour,
	}
	return t
}

// SetSeeds replaces the seeds, as when the settings changed.
func (t *Table) SetSeeds(seeds []registry.Host) {
	t.cfg.Seeds = seeds
}

// Result says what a heartbeat told.
type Result struct {
	// Newer is true when the beat is newer than what was known of its sender.
	Newer bool
	// Restarted is true for the first beat of an incarnation.
	Restarted bool
	// Ahead is true when the sender has newer routes or upstreams than the given ones.
	Ahead bool
	// NewBalancers is true when the beat names balancers that were not known before.
	NewBalancers bool
	// Changed is true when all others should know soon: the process has started,
	// stops, lost or regained the store, or its upstream fell silent or reacts again.
	Changed bool
	// StoreFresh is true when the beat tells of an answer of the store that is
	// clearly newer than the newest one known before.
	StoreFresh bool
}

// Or returns what either of two tells.
func (n Result) Or(o Result) Result {
	return Result{
		Newer:        n.Newer || o.Newer,
		Restarted:    n.Restarted || o.Restarted,
		Ahead:        n.Ahead || o.Ahead,
		NewBalancers: n.NewBalancers || o.NewBalancers,
		Changed:      n.Changed || o.Changed,
		StoreFresh:   n.StoreFresh || o.StoreFresh,
	}
}

// freshBy is by how much an answer of the store must be newer to be passed on at once.
const freshBy = 500 * time.Millisecond

// MergeHeartbeat takes in a beat that the process itself sent.
func (t *Table) MergeHeartbeat(now time.Duration, from registry.Host, b Heartbeat, own Versions) Result {
	if from == t.cfg.Self {
		return Result{}
	}
	if p := t.peers[from]; p != nil && p.Heartbeat.Incarnation == b.Incarnation && b.Sequence < p.Heartbeat.Sequence {
		return Result{} // it was overtaken
	}
	news := t.take(now, now, from, b, own)
	p := t.peers[from]
	p.LastDirect, p.former = now, b.FormerHash
	news.Ahead = p.ahead(own)
	if b.Role == Sidecar && b.DataCentre != t.cfg.DataCentre {
		t.sidecarNews = now
	}
	news.StoreFresh = t.RecordStoreAge(now, b.StoreAge)
	news.NewBalancers = t.noteNamed(now, b.Balancers)
	for _, h := range b.Unlisted {
		t.unlisted[h] = now
	}
	return news
}

// take replaces what is known of a process by a newer beat, sent at the given time.
func (t *Table) take(now, sent time.Duration, from registry.Host, b Heartbeat, own Versions) Result {
	p := t.peers[from]
	if p == nil {
		p = &Peer{Host: from}
		t.peers[from] = p
	}
	news := Result{
		Newer:     true,
		Restarted: p.Heartbeat.Incarnation != b.Incarnation,
	}
	news.Changed = news.Restarted || p.Heartbeat.Stopping != b.Stopping || p.Heartbeat.Reading != b.Reading || p.Heartbeat.Load.Silent != b.Load.Silent
	if news.Changed {
		p.changed = now
	}
	if p.Heartbeat.Version != b.Version || p.Heartbeat.State != b.State {
		p.news = now
	}
	p.Heartbeat, p.LastSeen, p.learned = b, max(p.LastSeen, sent), now
	news.Ahead = p.ahead(own)
	for _, h := range b.Lost {
		t.noteLost(sent, h, &b)
	}
	return news
}

// noteNamed notes balancers that a beat names, and reports whether any was not known.
func (t *Table) noteNamed(now time.Duration, hosts []registry.Host) bool {
	unknown := false
	for _, h := range hosts {
		if h == t.cfg.Self {
			continue
		}
		_, known := t.named[h]
		unknown = unknown || !known && t.peers[h] == nil
		t.named[h] = now
	}
	return unknown
}

// often reports whether the heartbeats of a process come here themselves, each of them.
func (t *Table) often(p *Peer) bool {
	return t.cfg.Role == Balancer && p.Heartbeat.DataCentre == t.cfg.DataCentre
}

// HeartbeatTimeout returns after how much silence a process counts as lost.
func (t *Table) HeartbeatTimeout(p *Peer) time.Duration {
	switch {
	case t.often(p):
		return SuspectAfter
	case t.cfg.Role == Sidecar:
		return sidecarSuspectAfter
	}
	return farSuspectAfter
}

// alive reports whether the process was heard lately and goes on.
func (t *Table) alive(now time.Duration, p *Peer) bool {
	return now-p.LastSeen < t.HeartbeatTimeout(p) && !p.Heartbeat.Stopping
}

// noteLost notes that a balancer does not hear a sidecar any more. Of a sidecar
// that this process hears, it believes that only to balancers of the sidecar's
// own data centre, who hear it most often.
func (t *Table) noteLost(at time.Duration, h registry.Host, b *Heartbeat) {
	p := t.peers[h]
	if p == nil || p.Heartbeat.DataCentre == b.DataCentre {
		t.lost[h] = max(t.lost[h], at)
	}
}

// gone reports whether the sidecar was lately called lost, after this process last heard it.
func (t *Table) gone(now time.Duration, p *Peer) bool {
	at, ok := t.lost[p.Host]
	return ok && p.LastSeen < at && now-at < farSuspectAfter
}

// LiveSidecars returns the sidecars that this process itself hears; those whose
// upstreams do not react are left out. Heartbeats tell of these alone, so that
// no report goes round for ever.
func (t *Table) LiveSidecars(now time.Duration) []registry.Host {
	var hosts []registry.Host
	for _, p := range t.peers {
		if p.Heartbeat.Role == Sidecar && t.alive(now, p) && !t.gone(now, p) && !p.Heartbeat.Load.Silent {
			hosts = append(hosts, p.Host)
		}
	}
	slices.SortFunc(hosts, registry.Host.Compare)
	return hosts
}

// Sidecars returns LiveSidecars and those that a balancer has lately called unlisted.
func (t *Table) Sidecars(now time.Duration) []registry.Host {
	hosts := t.LiveSidecars(now)
	for h, at := range t.unlisted {
		if h != t.cfg.Self && now-at < farSuspectAfter && t.lost[h] <= at {
			hosts = append(hosts, h)
		}
	}
	slices.SortFunc(hosts, registry.Host.Compare)
	return slices.Compact(hosts)
}

// LocalLost returns the sidecars of the data centre that this process itself heard
// once and does not hear any more. Heartbeats tell of these alone.
func (t *Table) LocalLost(now time.Duration) []registry.Host {
	return t.lostOf(now, t.often)
}

func (t *Table) lostOf(now time.Duration, counts func(*Peer) bool) []registry.Host {
	var hosts []registry.Host
	for _, p := range t.peers {
		if p.Heartbeat.Role == Sidecar && counts(p) && !t.alive(now, p) {
			hosts = append(hosts, p.Host)
		}
	}
	slices.SortFunc(hosts, registry.Host.Compare)
	return hosts
}

// Lost returns the sidecars that were heard once and are not heard any more, and
// those that balancers called lost, which this process has not heard of since.
func (t *Table) Lost(now time.Duration) []registry.Host {
	hosts := t.lostOf(now, func(*Peer) bool { return true })
	for h, at := range t.lost {
		p := t.peers[h]
		if now-at < farSuspectAfter && (p == nil || p.LastSeen < at) {
			hosts = append(hosts, h)
		}
	}
	slices.SortFunc(hosts, registry.Host.Compare)
	return slices.Compact(hosts)
}

// Alive reports whether the process on a host was heard lately and goes on.
func (t *Table) Alive(now time.Duration, h registry.Host) bool {
	p := t.peers[h]
	return p != nil && t.alive(now, p)
}

// Isolated reports whether this process has heard sidecars, and hears none of them
// any more, nor of any: nothing that it takes can be served.
func (t *Table) Isolated(now time.Duration) bool {
	known := false
	for _, p := range t.peers {
		if p.Heartbeat.Role != Sidecar {
			continue
		}
		if t.often(p) && now-p.LastSeen < SuspectAfter {
			return false
		}
		if !t.often(p) && now-max(t.sidecarNews, p.LastDirect) < farAlone {
			return false
		}
		known = true
	}
	return known
}

// Peer returns what is known of the process on a host, or nil.
func (t *Table) Peer(h registry.Host) *Peer {
	return t.peers[h]
}

// Peers returns all known processes of a role, in the order of their hosts.
func (t *Table) Peers(role Role) []*Peer {
	return t.sorted(func(p *Peer) bool { return p.Heartbeat.Role == role })
}

// PeerCount returns how many other processes are known.
func (t *Table) PeerCount() int {
	return len(t.peers)
}

// Each calls f with all known processes of a role, in no order.
func (t *Table) Each(role Role, f func(*Peer)) {
	for _, p := range t.peers {
		if p.Heartbeat.Role == role {
			f(p)
		}
	}
}

// sorted returns the processes that count, in the order of their hosts.
func (t *Table) sorted(counts func(*Peer) bool) []*Peer {
	var list []*Peer
	for _, p := range t.peers {
		if counts(p) {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b *Peer) int { return a.Host.Compare(b.Host) })
	return list
}

// Balancers returns the balancers that are believed to be alive, this process included.
func (t *Table) Balancers(now time.Duration) []registry.Host {
	var hosts []registry.Host
	if t.cfg.Role == Balancer {
		hosts = append(hosts, t.cfg.Self)
	}
	for _, p := range t.peers {
		if p.Heartbeat.Role == Balancer && t.alive(now, p) {
			hosts = append(hosts, p.Host)
		}
	}
	slices.SortFunc(hosts, registry.Host.Compare)
	return hosts
}

// Expire forgets processes that have been silent for long.
func (t *Table) Expire(now time.Duration) {
	for h, p := range t.peers {
		if now-p.LastSeen >= forgetAfter {
			delete(t.peers, h)
		}
	}
	for h, at := range t.named {
		if now-at >= forgetAfter {
			delete(t.named, h)
		}
	}
	for _, reports := range []map[registry.Host]time.Duration{t.lost, t.unlisted, t.speakers} {
		for h, at := range reports {
			if now-at >= farSuspectAfter {
				delete(reports, h)
			}
		}
	}
}
