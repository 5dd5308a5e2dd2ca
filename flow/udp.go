package flow

import "github.com/corianderbay/corianderbay/forward"

// udp decides on a datagram of a caller. Any datagram may open a flow, so a
// sidecar accepts an unknown flow only when no other can own it.
func (c *call) udp() Action {
	e := c.entry()
	if c.serviceMatch && e.kind == kindOwner {
		return c.udpOwned(e)
	}
	if c.rerank() {
		return c.udpReroute()
	}
	return c.udpUnowned(e)
}

// udpReroute begins anew with the candidates of a newer bundle.
func (c *call) udpReroute() Action {
	c.h.Phase, c.h.Passed, c.h.Doubt = forward.PhaseAccept, 0, false
	if !c.addressedToSelf() {
		return c.udpForwardHome()
	}
	e := c.entry()
	if c.serviceMatch && e.kind == kindOwner {
		return c.udpOwned(e)
	}
	return c.udpUnowned(e)
}

// udpForwardHome sends the packet to its first candidate, or to any when each is leaving.
func (c *call) udpForwardHome() Action {
	i := c.home()
	if i != none {
		return forwardTo(c.h, i)
	}
	if i = c.nextCandidate(); i != none {
		return forwardTo(c.h, i)
	}
	return c.drop(ReasonNoUpstream)
}

// home returns the first candidate: the only one that accepts the flow without being told to.
func (c *call) home() int {
	for i := range c.h.Candidates {
		if eligible(c.h, i) && !c.takeoverDue(i) {
			return i
		}
	}
	return none
}

func (c *call) udpUnowned(e entry) Action {
	if e.kind == kindOwner {
		return c.udpServiceMismatch()
	}
	if e.kind == kindRefused {
		return c.refuse(Refuse{Reason: ReasonFull, RetryAfter: RetryAfter})
	}
	h := c.h
	if h.Phase == forward.PhaseFind && h.At == h.Asker {
		return c.udpEndSearch(e)
	}
	if h.Phase == forward.PhaseFind {
		return c.udpAnswerSearch(e)
	}
	i := c.home()
	switch {
	case i == int(h.At):
		return c.udpAtHome(e)
	case i == none:
		return c.udpSearch(e)
	case passed(h, i):
		return c.udpFromHome(e)
	}
	return forwardTo(h, i)
}

// udpServiceMismatch handles a packet whose candidates do not name this upstream with
// the service that it still serves, although it owns a flow with the same key.
func (c *call) udpServiceMismatch() Action {
	h := c.h
	if h.Phase != forward.PhaseFind || h.At == h.Asker {
		return c.drop(ReasonService)
	}
	h.Doubt = true
	markPassed(h, int(h.At))
	if i := c.nextCandidate(); i != none {
		return forwardTo(h, i)
	}
	return forwardTo(h, int(h.Asker))
}

// udpOwned delivers a datagram of an owned flow. A flow away from its first
// candidate is sent past it once every DetourInterval, so that the first
// candidate never forgets that another sidecar owns the flow.
func (c *call) udpOwned(e entry) Action {
	if c.s.fenced(c.st, c.now) {
		return c.drop(ReasonFenced)
	}
	if e.generation != c.st.generation {
		c.udpUpdateHome(&e)
	}
	if e.flags&firstCandidate != 0 || c.at.since(e.lastRefresh) <= ticks(DetourInterval) {
		c.touch(e)
		c.queueHint()
		return Deliver{}
	}
	if c.udpCameViaHome() {
		e.lastRefresh, e.lastUsed = c.at, c.at
		c.put(e)
		c.queueHint()
		return Deliver{}
	}
	return c.udpDetour(e)
}

