package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/corianderbay/corianderbay/registry"
)

// RecordStoreAnswer notes that the store answered this process.
func (t *Table) RecordStoreAnswer(now time.Duration) {
	t.selfRead = now
	t.storeSeen = now
}

// StoreAge returns how long ago the store was last known to answer any process.
func (t *Table) StoreAge(now time.Duration) time.Duration {
	return now - t.storeSeen
}

// StoreSeen reports whether the store is known to have answered any process.
func (t *Table) StoreSeen() bool {
	return t.storeSeen >= t.cfg.Started
}

// Reading reports whether the store answered this process within MaxStoreAge.
func (t *Table) Reading(now time.Duration) bool {
	return now-t.selfRead < MaxStoreAge
}

// ShouldRead reports whether this process should read the store: a balancer
// that ranks among the first of those alive, or any process when none of those
// that it hears has had an answer lately. patience differs from process to
// process, so that they do not all ask at the same moment. A sidecar that has
// just started first waits for a balancer to answer its heartbeat.
func (t *Table) ShouldRead(now, patience time.Duration) bool {
	age := t.StoreAge(now)
	if t.cfg.Role == Sidecar {
		age = min(age, now-t.cfg.Started)
	}
	if age >= MaxStoreAge+patience {
		return true
	}
	if t.cfg.Role != Balancer {
		return false
	}
	return t.rank(now) < readers
}

// rank returns how many live balancers go before this one as readers. A
// balancer whose reads fail goes behind those whose reads succeed.
func (t *Table) rank(now time.Duration) int {
	own := hostHash(t.cfg.Self)
	before := 0
	for _, p := range t.peers {
		if p.Heartbeat.Role != Balancer || !t.alive(now, p) {
			continue
		}
		if p.Heartbeat.Reading && hostHash(p.Host) < own {
			before++
		}
	}
	return before
}

// hostHash returns the number by which all processes order balancers.
func hostHash(h registry.Host) uint64 {
	return xxhash.Sum64(h[:])
}

// PullSource returns the peer to ask for what is newer than what this process knows:
// one of the same data centre if possible. It returns nil when none has more, or
// when the delegates are about to bring it from another data centre.
func (t *Table) PullSource(now time.Duration, own Versions, failed registry.Host) *Peer {
	var best *Peer
	waits := !t.IsDelegate(now) && len(t.Delegates(now, t.cfg.DataCentre)) > 0
	for _, p := range t.peers {
		if now-p.LastSeen >= t.HeartbeatTimeout(p) || !p.ahead(own) {
			continue
		}
		if waits && p.Heartbeat.DataCentre != t.cfg.DataCentre && now-p.news < farPullAfter {
			continue
		}
		if best == nil || t.better(p, best, failed) {
			best = p
		}
	}
	return best
}

// RecordFormerHash notes what a delegate told of the time before the era that its own
// state is of. It reports whether the delegate should be asked for that.
func (t *Table) RecordFormerHash(h registry.Host, d *Digest, own Versions) (ahead bool) {
	p := t.peers[h]
	if p == nil {
		return false
	}
	p.former = d.FormerHash
	return d.State == own.State && p.ahead(own)
}

// RecordPull notes that a process was asked for all that it knows.
func (t *Table) RecordPull(h registry.Host) {
	if p := t.peers[h]; p != nil {
		p.asked = p.former
	}
}

// better reports whether a should be asked rather than b.
func (t *Table) better(a, b *Peer, failed registry.Host) bool {
	if (a.Host == failed) != (b.Host == failed) {
		return b.Host == failed
	}
	near := a.Heartbeat.DataCentre == t.cfg.DataCentre
	if near != (b.Heartbeat.DataCentre == t.cfg.DataCentre) {
		return near
	}
	if a.Heartbeat.Version != b.Heartbeat.Version {
		return a.Heartbeat.Version > b.Heartbeat.Version
	}
	return a.Heartbeat.State.After(b.Heartbeat.State)
}
