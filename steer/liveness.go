package steer

import (
	"sync/atomic"
	"time"
)

// liveness is what a sidecar knows of the process of its upstream, apart from its flows.
type liveness struct {
	reactionSince atomic.Int64 // nanoseconds; when the packet was delivered that waits for a reaction, 0 if none does
	packetSince   atomic.Int64 // nanoseconds; when a packet was delivered after which the upstream was not heard, 0 if it was
	down          atomic.Bool  // no process listens at the upstream's address
	hasSent       atomic.Bool  // the upstream has sent a packet since the sidecar started
	// downUnverified is true when gone was concluded although nothing had been delivered.
	downUnverified atomic.Bool
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
func (u *liveness) awaitReaction(now time.Duration) {
	u.reactionSince.CompareAndSwap(0, int64(now))
}

// awaitPacket notes that the upstream is likely to send something sooner or later.
func (u *liveness) awaitPacket(now time.Duration) {
	u.packetSince.CompareAndSwap(0, int64(now))
}

// recordPacket notes that the upstream sent a packet.
func (u *liveness) recordPacket() {
	u.reactionSince.Store(0)
	u.packetSince.Store(0)
	u.down.Store(false)
	u.hasSent.Store(true)
}

// awaiting reports whether the upstream was not heard after a packet was delivered.
func (u *liveness) awaiting() bool {
	return u.reactionSince.Load() != 0 || u.packetSince.Load() != 0
}

// silent reports whether the upstream is gone, or has not reacted for longer than it ever takes.
func (u *liveness) silent(now time.Duration) bool {
	return u.down.Load() || overdue(now, u.reactionSince.Load(), reactionTimeout)
}

// anyOverdue reports whether any packet has waited for a reaction for longer than it ever takes to an opening.
func (u *liveness) anyOverdue(now time.Duration) bool {
	return overdue(now, u.reactionSince.Load(), reactionTimeout) || overdue(now, u.packetSince.Load(), reactionTimeout)
}

// allowRetry lets a silent upstream be tried again after a while, and one whose end
// cannot be told from refused connections.
func (u *liveness) allowRetry(now time.Duration) {
	if at := u.reactionSince.Load(); overdue(now, at, reactionTimeout+silentRetryDelay) {
		u.reactionSince.CompareAndSwap(at, 0)
	}
	if u.listens.Load() != listensYes {
		u.down.Store(false)
	}
}

// overdue reports whether at, in nanoseconds, is set and at least limit ago.
func overdue(now time.Duration, at int64, limit time.Duration) bool {
	return at != 0 && now-time.Duration(at) >= limit
}

// Silent reports whether the upstream is gone, or has not reacted for longer than it ever takes.
func (s *Sidecar) Silent(now time.Duration) bool {
	return s.liveness.silent(now)
}

// ShouldProbe reports whether it is worth asking, by a connection, whether the
// upstream runs: its reaction is overdue, or it is not known yet whether it takes connections.
func (s *Sidecar) ShouldProbe(now time.Duration) bool {
	u := &s.liveness
	switch u.listens.Load() {
	case listensNo:
		return false
	case listensUnknown:
		if u.hasSent.Load() {
			return true
		}
	}
	return overdue(now, u.reactionSince.Load(), openingProbeDelay) || overdue(now, u.packetSince.Load(), dataProbeDelay)
}

// UpstreamDown reports whether no process listens at the upstream's address.
func (s *Sidecar) UpstreamDown() bool {
	return s.liveness.down.Load()
}

// Connected notes that the upstream took a connection.
func (s *Sidecar) Connected() {
	s.liveness.listens.Store(listensYes)
	s.liveness.down.Store(false)
	s.liveness.packetSince.Store(0)
}

// ConnectionRefused notes that nothing listens at the upstream's address. When
// that means that the upstream has ended, it returns the last packets of callers
// whose flows ended with it, to be reset.
func (s *Sidecar) ConnectionRefused(now time.Duration) (orphans []Packet, ended bool) {
	u := &s.liveness
	hasSent := u.hasSent.Load()
	if hasSent && u.listens.Load() != listensYes {
		u.listens.Store(listensNo)
		return nil, false
	}
	awaiting := u.awaiting()
	switch {
	case hasSent && !awaiting:
		return nil, false // it has reacted since the question
	case !hasSent && s.selfListed() && !u.anyOverdue(now):
		return nil, false // it may take packets though it takes no connections
	}
	u.downUnverified.Store(!awaiting)
	if u.down.Swap(true) {
		return nil, false
	}
	return s.evictOrphans(), true
}

// selfListed reports whether the list has an upstream on this host.
func (s *Sidecar) selfListed() bool {
	f := s.fleet.Load()
	return f != nil && f.Snapshot.Listed(s.cfg.Self)
}

// evictOrphans forgets all flows and returns the last packets of callers on those that were open.
func (s *Sidecar) evictOrphans() []Packet {
	var list []Packet
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for k, l := range sh.flows {
			if l.stage == stageOpen {
				list = append(list, Packet{Source: k.Caller, Destination: k.Address, Flags: ACK, Sequence: l.nextSequence, Acknowledged: l.acknowledged})
			}
			s.remove(sh, k, &l)
		}
		sh.mu.Unlock()
	}
	return list
}

// handleOrphaned decides on a later packet while no upstream runs. The shard is locked.
func (s *Sidecar) handleOrphaned(now time.Duration, sh *sidecarShard, k Key, l localFlow, known bool, h *Header, p *Packet) Action {
	if known {
		s.remove(sh, k, &l)
	}
	if known && l.stage == stageOpen {
		return Refuse{Reason: ReasonForgotten}
	}
	return s.passOn(now, h, p, ReasonSilent)
}
