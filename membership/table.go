package membership

import (
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

const (
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval = 250 * time.Millisecond
	// LocalHeartbeatTimeout is the silence after which a process gets no new flows: two lost heartbeats in a row.
	LocalHeartbeatTimeout = 650 * time.Millisecond
	// HeartbeatsPerRemoteDigest is the interval of digests to other data centres as a number
	// of heartbeats. Each byte between data centres costs more than within one.
	HeartbeatsPerRemoteDigest = 4
	// remoteHeartbeatTimeout is LocalHeartbeatTimeout for processes known through digests. It allows for
	// one lost digest and the transit through two delegates. Reports of lost and unlisted
	// sidecars expire after the same time.
	remoteHeartbeatTimeout = HeartbeatsPerRemoteDigest*LocalHeartbeatTimeout - HeartbeatInterval
	// sidecarHeartbeatTimeout is remoteHeartbeatTimeout on sidecars, which receive reports through
	// one more balancer.
	sidecarHeartbeatTimeout = remoteHeartbeatTimeout + HeartbeatsPerRemoteDigest*HeartbeatInterval
	// remoteIsolatedAfter is the time without digests after which a process without direct
	// heartbeats of sidecars is isolated, and after which the report of a remote sidecar is
	// overdue: one digest interval and the delay of a digest.
	remoteIsolatedAfter = HeartbeatsPerRemoteDigest*HeartbeatInterval + 300*time.Millisecond
	// remotePullDelay is how long a process that is not a delegate waits for the delegates
	// to pull newer routes and upstreams from other data centres.
	remotePullDelay = time.Second
	// forgetAfter is the silence after which a process is dropped from the table.
	forgetAfter = 20 * time.Second

	// MaxStoreAge is the maximum age of the newest answer of the store for its state to
	// count as current. It leaves half of the three seconds within which changes must
	// be in force.
	MaxStoreAge = 1500 * time.Millisecond
	// readerCount is the number of balancers that read the store for all processes.
	// Another one takes over when the first one is gone or reports failed reads.
	readerCount = 1
)

// Config holds the settings of a Table.
type Config struct {
	Self       registry.Host
	Role       Role
	DataCentre string
	// Seeds are hosts of balancers to contact first; they may be stale.
	Seeds []registry.Host
	// Started is when the process started.
	Started time.Duration
}

// Peer is the record of another process.
type Peer struct {
	Host      registry.Host
	Heartbeat Heartbeat
	// LastSeen is the estimated time at which Heartbeat was sent.
	LastSeen time.Duration
	// LastDirect is when the last heartbeat arrived from the process itself; 0 if never.
	LastDirect time.Duration
	// directIncarnation is that of this heartbeat; not valid while LastDirect is 0.
	directIncarnation uint32
	// unreadableAt is when the last message of an unknown version arrived from the process
	// itself; 0 if never.
	unreadableAt     time.Duration
	updatedAt        time.Duration // when Heartbeat arrived here
	changedAt        time.Duration // when Result.Changed was last true for the process
	restartedAt      time.Duration // when Result.Restarted was last true for the process
	versionsSince    time.Duration // when its present version and state were first received
	formerHash       uint32        // FormerHash that it last sent itself
	pulledFormerHash uint32        // formerHash as of the last pull from it
	presence         presence
	lineage          lineage
}

// ahead reports whether the process has newer routes or upstreams than this one,
// or other records from before the same era that were not pulled yet.
func (p *Peer) ahead(own Versions) bool {
	if p.Heartbeat.Version > own.Version || p.Heartbeat.State.After(own.State) {
		return true
	}
	return p.Heartbeat.State == own.State && p.formerHash != 0 && p.formerHash != own.FormerHash && p.formerHash != p.pulledFormerHash
}

// Table holds the records of the other processes. It is not safe for concurrent use.
type Table struct {
	cfg               Config
	peers             map[registry.Host]*Peer
	advertised        map[registry.Host]time.Duration // time of the last heartbeat that lists the balancer
	lost              map[registry.Host]time.Duration // time of the last report of the sidecar as lost
	unlisted          map[registry.Host]time.Duration // time of the last report of the live sidecar as not in a list
	absentSince       map[registry.Host]time.Duration // start of the present absence of the sidecar
	digestSenders     map[registry.Host]time.Duration // time of the last digest of the delegate of another data centre
	unreadable        map[registry.Host]time.Duration // time of the last message of an unknown version from the host
	remoteSidecarSeen time.Duration                   // when a remote or reported heartbeat of a sidecar last arrived
	storeSeen         time.Duration                   // newest answer of the store to any process; before Started if none
	lastOwnRead       time.Duration                   // newest answer of the store to this process; before Started if none
	lossyUntil        time.Duration                   // until when this process counts as lossy
	clean             bool                            // cleanReception as of the last UpdateAbsent
	unansweredNeeded  int                             // unanswered queries that make an absence certain, as of the last DueQueries
}

// New returns a table without peers.
func New(cfg Config) *Table {
	t := &Table{
		cfg:           cfg,
		peers:         make(map[registry.Host]*Peer),
		advertised:    make(map[registry.Host]time.Duration),
		lost:          make(map[registry.Host]time.Duration),
		unlisted:      make(map[registry.Host]time.Duration),
		absentSince:   make(map[registry.Host]time.Duration),
		digestSenders: make(map[registry.Host]time.Duration),
		unreadable:    make(map[registry.Host]time.Duration),
		storeSeen:     cfg.Started - time.Hour,
		lastOwnRead:   cfg.Started - time.Hour,

		unansweredNeeded: maxUnanswered,
	}
	return t
}

// SetSeeds replaces the seeds after a change of the settings.
func (t *Table) SetSeeds(seeds []registry.Host) {
	t.cfg.Seeds = seeds
}

// Result reports what a merged heartbeat or digest changed.
type Result struct {
	// Newer is true when the heartbeat replaced the recorded one of its sender.
	Newer bool
	// Restarted is true for the first heartbeat of an incarnation.
	Restarted bool
	// Introduced is true for the first heartbeat of an incarnation that arrived from the
	// process itself. A digest may have reported the incarnation before.
	Introduced bool
	// Ahead is true when a pull from the sender would return newer routes or upstreams,
	// or unknown records from before the era.
	Ahead bool
	// NewBalancers is true when the heartbeat lists balancers that were not known before.
	NewBalancers bool
	// Changed is true for a change that is sent to other processes without delay: the process
	// started or stops, its reads of the store began to fail or succeed, or its upstream
	// stopped or resumed reacting.
	Changed bool
	// StoreFresh is true when the heartbeat reports an answer of the store that is newer
	// than the newest recorded one by more than minStoreAgeGain.
	StoreFresh bool
}

// Or returns a result with each field that is true in n or o.
func (n Result) Or(o Result) Result {
	return Result{
		Newer:        n.Newer || o.Newer,
		Restarted:    n.Restarted || o.Restarted,
		Introduced:   n.Introduced || o.Introduced,
		Ahead:        n.Ahead || o.Ahead,
		NewBalancers: n.NewBalancers || o.NewBalancers,
		Changed:      n.Changed || o.Changed,
		StoreFresh:   n.StoreFresh || o.StoreFresh,
	}
}

// minStoreAgeGain is by how much an answer of the store must be newer than the recorded
// one to be relayed without delay.
const minStoreAgeGain = 500 * time.Millisecond

// MergeHeartbeat merges a heartbeat that arrived from the process itself. Heartbeats
// older than the recorded one, and late ones of the former process on the host, are ignored.
func (t *Table) MergeHeartbeat(now time.Duration, from registry.Host, b Heartbeat, own Versions) Result {
	if from == t.cfg.Self {
		return Result{}
	}
	if p := t.peers[from]; p != nil {
		if p.lineage.outdated(now, b.Incarnation) {
			return Result{}
		}
		if p.Heartbeat.Incarnation == b.Incarnation && b.Sequence < p.Heartbeat.Sequence {
			t.recordDirect(now, p, false)
			return Result{} // a newer heartbeat arrived first
		}
	}
	res := t.merge(now, now, from, b, own)
	p := t.peers[from]
	res.Introduced = p.LastDirect == 0 || p.directIncarnation != b.Incarnation
	p.LastDirect, p.directIncarnation, p.formerHash = now, b.Incarnation, b.FormerHash
	t.recordDirect(now, p, res.Restarted)
	res.Ahead = p.ahead(own)
	if b.Role == Sidecar && b.DataCentre != t.cfg.DataCentre {
		t.remoteSidecarSeen = now
	}
	res.StoreFresh = t.RecordStoreAge(now, b.StoreAge)
	res.NewBalancers = t.recordAdvertised(now, b.Balancers)
	for _, h := range b.Unlisted {
		t.unlisted[h] = now
	}
	return res
}

// recordDirect records that a heartbeat, which may be outdated, arrived from the process itself.
func (t *Table) recordDirect(now time.Duration, p *Peer, restarted bool) {
	p.recordContact(now)
	if t.isDirect(p) {
		t.recordArrival(now, p, restarted)
	}
}

// merge replaces the heartbeat of a process by a newer one that was sent at the given time.
func (t *Table) merge(now, sent time.Duration, from registry.Host, b Heartbeat, own Versions) Result {
	p := t.peers[from]
	if p == nil {
		p = &Peer{Host: from}
		t.peers[from] = p
	}
	res := Result{
		Newer:     true,
		Restarted: p.Heartbeat.Incarnation != b.Incarnation,
	}
	res.Changed = res.Restarted || p.Heartbeat.Stopping != b.Stopping || p.Heartbeat.Reading != b.Reading || p.Heartbeat.Load.Silent != b.Load.Silent
	if res.Changed {
		p.changedAt = now
	}
	if res.Restarted {
		p.lineage, p.restartedAt = p.nextLineage(now), now
	}
	if p.Heartbeat.Version != b.Version || p.Heartbeat.State != b.State {
		p.versionsSince = now
	}
	p.Heartbeat, p.LastSeen, p.updatedAt = b, max(p.LastSeen, sent), now
	res.Ahead = p.ahead(own)
	for _, h := range b.Lost {
		t.recordLost(sent, h, &b)
	}
	return res
}

// recordAdvertised records the balancers that a heartbeat lists, and reports whether any
// was not known.
func (t *Table) recordAdvertised(now time.Duration, hosts []registry.Host) bool {
	unknown := false
	for _, h := range hosts {
		if h == t.cfg.Self {
			continue
		}
		_, known := t.advertised[h]
		unknown = unknown || !known && t.peers[h] == nil
		t.advertised[h] = now
	}
	return unknown
}

// isDirect reports whether all heartbeats of a process are sent to this one directly.
func (t *Table) isDirect(p *Peer) bool {
	return t.cfg.Role == Balancer && p.Heartbeat.DataCentre == t.cfg.DataCentre
}

// HeartbeatTimeout returns the time since Peer.Seen after which a process counts as lost.
func (t *Table) HeartbeatTimeout(p *Peer) time.Duration {
	switch {
	case t.isDirect(p):
		return LocalHeartbeatTimeout
	case t.cfg.Role == Sidecar:
		return sidecarHeartbeatTimeout
	}
	return remoteHeartbeatTimeout
}

// alive reports whether the process has not timed out and is not stopping.
func (t *Table) alive(now time.Duration, p *Peer) bool {
	return now-p.Seen() < t.HeartbeatTimeout(p) && !p.Stopping()
}

// recordLost records that a balancer reports a sidecar as lost. For a sidecar in the
// table, only reports by balancers of the sidecar's own data centre count, because
// these receive all its heartbeats.
func (t *Table) recordLost(at time.Duration, h registry.Host, b *Heartbeat) {
	p := t.peers[h]
	if p == nil || p.Heartbeat.DataCentre == b.DataCentre {
		t.lost[h] = max(t.lost[h], at)
	}
}

// reportedLost reports whether a recent report of the sidecar as lost is newer than its
// last heartbeat.
func (t *Table) reportedLost(now time.Duration, p *Peer) bool {
	at, ok := t.lost[p.Host]
	return ok && p.Seen() < at && now-at < remoteHeartbeatTimeout
}

// LiveSidecars returns the live sidecars of the table, except those whose upstreams do
// not react. Heartbeats report only sidecars of this list as unlisted, and not those that
// others reported as unlisted, so that no report circulates forever.
func (t *Table) LiveSidecars(now time.Duration) []registry.Host {
	var hosts []registry.Host
	for _, p := range t.peers {
		if p.Heartbeat.Role == Sidecar && t.alive(now, p) && !t.reportedLost(now, p) && !p.Heartbeat.Load.Silent {
			hosts = append(hosts, p.Host)
		}
	}
	slices.SortFunc(hosts, registry.Host.Compare)
	return hosts
}

// Sidecars returns LiveSidecars and those that a balancer recently reported as unlisted.
func (t *Table) Sidecars(now time.Duration) []registry.Host {
	hosts := t.LiveSidecars(now)
	for h, at := range t.unlisted {
		if h != t.cfg.Self && now-at < remoteHeartbeatTimeout && t.lost[h] <= at {
			hosts = append(hosts, h)
		}
	}
	slices.SortFunc(hosts, registry.Host.Compare)
	return slices.Compact(hosts)
}

// Alive reports whether the process on a host has not timed out and is not stopping.
func (t *Table) Alive(now time.Duration, h registry.Host) bool {
	p := t.peers[h]
	return p != nil && t.alive(now, p)
}

// Isolated reports whether the table has sidecars, but direct heartbeats and reports have
// timed out for all of them, so that no flow accepted here can be served.
func (t *Table) Isolated(now time.Duration) bool {
	seen := false
	for _, p := range t.peers {
		if p.Heartbeat.Role != Sidecar {
			continue
		}
		if t.isDirect(p) && now-p.Seen() < LocalHeartbeatTimeout {
			return false
		}
		if !t.isDirect(p) && now-max(t.remoteSidecarSeen, p.LastDirect) < remoteIsolatedAfter {
			return false
		}
		seen = true
	}
	return seen
}

// Peer returns the record of the process on a host, or nil.
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

// Each calls f for all known processes of a role, in no particular order.
func (t *Table) Each(role Role, f func(*Peer)) {
	for _, p := range t.peers {
		if p.Heartbeat.Role == role {
			f(p)
		}
	}
}

// sorted returns the matching processes in the order of their hosts.
func (t *Table) sorted(match func(*Peer) bool) []*Peer {
	var list []*Peer
	for _, p := range t.peers {
		if match(p) {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b *Peer) int { return a.Host.Compare(b.Host) })
	return list
}

// Balancers returns the hosts of the live balancers, this process included.
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

// Expire drops processes and reports that have timed out.
func (t *Table) Expire(now time.Duration) {
	for h, p := range t.peers {
		if now-p.Seen() >= forgetAfter {
			delete(t.peers, h)
		}
	}
	for h, at := range t.advertised {
		if now-at >= forgetAfter {
			delete(t.advertised, h)
		}
	}
	for _, reports := range []map[registry.Host]time.Duration{t.lost, t.unlisted, t.digestSenders, t.unreadable} {
		for h, at := range reports {
			if now-at >= remoteHeartbeatTimeout {
				delete(reports, h)
			}
		}
	}
}
