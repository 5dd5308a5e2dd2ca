package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/corianderbay/corianderbay/registry"
)

const (
	// delegateCount is the number of delegates of a data centre, and of the balancers that
	// send digests to a sidecar, so that the loss of one has no effect.
	delegateCount = 2
	// directTimeout is how long after a direct heartbeat a process counts as sending its
	// heartbeats here: one and a half intervals of heartbeats beyond ScopeBalancers, which
	// a process sends at least once per second.
	directTimeout = 1500 * time.Millisecond
	// digestSenderTimeout is how long after its last digest a process counts as a delegate.
	digestSenderTimeout = 1500 * time.Millisecond // one and a half digest intervals
	// startReportTime is the time after its start from which a balancer can report all
	// processes to others that start: two digest intervals.
	startReportTime = 2 * HeartbeatsPerRemoteDigest * HeartbeatInterval
)

// Delegates returns the delegates of a data centre: the first live balancers in hash
// order. In digests they report the processes of their data centre to the delegates
// of the others, and the processes of the others to their own data centre.
func (t *Table) Delegates(now time.Duration, dataCentre string) []registry.Host {
	return t.firstByHash(t.liveBalancers(now, dataCentre))
}

// IsDelegate reports whether this process is a delegate.
func (t *Table) IsDelegate(now time.Duration) bool {
	return t.cfg.Role == Balancer && slices.Contains(t.Delegates(now, t.cfg.DataCentre), t.cfg.Self)
}

// InformsStarted reports whether this process sends reports of all processes to one that
// has just started. The first balancers in hash order do so for their own data centre, and for
// balancers of the others: digests between data centres do not repeat which sidecars stopped or
// lack a balancer, and whether an older balancer there was killed is known here only seconds later.
// Balancers that have not run for startReportTime come after all others, even when they are
// delegates: when several start together, they know less than the older ones, and a sidecar that
// stopped before sends no heartbeat.
func (t *Table) InformsStarted(now time.Duration, h registry.Host) bool {
	p := t.peers[h]
	if p == nil || t.cfg.Role != Balancer {
		return false
	}
	own := t.liveBalancers(now, t.cfg.DataCentre)
	older := slices.DeleteFunc(slices.Clone(own), func(b registry.Host) bool { return !t.hasRun(now, b) })
	younger := slices.DeleteFunc(own, func(b registry.Host) bool { return t.hasRun(now, b) })
	informers := append(t.firstByHash(older), t.firstByHash(younger)...)
	if !slices.Contains(informers[:min(delegateCount, len(informers))], t.cfg.Self) {
		return false
	}
	return p.Heartbeat.Role == Balancer || p.Heartbeat.DataCentre == t.cfg.DataCentre
}

// hasRun reports whether this process, or another one as far as it was heard of, has run for
// startReportTime.
func (t *Table) hasRun(now time.Duration, h registry.Host) bool {
	if h == t.cfg.Self {
		return now-t.cfg.Started >= startReportTime
	}
	return now-t.peers[h].restartedAt >= startReportTime
}

// RemoteDelegates returns the delegates of all other data centres. For a data centre
// without live balancers it returns all known ones: after a partition both sides may
// have timed out, and one of them has to send first.
func (t *Table) RemoteDelegates(now time.Duration) []registry.Host {
	var hosts []registry.Host
	for _, dataCentre := range t.remoteDataCentres() {
		list := t.Delegates(now, dataCentre)
		if len(list) == 0 {
			list = t.knownBalancers(now, dataCentre)
		}
		hosts = append(hosts, list...)
	}
	return hosts
}

// knownBalancers returns the other balancers of a data centre, including those that timed out.
func (t *Table) knownBalancers(now time.Duration, dataCentre string) []registry.Host {
	var hosts []registry.Host
	for _, p := range t.peers {
		if p.Heartbeat.Role == Balancer && p.Heartbeat.DataCentre == dataCentre && now-p.Seen() < forgetAfter {
			hosts = append(hosts, p.Host)
		}
	}
	slices.SortFunc(hosts, registry.Host.Compare)
	return hosts
}

// DigestTargets returns the delegate of each other data centre that this delegate sends
// its digests to: the one with the same index in the order of delegates, so that two
// digests take different paths. For a data centre without live balancers it returns
// all known ones.
func (t *Table) DigestTargets(now time.Duration) []registry.Host {
	index := max(0, slices.Index(t.Delegates(now, t.cfg.DataCentre), t.cfg.Self))
	var hosts []registry.Host
	for _, dataCentre := range t.remoteDataCentres() {
		if h, ok := t.digestTarget(now, dataCentre, index); ok {
			hosts = append(hosts, h)
			continue
		}
		hosts = append(hosts, t.knownBalancers(now, dataCentre)...)
	}
	return hosts
}