// udpUpdateHome computes again whether the sidecar is the flow's first candidate.
func (c *call) udpUpdateHome(e *entry) {
	own := forward.Header{}
	rerank(c.st.view, &own, c.p.Key)
	d := *c
	d.h = &own
	e.generation = c.st.generation
	e.flags &^= firstCandidate
	e.lastRefresh = max(e.lastRefresh, c.st.orderChanged)
	if i := d.home(); i != none && d.upstream(i) == c.s.cfg.Upstream {
		e.flags |= firstCandidate
	}
	c.put(*e)
}

// udpCameViaHome reports whether the packet came past the flow's first candidate.
func (c *call) udpCameViaHome() bool {
	if c.h.Version < c.st.view.Version() {
		return false
	}
	i := c.home()
	switch {
	case i == none, i == int(c.h.At):
		return true
	case c.h.Phase == forward.PhaseFind:
		return i == int(c.h.Asker)
	}
	return passed(c.h, i)
}

// udpDetour sends the packet past the first candidate, or delivers it while that one is silent.
func (c *call) udpDetour(e entry) Action {
	if c.s.mutations.has(mutateNoDetour) {
		c.touch(e)
		return Deliver{}
	}
	c.rerank()
	c.h.Phase, c.h.Passed, c.h.Doubt = forward.PhaseAccept, 0, false
	i := c.home()
	if i == none || c.upstream(i) == c.s.cfg.Upstream {
		c.touch(e)
		return Deliver{}
	}
	silent := c.s.peers.suspected(c.now, c.upstream(i))
	if silent && c.at.since(e.lastRefresh) <= ticks(DetourInterval+DetourGrace) {
		c.touch(e)
		return Deliver{}
	}
	c.s.counters.Detours.Add(1)
	return forwardTo(c.h, i)
}

// udpAtHome decides at the first candidate on a flow that it does not own.
func (c *call) udpAtHome(e entry) Action {
	if e.flags&searchedNewer != 0 {
		return c.udpSearch(e)
	}
	if j := c.passedTarget(e); j != none {
		return forwardTo(c.h, j)
	}
	if c.targetUncertain(e) {
		return c.drop(ReasonUnsure)
	}
	if e.kind == 0 && c.noOtherOwner() && !c.earlierTakeoverDue() {
		return c.udpAdmit()
	}
	return c.udpSearch(e)
}

// passedTarget returns the candidate that the flow was passed to, or none. What was
// remembered under another order of candidates is not followed: the flow may
// have ended, and begun again elsewhere, since then.
func (c *call) passedTarget(e entry) int {
	if e.kind != kindPassed || e.flags&(searching|promised) != 0 {
		return none
	}
	if e.version < c.orderVersion() || c.h.Version != c.st.view.Version() {
		return none
	}
	j := indexOf(c.h, e.target)
	if j == none || j == int(c.h.At) || passed(c.h, j) || c.takeoverDue(j) {
		return none
	}
	e.lastUsed = c.at
	c.put(e)
	markPassed(c.h, int(c.h.At))
	return j
}

// noOtherOwner reports whether no other sidecar can own a flow that this one, the first
// candidate, does not know. Of a service that the upstream does not serve, or
// not yet, it cannot know when the order was agreed on.
func (c *call) noOtherOwner() bool {
	return c.h.Service == c.st.service && c.s.noOtherOwner(c.st, c.now, c.h.Version)
}

// orderVersion returns the bundle that last changed the order of the packet's
// candidates. Of a service that the upstream does not serve this is not known,
// and may be each bundle.
func (c *call) orderVersion() uint64 {
	if c.h.Service == c.st.service {
		return c.st.orderVersion
	}
	return c.st.view.Version()
}

// earlierTakeoverDue reports whether a candidate before this one was skipped because it is gone.
func (c *call) earlierTakeoverDue() bool {
	for i := range int(c.h.At) {
		if eligible(c.h, i) {
			return true
		}
	}
	return false
}

