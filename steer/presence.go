package steer

import (
	"sync/atomic"
	"time"
)

// presence is what a sidecar knows of the process of its upstream, apart from its flows.
type presence struct {
	asked atomic.Int64 // nanoseconds; when the packet was delivered that waits for a reaction, 0 if none does
	tried atomic.Int64 // nanoseconds; when a packet was delivered after which the upstream was not heard, 0 if it was
	gone  atomic.Bool  // no process listens at the upstream's address
	heard atomic.Bool  // the upstream has sent a packet since the sidecar started
	// untried is true when gone was concluded although nothing had been delivered.
	untried atomic.Bool
	// listens says whether the upstream takes connections while it runs; refused
	// ones mean nothing otherwise.
	listens atomic.Int32
}

// The values of presence.listens.
const (
	listensUnknown int32 = iota
	listensYes
	listensNo
)

// awaitReaction notes that the upstream has to react to a packet.
func (u *presence) awaitReaction(now time.Duration) {
	u.asked.CompareAndSwap(0, int64(now))
}

// awaitPacket notes that the upstream is likely to send something sooner or later.
func (u *presence) awaitPacket(now time.Duration) {
	u.tried.CompareAndSwap(0, int64(now))
}

// reacted notes that the upstream sent a packet.
func (u *presence) reacted() {
	u.asked.Store(0)
	u.tried.Store(0)
	u.gone.Store(false)
	u.heard.Store(true)
}

// pending reports whether the upstream was not heard after a packet was delivered.
func (u *presence) pending() bool {
	return u.asked.Load() != 0 || u.tried.Load() != 0
}

// silent reports whether the upstream is gone, or has not reacted for longer than it ever takes.
func (u *presence) silent(now time.Duration) bool {
	return u.gone.Load() || overdue(now, u.asked.Load(), silentAfter)
}

// overdue reports whether any packet has waited for a reaction for longer than it ever takes to an opening.
func (u *presence) overdue(now time.Duration) bool {
	return overdue(now, u.asked.Load(), silentAfter) || overdue(now, u.tried.Load(), silentAfter)
}

// retry lets a silent upstream be tried again after a while, and one whose end
// cannot be told from refused connections.
func (u *presence) retry(now time.Duration) {
	if at := u.asked.Load(); overdue(now, at, silentAfter+retrySilent) {
		u.asked.CompareAndSwap(at, 0)
	}
	if u.listens.Load() != listensYes {
		u.gone.Store(false)
	}
}

// overdue reports whether at, in nanoseconds, is set and at least limit ago.
func overdue(now time.Duration, at int64, limit time.Duration) bool {
	return at != 0 && now-time.Duration(at) >= limit
}

// Silent reports whether the upstream is gone, or has not reacted for longer than it ever takes.
func (s *Sidecar) Silent(now time.Duration) bool {
	return s.upstream.silent(now)
}

// ShouldProbe reports whether it is worth asking, by a connection, whether the
// upstream runs: its reaction is overdue, or it is not known yet whether it takes connections.
func (s *Sidecar) ShouldProbe(now time.Duration) bool {
	u := &s.upstream
	switch u.listens.Load() {
	case listensNo:
		return false
	case listensUnknown:
		if u.heard.Load() {
			return true
		}
	}
	return overdue(now, u.asked.Load(), openingDoubt) || overdue(now, u.tried.Load(), dataDoubt)
}

// UpstreamDown reports whether no process listens at the upstream's address.
func (s *Sidecar) UpstreamDown() bool {
	return s.upstream.gone.Load()
}

// Connected notes that the upstream took a connection.
func (s *Sidecar) Connected() {
	s.upstream.listens.Store(listensYes)
	s.upstream.gone.Store(false)
	s.upstream.tried.Store(0)
}

// ConnectionRefused notes that nothing listens at the upstream's address. When
// that means that the upstream has ended, it returns the last packets of callers
// whose flows ended with it, to be reset.
func (s *Sidecar) ConnectionRefused(now time.Duration) (orphans []Packet, ended bool) {
	u := &s.upstream
	heard := u.heard.Load()
	if heard && u.listens.Load() != listensYes {
		u.listens.Store(listensNo)
		return nil, false
	}
	pending := u.pending()
	switch {
	case heard && !pending:
		return nil, false // it has reacted since the question
	case !heard && s.listed() && !u.overdue(now):
		return nil, false // it may take packets though it takes no connections
	}
	u.untried.Store(!pending)
	if u.gone.Swap(true) {
		return nil, false
	}
	return s.orphans(), true
}

// listed reports whether the list has an upstream on this host.
func (s *Sidecar) listed() bool {
	f := s.fleet.Load()
	return f != nil && f.Snapshot.Listed(s.cfg.Self)
}

// orphans forgets all flows and returns the last packets of callers on those that were open.
func (s *Sidecar) orphans() []Packet {
	var list []Packet
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for k, l := range sh.flows {
			if l.stage == stageOpen {
				list = append(list, Packet{Source: k.Caller, Destination: k.Address, Flags: ACK, Sequence: l.next, Acknowledged: l.acknowledge})
			}
			s.remove(sh, k, &l)
		}
		sh.mu.Unlock()
	}
	return list
}

// orphaned decides on a later packet while no upstream runs. The shard is locked.
func (s *Sidecar) orphaned(now time.Duration, sh *sidecarShard, k Key, l local, known bool, h *Header, p *Packet) Action {
	if known {
		s.remove(sh, k, &l)
	}
	if known && l.stage == stageOpen {
		return Refuse{Reason: ReasonForgotten}
	}
	return s.passOn(now, h, p, ReasonSilent)
}
