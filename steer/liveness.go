package steer

import (
	"sync/atomic"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

// liveness tracks whether the process of the local upstream is running, independently
// of its flows.
type liveness struct {
	awaitingReactionSince atomic.Int64 // nanoseconds; when a packet was delivered that requires a prompt reaction, 0 if none is outstanding
	awaitingPacketSince   atomic.Int64 // nanoseconds; when a packet was delivered since which the upstream has sent nothing, 0 if it has
	awaitingReturnSince   atomic.Int64 // nanoseconds; when a packet of an unknown flow was delivered while the upstream was not listed, 0 if it has sent something since
	down                  atomic.Bool  // no process listens at the upstream's address
	endedAt               atomic.Int64 // nanoseconds; when an upstream that accepts connections while it runs last refused one, 0 if it never did
	hasSent               atomic.Bool  // the upstream has sent a packet since the sidecar started
	// downUnverified is true when down was concluded although no packet had been
	// delivered.
	downUnverified atomic.Bool
	// refusedAtStop is true when the upstream's address refused the last connection before
	// the sidecar stopped.
	refusedAtStop atomic.Bool
	// listens records whether the upstream accepts connections while it is running. If
	// it does not, a refused connection does not show that the upstream is down.
	listens atomic.Int32
}

// The values of liveness.listens.
const (
	listensUnknown int32 = iota
	listensYes
	listensNo
)

// awaitReaction records that a packet was delivered which the upstream has to react to
// at once.
func (u *liveness) awaitReaction(now time.Duration) {
	u.awaitingReactionSince.CompareAndSwap(0, int64(now))
}

// awaitPacket records that a packet was delivered after which the upstream is likely to
// send something eventually.
func (u *liveness) awaitPacket(now time.Duration) {
	u.awaitingPacketSince.CompareAndSwap(0, int64(now))
}

// awaitReturn records that a packet of an unknown flow was delivered while the upstream was
// not listed. The upstream returns it at once, unless it holds the flow.
func (u *liveness) awaitReturn(now time.Duration) {
	u.awaitingReturnSince.CompareAndSwap(0, int64(now))
}

// returnOverdue reports whether an upstream that is not known to accept connections has
// neither returned a packet of an unknown flow nor sent anything else.
func (u *liveness) returnOverdue(now time.Duration) bool {
	return u.listens.Load() != listensYes && overdue(now, u.awaitingReturnSince.Load(), reactionTimeout)
}

// recordPacket records that the upstream sent a packet.
func (u *liveness) recordPacket() {
	u.awaitingReturnSince.Store(0)
	u.awaitingReactionSince.Store(0)
	u.awaitingPacketSince.Store(0)
	u.down.Store(false)
	u.hasSent.Store(true)
}

// awaiting reports whether the upstream has sent nothing since a packet was delivered.
func (u *liveness) awaiting() bool {
	return u.awaitingReactionSince.Load() != 0 || u.awaitingPacketSince.Load() != 0
}

// silent reports whether the upstream is down or has exceeded its reaction timeout.
func (u *liveness) silent(now time.Duration) bool {
	return u.down.Load() || overdue(now, u.awaitingReactionSince.Load(), reactionTimeout) || u.returnOverdue(now)
}

// anyOverdue reports whether any delivered packet, also one that needs no prompt
// reaction, has been without one for reactionTimeout.
func (u *liveness) anyOverdue(now time.Duration) bool {
	return overdue(now, u.awaitingReactionSince.Load(), reactionTimeout) || overdue(now, u.awaitingPacketSince.Load(), reactionTimeout)
}

// allowRetry clears the state of a silent upstream after a delay, so that it is tried
// again. An upstream that is not known to accept connections is not considered down any
// longer, since refused connections prove nothing about it.
func (u *liveness) allowRetry(now time.Duration) {
	if at := u.awaitingReactionSince.Load(); overdue(now, at, reactionTimeout+silentRetryDelay) {
		u.awaitingReactionSince.CompareAndSwap(at, 0)
	}
	if at := u.awaitingReturnSince.Load(); overdue(now, at, reactionTimeout+silentRetryDelay) {
		u.awaitingReturnSince.CompareAndSwap(at, 0)
	}
	if u.listens.Load() != listensYes {
		u.down.Store(false)
	}
}

// overdue reports whether at, in nanoseconds, is set and at least limit ago.
func overdue(now time.Duration, at int64, limit time.Duration) bool {
	return at != 0 && now-time.Duration(at) >= limit
}

// maxStartDoubt is how long an upstream that has ended may have started again without an entry
// that says so, for example because the store is down. It is longer than upstreams stay cold.
const maxStartDoubt = time.Minute

// restartedSince reports whether the upstream has ended after at, so that one that runs has
// started since, and no longer than maxStartDoubt ago.
func (u *liveness) restartedSince(at, now time.Duration) bool {
	ended := time.Duration(u.endedAt.Load())
	return ended != 0 && ended > at && now-ended < maxStartDoubt
}

// Silent reports whether the upstream is down or has exceeded its reaction timeout.
func (s *Sidecar) Silent(now time.Duration) bool {
	return s.liveness.silent(now)
}

// ShouldProbe reports whether to probe by opening a connection whether the upstream is
// running: its reaction is overdue, or it is not known yet whether it accepts
// connections.
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
	return overdue(now, u.awaitingReactionSince.Load(), openingProbeDelay) || overdue(now, u.awaitingPacketSince.Load(), dataProbeDelay)
}