// udpSearch asks every other candidate whether it owns the flow, with the packet itself.
func (c *call) udpSearch(e entry) Action {
	h := c.h
	c.s.counters.Searches.Add(1)
	c.put(entry{kind: kindPassed, flags: searching, version: max(e.version, h.Version), lastUsed: c.at, lastRefresh: c.at})
	h.Phase, h.Asker, h.Passed, h.Doubt = forward.PhaseFind, h.At, 0, false
	markPassed(h, int(h.At))
	if i := c.nextCandidate(); i != none {
		return forwardTo(h, i)
	}
	return c.udpEndSearch(c.entry())
}

// udpAnswerSearch answers a search: this sidecar does not own the flow and promises
// not to accept it on its own.
func (c *call) udpAnswerSearch(e entry) Action {
	h := c.h
	i, searcher := c.home(), c.upstream(int(h.Asker))
	if i != none && i != int(h.Asker) || c.mayHaveForgotten() || c.otherSearchPending(e) {
		h.Doubt = true
	}
	markPassed(h, int(h.At))
	if e.kind != kindPassed || e.flags&(searching|promised) != 0 {
		e = entry{kind: kindPassed, flags: promised, target: searcher, version: e.version}
	}
	if h.Version > c.st.view.Version() {
		e.flags |= searchedNewer
	}
	e.version = max(e.version, h.Version)
	e.lastUsed, e.lastRefresh = c.at, c.at
	c.put(e)
	j := indexOf(h, e.target)
	if j != none && !passed(h, j) {
		return forwardTo(h, j)
	}
	if j = c.nextCandidate(); j != none {
		return forwardTo(h, j)
	}
	return forwardTo(h, int(h.Asker))
}

// mayHaveForgotten reports whether the upstream may have run the request and forgotten
// it. An idempotent service vouches for itself, but not for one that got its address.
func (c *call) mayHaveForgotten() bool {
	if c.h.Service != c.st.service {
		return c.s.recentlyStarted(c.st, c.now)
	}
	return c.s.restarted(c.st, c.now)
}

// otherSearchPending reports whether another search may still end in an acceptance.
func (c *call) otherSearchPending(e entry) bool {
	if e.kind != kindPassed {
		return false
	}
	if e.flags&searching == 0 && e.target == c.upstream(int(c.h.Asker)) {
		return false
	}
	return e.version > c.h.Version || c.at.since(e.lastRefresh) <= ticks(searchTimeout)
}

// udpEndSearch ends a search that found no owner.
func (c *call) udpEndSearch(e entry) Action {
	h := c.h
	i := c.home()
	if i == none {
		return c.udpNoHome()
	}
	if i != int(h.At) {
		h.Phase, h.Passed, h.Doubt = forward.PhaseAccept, 0, false
		return forwardTo(h, i)
	}
	if e.kind != kindPassed || e.flags&searching == 0 || e.version > h.Version {
		return c.drop(ReasonUnsure)
	}
	if h.Doubt || c.nextCandidate() != none || c.newerBundleExists() || !c.majorityAnswered() {
		return c.drop(ReasonUnsure)
	}
	return c.udpAdmit()
}

// majorityAnswered reports whether a majority of the service's upstreams answered the
// search, when some were passed by because they are gone.
func (c *call) majorityAnswered() bool {
	anyAbsent, answers, all := false, 0, 0
	for i := range c.h.Candidates {
		if c.h.Candidates[i].Service != c.h.Service {
			continue
		}
		all++
		switch {
		case c.takeoverDue(i):
			anyAbsent = true
		case passed(c.h, i):
			answers++
		}
	}
	return !anyAbsent || answers >= majority(all)
}

// udpNoHome refuses a flow when every candidate is leaving and none owns it.
func (c *call) udpNoHome() Action {
	if c.h.Doubt || c.nextCandidate() != none {
		return c.drop(ReasonUnsure)
	}
	return c.udpRefuse(ReasonNoUpstream)
}

