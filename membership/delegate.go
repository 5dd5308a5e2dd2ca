package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/corianderbay/corianderbay/registry"
)

const (
	// delegates is how many balancers speak for a data centre, so that the loss of one costs nothing.
	delegates = 2
	// directFor is for how long after it was heard a process counts as one that
	// sends its heartbeats here: one and a half of those that go far.
	directFor = 1500 * time.Millisecond
	// speakerFor is for how long after its last digest a process surely is a delegate.
	speakerFor = 1500 * time.Millisecond // a digest and a half
)

// Delegates returns the balancers that speak for a data centre: the first by hash
// of those alive. They tell the delegates of other data centres, in digests, of
// the processes of their own, and their own of the others.
func (t *Table) Delegates(now time.Duration, dataCentre string) []registry.Host {
	return t.firstByHash(t.balancersOf(now, dataCentre))
}

// IsDelegate reports whether this process is a delegate.
func (t *Table) IsDelegate(now time.Duration) bool {
	return t.cfg.Role == Balancer && slices.Contains(t.Delegates(now, t.cfg.DataCentre), t.cfg.Self)
}

// RemoteDelegates returns the delegates of all other data centres. Where no balancer
// is heard of, it returns all that are known: both sides may have fallen silent for
// each other, and one has to speak first.
func (t *Table) RemoteDelegates(now time.Duration) []registry.Host {
	var hosts []registry.Host
	for _, dataCentre := range t.farCentres() {
		list := t.Delegates(now, dataCentre)
		if len(list) == 0 {
			list = t.knownBalancers(now, dataCentre)
		}
		hosts = append(hosts, list...)
	}
	return hosts
}

// knownBalancers returns the other balancers of a data centre, silent ones included.
func (t *Table) knownBalancers(now time.Duration, dataCentre string) []registry.Host {
	var hosts []registry.Host
	for _, p := range t.peers {
		if p.Heartbeat.Role == Balancer && p.Heartbeat.DataCentre == dataCentre && now-p.LastSeen < forgetAfter {
			hosts = append(hosts, p.Host)
		}
	}
	slices.SortFunc(hosts, registry.Host.Compare)
	return hosts
}

// DigestTargets returns the delegate of each other data centre that this one sends its
// digests to: the one with its own place in the order there, so that two digests
// go different ways. Where no balancer is heard of, it returns all that are known.
func (t *Table) DigestTargets(now time.Duration) []registry.Host {
	place := max(0, slices.Index(t.Delegates(now, t.cfg.DataCentre), t.cfg.Self))
	var hosts []registry.Host
	for _, dataCentre := range t.farCentres() {
		if h, ok := t.partner(now, dataCentre, place); ok {
			hosts = append(hosts, h)
			continue
		}
		hosts = append(hosts, t.knownBalancers(now, dataCentre)...)
	}
	return hosts
}

// partner returns the delegate of a data centre with a place in its order. One
// that sent no digest lately may be gone, so that another one which did goes before it.
func (t *Table) partner(now time.Duration, dataCentre string, place int) (registry.Host, bool) {
	ranked := t.Delegates(now, dataCentre)
	if len(ranked) > 0 {
		if h := ranked[place%len(ranked)]; t.speakerLately(now, h) {
			return h, true
		}
	}
	for _, h := range t.balancersOf(now, dataCentre) {
		if t.speakerLately(now, h) {
			return h, true
		}
	}
	if len(ranked) == 0 {
		return registry.Host{}, false
	}
	return ranked[place%len(ranked)], true
}

func (t *Table) speakerLately(now time.Duration, h registry.Host) bool {
	at, ok := t.speakers[h]
	return ok && now-at < speakerFor
}

// farCentres returns the names of the other data centres, in order.
func (t *Table) farCentres() []string {
	var names []string
	for _, p := range t.peers {
		if p.Heartbeat.DataCentre != t.cfg.DataCentre && !slices.Contains(names, p.Heartbeat.DataCentre) {
			names = append(names, p.Heartbeat.DataCentre)
		}
	}
	slices.Sort(names)
	return names
}