// digestTarget returns the delegate of a data centre with the given index. If it sent no
// digest recently, it may be gone, and a balancer that did is preferred.
func (t *Table) digestTarget(now time.Duration, dataCentre string, index int) (registry.Host, bool) {
	ranked := t.Delegates(now, dataCentre)
	if len(ranked) > 0 {
		if h := ranked[index%len(ranked)]; t.sentDigestRecently(now, h) {
			return h, true
		}
	}
	for _, h := range t.liveBalancers(now, dataCentre) {
		if t.sentDigestRecently(now, h) {
			return h, true
		}
	}
	if len(ranked) == 0 {
		return registry.Host{}, false
	}
	return ranked[index%len(ranked)], true
}

func (t *Table) sentDigestRecently(now time.Duration, h registry.Host) bool {
	at, ok := t.digestSenders[h]
	return ok && now-at < digestSenderTimeout
}

// remoteDataCentres returns the names of the other data centres, in order.
func (t *Table) remoteDataCentres() []string {
	var names []string
	for _, p := range t.peers {
		if p.Heartbeat.DataCentre != t.cfg.DataCentre && !slices.Contains(names, p.Heartbeat.DataCentre) {
			names = append(names, p.Heartbeat.DataCentre)
		}
	}
	slices.Sort(names)
	return names
}

// RecordDigestSender records that a process sent a digest. Processes of this data
// centre are ignored.
func (t *Table) RecordDigestSender(now time.Duration, h registry.Host, dataCentre string) {
	if dataCentre != t.cfg.DataCentre {
		t.digestSenders[h] = now
	}
}

// liveBalancers returns the live balancers of a data centre, this process included and
// those without that send an unknown version: they cannot act as delegates for this one.
func (t *Table) liveBalancers(now time.Duration, dataCentre string) []registry.Host {
	var hosts []registry.Host
	if t.cfg.Role == Balancer && dataCentre == t.cfg.DataCentre {
		hosts = append(hosts, t.cfg.Self)
	}
	for _, p := range t.peers {
		if p.Heartbeat.Role == Balancer && p.Heartbeat.DataCentre == dataCentre && t.alive(now, p) && !p.unreadable() {
			hosts = append(hosts, p.Host)
		}
	}
	return hosts
}

// firstByHash returns the first delegateCount hosts in hash order, which is the same in
// all processes. It sorts the slice in place.
func (t *Table) firstByHash(hosts []registry.Host) []registry.Host {
	slices.SortFunc(hosts, func(a, b registry.Host) int { return cmp.Compare(hostHash(a), hostHash(b)) })
	return hosts[:min(delegateCount, len(hosts))]
}

// AdvertisedBalancers returns the balancers to list in a heartbeat to a process of a data
// centre: the live ones there, which receive its heartbeats, and the delegates of all others.
func (t *Table) AdvertisedBalancers(now time.Duration, dataCentre string) []registry.Host {
	hosts := t.liveBalancers(now, dataCentre)
	hosts = append(hosts, t.RemoteDelegates(now)...)
	hosts = append(hosts, t.Delegates(now, t.cfg.DataCentre)...)
	slices.SortFunc(hosts, registry.Host.Compare)
	return slices.Compact(hosts)
}

// Scope is the set of processes that receive a heartbeat.
type Scope int

// The scopes of heartbeats.
const (
	// ScopeBalancers is the balancers of the data centre, which receive every heartbeat.
	ScopeBalancers Scope = iota
	// ScopeDataCentre is all processes that rely on direct heartbeats of this one: the
	// balancers and, from balancers, the sidecars of the data centre.
	ScopeDataCentre
	// ScopeAll is ScopeDataCentre and, from delegates, the delegates of the other data centres.
	ScopeAll
)

// Targets returns the hosts to send heartbeats to. sidecars holds the listed hosts of
// upstreams in the data centre. Beyond ScopeBalancers the targets include advertised
// balancers that were never seen and, from delegates, the seeds. Without a live balancer
// in the data centre the targets include all known balancers; for ScopeBalancers only
// when no balancer is alive anywhere.
func (t *Table) Targets(now time.Duration, scope Scope, sidecars []registry.Host) []registry.Host {
	var targets []registry.Host
	localBalancer := false // whether a live balancer of the data centre is among the targets
	for _, p := range t.peers {
		if now-p.Seen() >= forgetAfter || !t.inScope(p, scope) {
			continue
		}
		targets = append(targets, p.Host)
		localBalancer = localBalancer || p.Heartbeat.Role == Balancer && t.alive(now, p)
	}
	if !localBalancer && (scope > ScopeBalancers || !t.anyBalancerAlive(now)) {
		targets = append(targets, t.allBalancers(now)...)
	}
	if scope > ScopeBalancers {
		targets = append(targets, t.unseenBalancers(now)...)
		if t.cfg.Role == Balancer {
			targets = append(targets, sidecars...)
		}
		if t.IsDelegate(now) {
			targets = append(targets, t.cfg.Seeds...)
		}
	}
	if scope == ScopeAll && t.IsDelegate(now) {
		targets = append(targets, t.RemoteDelegates(now)...)
	}
	slices.SortFunc(targets, registry.Host.Compare)
	targets = slices.Compact(targets)
	return slices.DeleteFunc(targets, func(h registry.Host) bool { return h == t.cfg.Self })
}

