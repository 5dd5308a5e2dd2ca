package flow

import "github.com/corianderbay/corianderbay/forward"

// tcp decides on a TCP segment of a caller.
func (c *call) tcp() Action {
	e := c.entry()
	if c.mine && e.kind.owned() && c.tcpOwned(&e) {
		c.hint()
		return Deliver{}
	}
	c.rerank()
	if c.p.Opening {
		return c.tcpOpening(e)
	}
	return c.tcpWalk(e)
}

// tcpOwned reports whether the segment belongs to the owned flow, and keeps it alive.
func (c *call) tcpOwned(e *entry) bool {
	switch {
	case c.p.Opening:
		return c.tcpOpeningOwned(e)
	case e.kind == kindHalfOpen:
		return c.tcpHalfOpen(e)
	}
	return c.tcpEstablished(e)
}

// tcpOpeningOwned handles a repeated opening, or a further incarnation of the flow.
// The upstream's answer decides which of them it holds.
func (c *call) tcpOpeningOwned(e *entry) bool {
	if c.p.Sequence == e.callerISN {
		return true
	}
	if c.st.leaving && !c.s.mutations.has(mutateAcceptLeaving) {
		return false
	}
	e.nextISN = c.p.Sequence
	e.flags |= reopening
	e.last = c.at
	c.put(*e)
	return true
}

// tcpHalfOpen captures a segment only when it matches what the upstream answered:
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
	e.last = c.at
	c.tcpClosing(e)
	c.put(*e)
	return true
}

// tcpEstablished accepts segments that acknowledge what this upstream sent.
func (c *call) tcpEstablished(e *entry) bool {
	if c.p.HasAck && e.upstreamNext-c.p.Acknowledged > maxWindow {
		return false
	}
	if c.p.Closing && e.flags&callerDone == 0 {
		c.tcpClosing(e)
		e.last = c.at
		c.put(*e)
	}
	c.touch(*e)
	return true
}

func (c *call) tcpClosing(e *entry) {
	if c.p.Closing {
		e.flags |= closing | callerDone
	}
	if c.p.Reset {
		e.flags |= upstreamDone
	}
}

// tcpOpening accepts a new flow, passes it on, or refuses it. An opening
// carries no work, so another candidate may always take it.
func (c *call) tcpOpening(e entry) Action {
	i := c.nextTaker()
	if i != none && i != int(c.h.Current) && (i < int(c.h.Current) || !c.may()) && e.kind != kindPassed {
		return c.tcpSkip(i)
	}
	if e.kind == kindPassed {
		j := indexOf(c.h, e.target)
		if j != none && !passed(c.h, j) && takes(c.h, j) {
			c.tcpPass()
			c.touch(e)
			return aim(c.h, j)
		}
	}
	return c.tcpTake()
}

// tcpSkip hands an opening to an earlier candidate, or to a later one when this one takes none.
func (c *call) tcpSkip(i int) Action {
	if i > int(c.h.Current) || !c.may() {
		c.tcpPass()
	}
	return aim(c.h, i)
}

// tcpTake puts the opening to the policy.
func (c *call) tcpTake() Action {
	may := c.may()
	c.tcpPass()
	i := c.nextTaker()
	verdict := Verdict{Choice: Pass}
	known := c.introduced()
	if may && known {
		verdict = c.admit()
	}
	switch {
	case verdict.Choice == Accept:
		c.s.counters.Accepted.Add(1)
		c.put(entry{kind: kindHalfOpen, callerISN: c.p.Sequence, version: c.h.Version, last: c.at})
		c.hint()
		return Deliver{}
	case verdict.Choice == Pass && i != none:
		return c.passOn(i, verdict.Load)
	case !known:
		return c.drop(ReasonUnsure)
	case may:
		return c.refuse(Refuse{Reason: ReasonFull, NotRun: true, RetryAfter: verdict.RetryAfter})
	}
	if c.behind() {
		return c.drop(ReasonUnsure)
	}
	return c.refuse(Refuse{Reason: ReasonNoUpstream, NotRun: true, RetryAfter: RetryAfter})
}

// introduced reports whether every sidecar that may see a segment of the flow
// finds this one among its candidates, or knows that its own bundle is too old.
func (c *call) introduced() bool {
	if !c.s.introduced(c.st, c.now) {
		return false
	}
	if c.h.Version <= c.st.view.Version() {
		return true
	}
	service, order := c.st.view.Candidates(nil, c.p.Key)
	own := forward.Header{Candidates: order}
	return service == c.h.Service && indexOf(&own, c.s.cfg.Upstream) != none
}

// tcpPass marks this sidecar as passed, when it is a candidate.
func (c *call) tcpPass() {
	if c.listed() {
		pass(c.h, int(c.h.Current))
	}
}

// tcpWalk hands a segment that opens no flow to the next candidate. Only when
// all have passed is the flow broken.
func (c *call) tcpWalk(e entry) Action {
	h := c.h
	if c.s.mutations.has(mutateNoWalk) {
		return c.tcpBroken()
	}
	if c.behind() || c.mine && e.kind.owned() {
		h.Uncertain = true
	}
	c.tcpPass()
	if e.kind == kindPassed {
		j := indexOf(h, e.target)
		if j != none && !passed(h, j) {
			c.touch(e)
			return aim(h, j)
		}
	}
	if i := c.next(); i != none {
		return aim(h, i)
	}
	return c.tcpBroken()
}

// tcpBroken refuses a segment of a flow that no candidate owns. It is dropped
// while an upstream that a newer bundle added may own it, and when an upstream
// owns another incarnation, since the answer could reach the wrong one.
func (c *call) tcpBroken() Action {
	if c.h.Uncertain {
		return c.drop(ReasonUnsure)
	}
	c.s.counters.Broken.Add(1)
	return c.refuse(Refuse{Reason: ReasonBroken})
}
