package steer

import (
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

// lateReturn is the time after its delivery from which a returned copy of a searched packet
// is not passed on. The balancer that stores the packet sends it to others by then.
const lateReturn = 100 * time.Millisecond

// FromUpstream decides on a packet that the upstream sent or returned.
func (s *Sidecar) FromUpstream(now time.Duration, p *Packet) Action {
	s.liveness.recordPacket()
	if p.Flags.Has(Returned) {
		return s.handleReturned(now, p)
	}
	k := p.UpstreamKey()
	sh := s.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	l := sh.flows[k]
	if l == nil && p.Data == 0 && !p.Flags.Has(SYN) {
		return Answer{} // last packets of a flow that is no longer in the table
	}
	if l == nil {
		l = sh.entry(k)
		if !p.Flags.Has(SYN) {
			s.incomplete.Store(true)
		}
	}
	l.lastPacket = now
	if p.Flags.Has(SYN) {
		s.recordAccepted(now, k, l, p)
		return Answer{}
	}
	offered := l.stage == stageOffered || l.stage == stageUncertain
	s.recordUpstreamPacket(now, k, l, p)
	if offered && l.stage == stageOpen {
		return Answer{Searcher: l.balancer}
	}
	return Answer{}
}

// recordAccepted records that the upstream accepted an opening.
func (s *Sidecar) recordAccepted(now time.Duration, k Key, l *localFlow, p *Packet) {
	if l.stage == stageOpen {
		return
	}
	if l.stage == stageOpening {
		s.cfg.Latency.Opened(now - l.deliveredAt)
	}
	if !l.live() {
		s.flows.Add(1)
	}
	l.stage, l.answerSequence = stageAnswered, p.Sequence
}

// recordUpstreamPacket records answers and the end of a flow. Any packet other than the
// answer to an opening shows that the upstream holds the flow.
func (s *Sidecar) recordUpstreamPacket(now time.Duration, k Key, l *localFlow, p *Packet) {
	if p.Flags.Has(RST) {
		if l.requestPending {
			s.failures.recordFailure(now)
			s.pacing.fail(now, l)
		}
		s.markClosed(l)
		return
	}
	if l.stage != stageOpen && l.stage != stageClosed {
		s.markOpen(k, l)
	}
	if p.Data > 0 && l.requestPending {
		l.requestPending = false
		s.active.Add(-1)
		s.pacing.answer(now, l)
		s.failures.recordSuccess(now)
		s.cfg.Latency.Answered(now - l.deliveredAt)
	}
	l.upstreamFin = l.upstreamFin || p.Flags.Has(FIN)
	if l.callerFin && l.upstreamFin {
		s.markClosed(l)
	}
}

// handleReturned decides on a packet that the upstream returned.
func (s *Sidecar) handleReturned(now time.Duration, p *Packet) Action {
	k := p.CallerKey()
	h, age, known := s.returnedDelivery(now, k, p.Tag)
	sh := s.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	l := sh.flows[k]
	if p.Opens() && l != nil && l.openedBy(p) {
		return Drop{Reason: ReasonReturned} // the upstream has answered another copy
	}
	if p.Opens() {
		s.lastRefusal.Store(int64(now))
		if l != nil && l.stage == stageOpening {
			s.remove(sh, k, l)
		}
		return s.recordPassedOn(now, sh, k, p, s.passOn(now, &h, p, ReasonReturned))
	}
	if l != nil && (l.stage == stageOpen || l.stage == stageClosed) && !l.continuedBy(p) {
		return s.passOn(now, &h, p, ReasonReturned)
	}
	if l != nil && l.stage == stageOpen {
		s.remove(sh, k, l)
		return Refuse{Reason: ReasonForgotten}
	}
	if l != nil && l.stage == stageClosed {
		return Drop{Reason: ReasonForgotten}
	}
	s.recordReturned(now, sh, k, l)
	if !known {
		return Drop{Reason: ReasonReturned}
	}
	if h.Remote && age >= lateReturn {
		return s.reportReturned(&h, p)
	}
	return s.passOn(now, &h, p, ReasonReturned)
}

// reportReturned ends the way of a copy of a searched packet that the upstream returned late.
// The balancer has sent other copies past this upstream; the upstreams behind it would get
// this one when the flow may be found.
func (s *Sidecar) reportReturned(h *Header, p *Packet) Action {
	if p.Flags.Has(RST) {
		return Drop{Reason: ReasonReturned} // a flow that is being closed needs no reset
	}
	next := h.WithVisited(s.cfg.Self)
	if f := s.fleet.Load(); f != nil {
		next.State = registry.Latest(next.State, f.Snapshot.State())
	}
	return newMissReport(&next, p)
}

// recordReturned records that the upstream returned a later packet of a flow, so that it
// is not offered further ones. An opening that was delivered meanwhile may still be
// accepted; its entry is removed as before.
func (s *Sidecar) recordReturned(now time.Duration, sh *sidecarShard, k Key, l *localFlow) {
	unknown := l == nil || l.stage == stageOffered || l.stage == stageUncertain || l.stage == stageReturned
	if l != nil {
		s.remove(sh, k, l)
	}
	if unknown && len(sh.flows) < maxShardFlows {
		sh.put(k, localFlow{stage: stageReturned, lastPacket: now})
	}
}
