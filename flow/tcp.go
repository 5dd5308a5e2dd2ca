package flow

import "github.com/corianderbay/corianderbay/forward"

// tcp decides on a TCP segment of a caller.
func (c *call) tcp() Action {
	e := c.entry()
	// An older bundle may name the upstream with a former service, a newer one with its own.
	if c.ownsSegment(&e) || c.rerank() && c.ownsSegment(&e) {
		c.queueHint()
		return Deliver{}
	}
	if c.p.Opening {
		return c.tcpOpening(e)
	}
	return c.tcpWalk(e)
}

// ownsSegment reports whether the upstream owns the segment's flow under the
// packet's candidates, and updates the entry.
func (c *call) ownsSegment(e *entry) bool {
	return c.serviceMatch && e.kind.owned() && c.tcpOwned(e)
}

// tcpOwned reports whether the segment belongs to the owned flow, and updates the entry.
func (c *call) tcpOwned(e *entry) bool {
	switch {
	case c.p.Opening:
		return c.tcpOpeningOwned(e)
	case e.kind == kindHalfOpen:
		return c.tcpHalfOpen(e)
	}
	return c.tcpEstablished(e)
}

// tcpOpeningOwned handles a retransmitted opening, or the opening of a new
// incarnation of the flow. The upstream's answer shows which of them it has accepted.
func (c *call) tcpOpeningOwned(e *entry) bool {
	if c.p.Sequence == e.callerISN {
		return true
	}
	if c.st.leaving && !c.s.mutations.has(mutateAcceptLeaving) {
		return false
	}
	e.nextISN = c.p.Sequence
	e.flags |= reopening
	e.lastUsed = c.at
	c.put(*e)
	return true
}

// tcpHalfOpen accepts a segment only when it matches the upstream's answer:
// another upstream may have answered a copy of the same opening.
func (c *call) tcpHalfOpen(e *entry) bool {
	switch {
	case c.s.mutations.has(mutateAnyAck):
	case !c.p.HasAck:
		return c.p.Sequence == e.callerISN+1
	case e.flags&answered == 0 || c.p.Acknowledged != e.upstreamNext:
		return false
	}
	e.kind = kindOwner
	e.lastUsed = c.at
	c.markClosing(e)
	c.put(*e)
	return true
}

// tcpEstablished accepts segments whose acknowledgement number fits the data that
// this upstream has sent.
func (c *call) tcpEstablished(e *entry) bool {
	if c.p.HasAck && e.upstreamNext-c.p.Acknowledged > maxWindow {
		return false
	}
	if c.p.Closing && e.flags&callerClosed == 0 {
		c.markClosing(e)
		e.lastUsed = c.at
		c.put(*e)
	}
	c.touch(*e)
	return true
}

func (c *call) markClosing(e *entry) {
	if c.p.Closing {
		e.flags |= closing | callerClosed
	}
	if c.p.Reset {
		e.flags |= upstreamClosed
	}
}

// tcpOpening accepts a new flow, passes it on, or refuses it. An opening carries
// no request, so any other candidate may take it.
func (c *call) tcpOpening(e entry) Action {
	i := c.nextEligible()
	if i != none && i != int(c.h.Current) && (i < int(c.h.Current) || !c.mayAccept()) && e.kind != kindPassed {
		return c.tcpForwardOpening(i)
	}
	if e.kind == kindPassed {
		j := indexOf(c.h, e.target)
		if j != none && !passed(c.h, j) && eligible(c.h, j) {
			c.markSelfPassed()
			c.touch(e)
			return forwardTo(c.h, j)
		}
	}
	return c.tcpAdmit()
}

// tcpForwardOpening forwards an opening to an earlier candidate, or to a later one
// when this sidecar may not accept it.
func (c *call) tcpForwardOpening(i int) Action {
	if i > int(c.h.Current) || !c.mayAccept() {
		c.markSelfPassed()
	}
	return forwardTo(c.h, i)
}

// tcpAdmit submits the opening to the admission policy.
func (c *call) tcpAdmit() Action {
	mayAccept := c.mayAccept()
	c.markSelfPassed()
	i := c.nextEligible()
	verdict := Verdict{Choice: Pass}
	acknowledged := c.joinAcknowledged()
	if mayAccept && acknowledged {
		verdict = c.admit()
	}
	switch {
	case verdict.Choice == Accept:
		c.s.counters.Accepted.Add(1)
		c.put(entry{kind: kindHalfOpen, callerISN: c.p.Sequence, version: c.h.Version, lastUsed: c.at})
		c.queueHint()
		return Deliver{}
	case verdict.Choice == Pass && i != none:
		return c.passOn(i, verdict.Load)
	case !acknowledged:
		return c.drop(ReasonUnsure)
	case mayAccept:
		return c.refuse(Refuse{Reason: ReasonFull, NotRun: true, RetryAfter: verdict.RetryAfter})
	}
	if c.newerBundleExists() {
		return c.drop(ReasonUnsure)
	}
	return c.refuse(Refuse{Reason: ReasonNoUpstream, NotRun: true, RetryAfter: RetryAfter})
}

// joinAcknowledged reports whether every sidecar that may receive a segment of the
// flow has this one among its candidates, or has recorded that its own bundle is
// too old.
func (c *call) joinAcknowledged() bool {
	if !c.s.joinAcknowledged(c.st, c.now) {
		return false
	}
	if c.h.Version <= c.st.view.Version() {
		return true
	}
	service, order := c.st.view.Candidates(nil, c.p.Key)
	own := forward.Header{Candidates: order}
	return service == c.h.Service && indexOf(&own, c.s.cfg.Upstream) != none
}

// markSelfPassed records that this sidecar has passed the packet on, if the packet is
// addressed to it.
func (c *call) markSelfPassed() {
	if c.addressedToSelf() {
		markPassed(c.h, int(c.h.Current))
	}
}

// tcpWalk forwards a segment that opens no flow to the next candidate. The flow is
// broken only when all candidates have passed.
func (c *call) tcpWalk(e entry) Action {
	h := c.h
	if c.s.mutations.has(mutateNoWalk) {
		return c.tcpBroken()
	}
	if c.newerBundleExists() || c.serviceMatch && e.kind.owned() {
		h.Uncertain = true
	}
	c.markSelfPassed()
	if e.kind == kindPassed {
		j := indexOf(h, e.target)
		if j != none && !passed(h, j) {
			c.touch(e)
			return forwardTo(h, j)
		}
	}
	if i := c.nextCandidate(); i != none {
		return forwardTo(h, i)
	}
	return c.tcpBroken()
}

// tcpBroken refuses a segment of a flow that no candidate owns. It drops the
// segment while an upstream that a newer bundle added may own the flow, and when
// an upstream owns another incarnation, since the refusal could reach the wrong one.
func (c *call) tcpBroken() Action {
	if c.h.Uncertain {
		return c.drop(ReasonUnsure)
	}
	c.s.counters.Broken.Add(1)
	return c.refuse(Refuse{Reason: ReasonBroken})
}
