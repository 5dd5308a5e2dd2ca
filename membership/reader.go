package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/corianderbay/corianderbay/registry"
)

// RecordStoreAnswer records that the store answered this process.
func (t *Table) RecordStoreAnswer(now time.Duration) {
	t.lastOwnRead = now
	t.storeSeen = now
}

// StoreAge returns the time since the newest recorded answer of the store to any process,
// and at least one hour when none was recorded.
func (t *Table) StoreAge(now time.Duration) time.Duration {
	return now - t.storeSeen
}

// StoreSeen reports whether the store has answered any process since this one started, as
// far as recorded.
func (t *Table) StoreSeen() bool {
	return t.storeSeen >= t.cfg.Started
}

// Reading reports whether the store answered this process within MaxStoreAge.
func (t *Table) Reading(now time.Duration) bool {
	return now-t.lastOwnRead < MaxStoreAge
}

// ShouldRead reports whether this process should read the store. Balancers do when
// they rank among the first live ones; any process does when the newest recorded
// answer is older than MaxStoreAge by delay. The delay should differ between
// processes, so that they do not all send requests at the same time. A sidecar that
// has just started first waits MaxStoreAge and delay for the heartbeat of a balancer.
func (t *Table) ShouldRead(now, delay time.Duration) bool {
	age := t.StoreAge(now)
	if t.cfg.Role == Sidecar {
		age = min(age, now-t.cfg.Started)
	}
	if age >= MaxStoreAge+delay {
		return true
	}
	if t.cfg.Role != Balancer {
		return false
	}
	return t.rank(now) < readerCount
}

// rank returns the number of live balancers that precede this one as readers.
// Balancers whose reads fail do not count.
func (t *Table) rank(now time.Duration) int {
	own := hostHash(t.cfg.Self)
	before := 0
	for _, p := range t.peers {
		if p.Heartbeat.Role != Balancer || !t.alive(now, p) || p.unreadable() {
			continue
		}
		if p.Heartbeat.Reading && hostHash(p.Host) < own {
			before++
		}
	}
	return before
}

// hostHash returns the key by which all processes order balancers.
func hostHash(h registry.Host) uint64 {
	return xxhash.Sum64(h[:])
}

// PullSource returns the peer to pull newer routes or upstreams from, if possible one of
// the same data centre and not failed, the host of the last failed pull. It returns nil
// when no peer is ahead of own, or when the delegates are expected to pull from another
// data centre first.
func (t *Table) PullSource(now time.Duration, own Versions, failed registry.Host) *Peer {
	var best *Peer
	waitForDelegates := !t.IsDelegate(now) && len(t.Delegates(now, t.cfg.DataCentre)) > 0
	for _, p := range t.peers {
		if now-p.LastSeen >= t.HeartbeatTimeout(p) || !p.ahead(own) {
			continue
		}
		if waitForDelegates && p.Heartbeat.DataCentre != t.cfg.DataCentre && now-p.versionsSince < remotePullDelay {
			continue
		}
		if best == nil || t.preferred(p, best, failed) {
			best = p
		}
	}
	return best
}

// RecordFormerHash records the FormerHash of a digest's sender. It reports whether this
// process should pull the sender's records from before the era.
func (t *Table) RecordFormerHash(h registry.Host, d *Digest, own Versions) (ahead bool) {
	p := t.peers[h]
	if p == nil {
		return false
	}
	p.formerHash = d.FormerHash
	return d.State == own.State && p.ahead(own)
}

// RecordPull records that the former records of a process were pulled, so that the same
// ones are not pulled again.
func (t *Table) RecordPull(h registry.Host) {
	if p := t.peers[h]; p != nil {
		p.pulledFormerHash = p.formerHash
	}
}

// preferred reports whether a is a better pull source than b.
func (t *Table) preferred(a, b *Peer, failed registry.Host) bool {
	if (a.Host == failed) != (b.Host == failed) {
		return b.Host == failed
	}
	local := a.Heartbeat.DataCentre == t.cfg.DataCentre
	if local != (b.Heartbeat.DataCentre == t.cfg.DataCentre) {
		return local
	}
	if a.Heartbeat.Version != b.Heartbeat.Version {
		return a.Heartbeat.Version > b.Heartbeat.Version
	}
	return a.Heartbeat.State.After(b.Heartbeat.State)
}