// udpFromHome decides on a flow that the first candidate handed on.
func (c *call) udpFromHome(e entry) Action {
	if j := c.passedTarget(e); j != none {
		return forwardTo(c.h, j)
	}
	if e.kind == kindPassed {
		if e.version > c.h.Version || e.flags&searching != 0 && c.at.since(e.lastRefresh) <= ticks(searchTimeout) {
			return c.drop(ReasonUnsure)
		}
	}
	if c.targetUncertain(e) {
		return c.drop(ReasonUnsure)
	}
	return c.udpAdmit()
}

// targetUncertain reports whether the flow was passed to another upstream that may
// still own it, but the packet follows a newer bundle, whose order this sidecar
// does not know yet.
func (c *call) targetUncertain(e entry) bool {
	if e.kind != kindPassed || e.flags&(searching|promised) != 0 || e.version < c.orderVersion() {
		return false
	}
	return c.h.Version > c.st.view.Version()
}

// udpAdmit puts a flow that no other sidecar owns to the policy. A fenced sidecar
// hands it on: one that has just joined is fenced until the others hear it.
func (c *call) udpAdmit() Action {
	h := c.h
	if c.s.restarted(c.st, c.now) {
		return c.drop(ReasonRestarted)
	}
	if !c.st.settings.Idempotent && c.s.peers.removedWithin(c.now, c.st.takeoverDelay()) {
		return c.drop(ReasonUnsure)
	}
	if h.Phase == forward.PhaseFind {
		h.Phase, h.Passed = forward.PhaseAccept, 0
	}
	markPassed(h, int(h.At))
	// Those to whom the packet is handed on may still hear who is gone here, and
	// would take the request for one that has not run.
	h.Doubt = h.Doubt || c.anyTakeoverDue()
	mayAccept, i := c.mayAccept(), c.nextEligible()
	fenced := c.s.fenced(c.st, c.now)
	verdict := Verdict{Choice: Pass}
	if mayAccept && !fenced {
		verdict = c.admit()
	}
	switch {
	case verdict.Choice == Accept:
		return c.udpAccept()
	case verdict.Choice == Pass && i != none:
		return c.passOn(i, verdict.Load)
	case fenced:
		return c.drop(ReasonFenced)
	case mayAccept:
		return c.udpRefuse(ReasonFull)
	}
	return c.udpRefuse(ReasonNoUpstream)
}

// anyTakeoverDue reports whether a candidate was not asked because it is gone.
func (c *call) anyTakeoverDue() bool {
	for i := range c.h.Candidates {
		if c.takeoverDue(i) {
			return true
		}
	}
	return false
}

func (c *call) udpAccept() Action {
	c.s.counters.Accepted.Add(1)
	e := entry{kind: kindOwner, version: c.h.Version, lastUsed: c.at, lastRefresh: c.at, generation: c.st.generation}
	if c.home() == int(c.h.At) && c.h.Version == c.st.view.Version() {
		e.flags |= firstCandidate
	}
	c.put(e)
	c.queueHint()
	return Deliver{}
}

// udpRefuse refuses a flow, and remembers it for as long as a copy of the packet
// may still arrive. It says that the request was not run only where no upstream,
// alive or restarted, can have run it.
func (c *call) udpRefuse(r Reason) Action {
	if !c.s.mutations.has(mutateNoTombstone) {
		c.put(entry{kind: kindRefused, version: c.h.Version, lastUsed: c.at, lastRefresh: c.at})
	}
	return c.refuse(Refuse{Reason: r, NotRun: c.certainlyNotRun(), RetryAfter: RetryAfter})
}

// certainlyNotRun reports whether no upstream can have run a request of an unknown flow,
// or run it later: a copy that is still on its way under another order of
// candidates may be accepted elsewhere.
func (c *call) certainlyNotRun() bool {
	if !c.noOtherOwner() {
		return false
	}
	if c.st.settings.Idempotent || c.s.restarted(c.st, c.now) || c.s.fenced(c.st, c.now) {
		return false
	}
	return !c.h.Doubt && !c.anyTakeoverDue() && !c.s.peers.removedWithin(c.now, c.st.takeoverDelay())
}
