package flow

import "time"

// Answer decides on a packet from the upstream to a caller: Deliver sends it,
// and Drop discards a packet of a flow that the sidecar does not own. The key is
// that of the caller's packets. Answer also updates the state of TCP flows.
func (s *Sidecar) Answer(now time.Time, p Packet) Action {
	st := s.state.Load()
	if st == nil {
		return s.drop(ReasonUnsure)
	}
	c := call{s: s, st: st, now: now, at: s.stamp(now), p: p, shard: s.table.shard(p.Key)}
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	e := c.entry()
	if !e.kind.owned() {
		return c.drop(ReasonStale)
	}
	if p.Key.Protocol() == TCP {
		return c.answerTCP(e)
	}
	return c.answerUDP(e)
}

// answerTCP records what the upstream has sent and which incarnation of the flow it has.
func (c *call) answerTCP(e entry) Action {
	if c.p.Opening {
		return c.answerOpening(e)
	}
	next := c.p.Sequence + uint32(c.p.Size)
	grown := e.flags&answered == 0 || int32(next-e.upstreamNext) > 0
	if e.kind == kindOwner && grown {
		e.upstreamNext = next
		e.flags |= answered
	}
	if c.p.Closing {
		e.flags |= closing | upstreamClosed
	}
	if c.p.Reset {
		e.flags |= callerClosed
	}
	e.lastUsed = c.at
	c.shard.entries[c.p.Key] = e
	return Deliver{}
}

// answerOpening records the upstream's initial sequence number from a SYN-ACK.
func (c *call) answerOpening(e entry) Action {
	reopened := e.flags&reopening != 0 && c.p.Acknowledged == e.nextISN+1
	switch {
	case reopened:
		e.callerISN = e.nextISN
		e.kind = kindHalfOpen
	case c.p.Acknowledged != e.callerISN+1:
		return c.drop(ReasonStale)
	}
	if e.kind == kindHalfOpen {
		e.upstreamNext = c.p.Sequence + 1
		e.flags = answered
		e.lastUsed = c.at
		c.put(e)
	}
	return Deliver{}
}

// answerUDP keeps the flow alive, but no longer than its home keeps an entry for it.
func (c *call) answerUDP(e entry) Action {
	if e.generation != c.st.generation {
		c.udpUpdateHome(&e)
	}
	if e.flags&isHome != 0 || c.at.since(e.lastRefresh) <= ticks(DetourInterval+DetourGrace) {
		c.touch(e)
	}
	return Deliver{}
}