// UpstreamDown reports whether no process listens at the upstream's address.
func (s *Sidecar) UpstreamDown() bool {
	return s.liveness.down.Load()
}

// Connected records that the upstream accepted a probe connection.
func (s *Sidecar) Connected() {
	s.liveness.listens.Store(listensYes)
	s.liveness.down.Store(false)
	s.liveness.awaitingPacketSince.Store(0)
}

// ConnectionRefused records that the upstream's address refused a probe connection.
// When this shows that the upstream has stopped, ended is true and orphans has a packet
// with the caller's last sequence and acknowledgement numbers for each flow that has to
// be reset.
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
		return nil, false // it has reacted since the probe started
	case !hasSent && s.selfListed() && !u.anyOverdue(now):
		return nil, false // it may accept packets although it accepts no connections
	}
	u.downUnverified.Store(!awaiting)
	if u.listens.Load() == listensYes {
		u.endedAt.Store(int64(now))
	}
	if u.down.Swap(true) {
		return nil, false
	}
	return s.evictOrphans(), true
}

// RefusedAtStop records that the upstream's address refused a connection while the sidecar
// is about to stop.
func (s *Sidecar) RefusedAtStop() {
	s.liveness.refusedAtStop.Store(true)
}

// Ended reports whether the upstream has ended and holds no flow, so that balancers need
// not wait for its entry to expire. Without packets that were left without a reaction, a
// connection that is refused while the sidecar stops shows this only for an upstream that
// is expected to end, by the list or because the instance stops before a list arrived,
// and either accepts connections while it runs or has sent nothing since the sidecar
// started.
func (s *Sidecar) Ended() bool {
	u := &s.liveness
	if u.down.Load() && !u.downUnverified.Load() {
		return true
	}
	return u.refusedAtStop.Load() && s.selfLeaving() && (s.serviceListens() || !u.hasSent.Load())
}

// serviceListens reports whether upstreams of the local service accept connections while
// they run.
func (s *Sidecar) serviceListens() bool {
	f := s.fleet.Load()
	return f != nil && f.Snapshot.Service(s.cfg.Service).Listens
}

// selfLeaving reports whether the local upstream is draining or missing from the list, or
// no list has arrived.
func (s *Sidecar) selfLeaving() bool {
	f := s.fleet.Load()
	if f == nil {
		return true
	}
	m, listed := f.Snapshot.Member(s.service, s.cfg.Self)
	return !listed || m.Status == registry.Leaving || m.Status == registry.Removed
}

// selfListed reports whether the upstream list has an upstream on this host.
func (s *Sidecar) selfListed() bool {
	f := s.fleet.Load()
	return f != nil && f.Snapshot.Listed(s.cfg.Self)
}

// evictOrphans removes all flows and returns a packet with the caller's last sequence
// and acknowledgement numbers for each one that was open.
func (s *Sidecar) evictOrphans() []Packet {
	var list []Packet
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for k, l := range sh.flows {
			if l.stage == stageOpen {
				list = append(list, Packet{Source: k.Caller, Destination: k.Address, Flags: ACK, Sequence: l.nextSequence, Acknowledged: l.acknowledged})
			}
			s.remove(sh, k, l)
		}
		sh.mu.Unlock()
	}
	return list
}

// handleOrphaned decides on a later packet while the upstream is down. The caller holds
// the lock of the shard.
func (s *Sidecar) handleOrphaned(now time.Duration, sh *sidecarShard, k Key, l *localFlow, h *Header, p *Packet) Action {
	if l == nil {
		return s.passOn(now, h, p, ReasonSilent)
	}
	open := l.stage == stageOpen
	s.remove(sh, k, l)
	if open {
		return Refuse{Reason: ReasonForgotten}
	}
	return s.passOn(now, h, p, ReasonSilent)
}