// LocalBalancers returns the other known balancers of this data centre, to which a
// delegate sends reports of the other data centres.
func (t *Table) LocalBalancers(now time.Duration) []registry.Host {
	return t.knownBalancers(now, t.cfg.DataCentre)
}

// AssignedSidecars returns the sidecars to which this balancer sends digests of all
// processes: those of its data centre for which it is among the first by hash, which
// spreads the work evenly, and, on a delegate, those without a live balancer in their
// data centre.
func (t *Table) AssignedSidecars(now time.Duration) []registry.Host {
	if t.cfg.Role != Balancer {
		return nil
	}
	var hosts []registry.Host
	if t.IsDelegate(now) {
		hosts = t.orphanedSidecars(now)
	}
	balancers := t.liveBalancers(now, t.cfg.DataCentre)
	for _, p := range t.peers {
		if p.Heartbeat.Role == Sidecar && t.isDirect(p) && now-p.Seen() < forgetAfter && t.isAssigned(p.Host, balancers) {
			hosts = append(hosts, p.Host)
		}
	}
	slices.SortFunc(hosts, registry.Host.Compare)
	return hosts
}

// isAssigned reports whether this balancer is among the first delegateCount for a sidecar.
func (t *Table) isAssigned(sidecar registry.Host, balancers []registry.Host) bool {
	own, before := pairHash(sidecar, t.cfg.Self), 0
	for _, h := range balancers {
		if h != t.cfg.Self && pairHash(sidecar, h) < own {
			before++
		}
	}
	return before < delegateCount
}

// pairHash returns the key by which all processes order the balancers for a sidecar.
func pairHash(sidecar, balancer registry.Host) uint64 {
	return xxhash.Sum64(append(sidecar[:], balancer[:]...))
}

// inScope reports whether a known process receives heartbeats of a scope: balancers of
// the data centre receive all, and its sidecars those of balancers beyond ScopeBalancers.
func (t *Table) inScope(p *Peer, scope Scope) bool {
	if p.Heartbeat.DataCentre != t.cfg.DataCentre {
		return false
	}
	return p.Heartbeat.Role == Balancer || scope > ScopeBalancers && t.cfg.Role == Balancer
}

// allBalancers returns the seeds and all balancers that are known or advertised. They
// receive the heartbeats of a process without a live balancer in its data centre.
func (t *Table) allBalancers(now time.Duration) []registry.Host {
	hosts := slices.Clone(t.cfg.Seeds)
	for _, p := range t.peers {
		if p.Heartbeat.Role == Balancer && now-p.Seen() < forgetAfter {
			hosts = append(hosts, p.Host)
		}
	}
	return append(hosts, t.unseenBalancers(now)...)
}

// anyBalancerAlive reports whether any other balancer is alive.
func (t *Table) anyBalancerAlive(now time.Duration) bool {
	for _, p := range t.peers {
		if p.Heartbeat.Role == Balancer && t.alive(now, p) {
			return true
		}
	}
	return false
}

// unseenBalancers returns advertised balancers from which nothing was received or reported.
func (t *Table) unseenBalancers(now time.Duration) []registry.Host {
	var hosts []registry.Host
	for h, at := range t.advertised {
		if now-at < forgetAfter && t.peers[h] == nil {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// DirectRemoteSidecars returns the sidecars of other data centres that send their heartbeats
// here because they have no live balancer in their own.
func (t *Table) DirectRemoteSidecars(now time.Duration) []registry.Host {
	if t.cfg.Role != Balancer {
		return nil
	}
	var hosts []registry.Host
	for _, p := range t.peers {
		if p.Heartbeat.Role == Sidecar && p.Heartbeat.DataCentre != t.cfg.DataCentre && p.LastDirect > 0 && now-p.LastDirect < directTimeout {
			hosts = append(hosts, p.Host)
		}
	}
	slices.SortFunc(hosts, registry.Host.Compare)
	return hosts
}

// orphanedSidecars returns the direct remote sidecars whose data centre has no live
// balancer, so that no other process sends them digests.
func (t *Table) orphanedSidecars(now time.Duration) []registry.Host {
	return slices.DeleteFunc(t.DirectRemoteSidecars(now), func(h registry.Host) bool {
		return len(t.liveBalancers(now, t.DataCentre(h))) > 0
	})
}

// DataCentre returns the data centre of a process, or an empty string when it is not known.
func (t *Table) DataCentre(h registry.Host) string {
	if h == t.cfg.Self {
		return t.cfg.DataCentre
	}
	if p := t.peers[h]; p != nil {
		return p.Heartbeat.DataCentre
	}
	return ""
}

// BalancersNear returns the live balancers, without this process, in the data centre of a
// host, or in all data centres when that of the host is not known.
func (t *Table) BalancersNear(now time.Duration, h registry.Host) []registry.Host {
	dataCentre := t.DataCentre(h)
	var hosts []registry.Host
	for _, p := range t.peers {
		if p.Heartbeat.Role == Balancer && t.alive(now, p) && (dataCentre == "" || p.Heartbeat.DataCentre == dataCentre) {
			hosts = append(hosts, p.Host)
		}
	}
	slices.SortFunc(hosts, registry.Host.Compare)
	return hosts
}
