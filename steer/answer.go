package steer

import "time"

// FromUpstream decides on a packet that the upstream sent or returned.
func (s *Sidecar) FromUpstream(now time.Duration, p *Packet) Action {
	s.upstream.reacted()
	if p.Flags.Has(Returned) {
		return s.returned(now, p)
	}
	k := p.UpstreamKey()
	sh := s.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	l, known := sh.flows[k]
	if !known && p.Data == 0 && !p.Flags.Has(SYN) {
		return Answer{} // the end of a flow that is forgotten here
	}
	l.last = now
	if p.Flags.Has(SYN) {
		s.answered(now, k, &l, p)
	} else {
		s.fromUpstream(now, k, &l, p)
	}
	sh.flows[k] = l
	return Answer{}
}

// answered notes that the upstream accepts an opening.
func (s *Sidecar) answered(now time.Duration, k Key, l *local, p *Packet) {
	if l.stage == stageOpen {
		return
	}
	if l.stage == stageOpening {
		s.cfg.Latency.Opened(now - l.asked)
	}
	if !l.live() {
		s.flows.Add(1)
	}
	l.stage, l.confirm = stageAnswered, p.Sequence
	if !l.balancer.IsZero() {
		s.notify(Notice{Key: k, Balancer: l.balancer})
	}
}

// fromUpstream notes answers and the end of a flow. Any packet but the answer
// to an opening shows that the upstream holds the flow.
func (s *Sidecar) fromUpstream(now time.Duration, k Key, l *local, p *Packet) {
	if p.Flags.Has(RST) {
		if l.waiting {
			s.outcomes.failed(now)
		}
		s.end(l)
		return
	}
	if l.stage != stageOpen && l.stage != stageEnded {
		s.opened(k, l)
	}
	if p.Data > 0 && l.waiting {
		l.waiting = false
		s.active.Add(-1)
		s.outcomes.answered(now)
		s.cfg.Latency.Answered(now - l.asked)
	}
	l.ownFin = l.ownFin || p.Flags.Has(FIN)
	if l.callerFin && l.ownFin {
		s.end(l)
	}
}

// returned decides on a packet that the upstream does not take.
func (s *Sidecar) returned(now time.Duration, p *Packet) Action {
	k := p.CallerKey()
	h := s.trail(now, k, p.Tag)
	sh := s.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	l, known := sh.flows[k]
	if p.Opens() {
		s.refused.Store(int64(now))
		if known && l.stage == stageOpening {
			s.remove(sh, k, &l)
		}
		return s.trace(now, sh, k, p, s.passOn(now, &h, p, ReasonReturned))
	}
	if known && l.stage == stageOpen {
		s.remove(sh, k, &l)
		return Refuse{Reason: ReasonForgotten}
	}
	if known && l.stage == stageEnded {
		return Drop{Reason: ReasonForgotten}
	}
	if known {
		s.remove(sh, k, &l)
	}
	return s.passOn(now, &h, p, ReasonReturned)
}