// RecordDigestSender notes that a process of another data centre sent a digest, as delegates do.
func (t *Table) RecordDigestSender(now time.Duration, h registry.Host, dataCentre string) {
	if dataCentre != t.cfg.DataCentre {
		t.speakers[h] = now
	}
}

// balancersOf returns the live balancers of a data centre, this process included.
func (t *Table) balancersOf(now time.Duration, dataCentre string) []registry.Host {
	var hosts []registry.Host
	if t.cfg.Role == Balancer && dataCentre == t.cfg.DataCentre {
		hosts = append(hosts, t.cfg.Self)
	}
	for _, p := range t.peers {
		if p.Heartbeat.Role == Balancer && p.Heartbeat.DataCentre == dataCentre && t.alive(now, p) {
			hosts = append(hosts, p.Host)
		}
	}
	return hosts
}

// firstByHash returns the first hosts in an order that all processes share. It changes the slice.
func (t *Table) firstByHash(hosts []registry.Host) []registry.Host {
	slices.SortFunc(hosts, func(a, b registry.Host) int { return cmp.Compare(hostHash(a), hostHash(b)) })
	return hosts[:min(delegates, len(hosts))]
}

// AdvertisedBalancers returns the balancers to name to a process of a data centre: the live
// ones there, which it sends its heartbeats to, and the delegates of all others.
func (t *Table) AdvertisedBalancers(now time.Duration, dataCentre string) []registry.Host {
	hosts := t.balancersOf(now, dataCentre)
	hosts = append(hosts, t.RemoteDelegates(now)...)
	hosts = append(hosts, t.Delegates(now, t.cfg.DataCentre)...)
	slices.SortFunc(hosts, registry.Host.Compare)
	return slices.Compact(hosts)
}

// Scope says how far a heartbeat goes.
type Scope int

// The reaches of heartbeats.
const (
	// ScopeBalancers is the balancers of the data centre, who hear each process often.
	ScopeBalancers Scope = iota
	// ScopeDataCentre is all processes that count on hearing this one itself.
	ScopeDataCentre
	// ScopeAll is ScopeDataCentre and, from delegates, those of the other data centres.
	ScopeAll
)

// Targets returns the hosts to send heartbeats to. sidecars are those of the data centre that are listed.
func (t *Table) Targets(now time.Duration, reach Scope, sidecars []registry.Host) []registry.Host {
	var targets []registry.Host
	accompanied := false // by a live balancer of the data centre
	for _, p := range t.peers {
		if now-p.LastSeen >= forgetAfter || !t.targeted(p, reach) {
			continue
		}
		targets = append(targets, p.Host)
		accompanied = accompanied || p.Heartbeat.Role == Balancer && t.alive(now, p)
	}
	if !accompanied && (reach > ScopeBalancers || !t.hearsBalancer(now)) {
		targets = append(targets, t.allBalancers(now)...)
	}
	if reach > ScopeBalancers {
		targets = append(targets, t.unmet(now)...)
		if t.cfg.Role == Balancer {
			targets = append(targets, sidecars...)
		}
		if t.IsDelegate(now) {
			targets = append(targets, t.cfg.Seeds...)
		}
	}
	if reach == ScopeAll && t.IsDelegate(now) {
		targets = append(targets, t.RemoteDelegates(now)...)
	}
	slices.SortFunc(targets, registry.Host.Compare)
	targets = slices.Compact(targets)
	return slices.DeleteFunc(targets, func(h registry.Host) bool { return h == t.cfg.Self })
}

// LocalBalancers returns the other balancers of the data centre, which a delegate tells of the others.
func (t *Table) LocalBalancers(now time.Duration) []registry.Host {
	return t.knownBalancers(now, t.cfg.DataCentre)
}

// AssignedSidecars returns the sidecars that this balancer tells of all other processes:
// those of its data centre for which it is among the first by hash, so that the
// work is spread evenly, and, as a delegate, those of data centres that have no live balancer.
func (t *Table) AssignedSidecars(now time.Duration) []registry.Host {
	if t.cfg.Role != Balancer {
		return nil
	}
	var hosts []registry.Host
	if t.IsDelegate(now) {
		hosts = t.unattended(now)
	}
	balancers := t.balancersOf(now, t.cfg.DataCentre)
	for _, p := range t.peers {
		if p.Heartbeat.Role == Sidecar && t.often(p) && now-p.LastSeen < forgetAfter && t.charged(p.Host, balancers) {
			hosts = append(hosts, p.Host)
		}
	}
	slices.SortFunc(hosts, registry.Host.Compare)
	return hosts
}

// charged reports whether this balancer is among the first for a sidecar.
func (t *Table) charged(sidecar registry.Host, balancers []registry.Host) bool {
	own, before := pairHash(sidecar, t.cfg.Self), 0
	for _, h := range balancers {
		if h != t.cfg.Self && pairHash(sidecar, h) < own {
			before++
		}
	}
	return before < delegates
}

// pairHash returns the number by which all processes order balancers for a sidecar.
func pairHash(sidecar, balancer registry.Host) uint64 {
	return xxhash.Sum64(append(sidecar[:], balancer[:]...))
}

// targeted reports whether heartbeats of a reach go to a known process: balancers
// of the data centre get all, and its sidecars those of balancers that reach further.
func (t *Table) targeted(p *Peer, reach Scope) bool {
	if p.Heartbeat.DataCentre != t.cfg.DataCentre {
		return false
	}
	return p.Heartbeat.Role == Balancer || reach > ScopeBalancers && t.cfg.Role == Balancer
}

// allBalancers returns the seeds and all balancers that are known or were named:
// a process that hears no balancer of its data centre tells them of itself.
func (t *Table) allBalancers(now time.Duration) []registry.Host {
	hosts := slices.Clone(t.cfg.Seeds)
	for _, p := range t.peers {
		if p.Heartbeat.Role == Balancer && now-p.LastSeen < forgetAfter {
			hosts = append(hosts, p.Host)
		}
	}
	return append(hosts, t.unmet(now)...)
}

// hearsBalancer reports whether any other balancer is alive.
func (t *Table) hearsBalancer(now time.Duration) bool {
	for _, p := range t.peers {
		if p.Heartbeat.Role == Balancer && t.alive(now, p) {
			return true
		}
	}
	return false
}

// unmet returns balancers that others named and that were never heard.
func (t *Table) unmet(now time.Duration) []registry.Host {
	var hosts []registry.Host
	for h, at := range t.named {
		if now-at < forgetAfter && t.peers[h] == nil {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// DirectRemoteSidecars returns the sidecars of other data centres that send their heartbeats
// here, since they hear no balancer of their own.
func (t *Table) DirectRemoteSidecars(now time.Duration) []registry.Host {
	if t.cfg.Role != Balancer {
		return nil
	}
	var hosts []registry.Host
	for _, p := range t.peers {
		if p.Heartbeat.Role == Sidecar && p.Heartbeat.DataCentre != t.cfg.DataCentre && p.LastDirect > 0 && now-p.LastDirect < directFor {
			hosts = append(hosts, p.Host)
		}
	}
	slices.SortFunc(hosts, registry.Host.Compare)
	return hosts
}

// unattended returns those of the guests whose data centre has no live balancer, so
// that nobody else tells them of the others.
func (t *Table) unattended(now time.Duration) []registry.Host {
	return slices.DeleteFunc(t.DirectRemoteSidecars(now), func(h registry.Host) bool {
		return len(t.balancersOf(now, t.DataCentre(h))) > 0
	})
}

// DataCentre returns the data centre of a process, or nothing when it is not known.
func (t *Table) DataCentre(h registry.Host) string {
	if h == t.cfg.Self {
		return t.cfg.DataCentre
	}
	if p := t.peers[h]; p != nil {
		return p.Heartbeat.DataCentre
	}
	return ""
}

// BalancersNear returns the live balancers, other than this process, of the data centre
// that a host is in; all of them when that is not known.
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
