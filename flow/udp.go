package flow

import "github.com/corianderbay/corianderbay/forward"

// udp decides on a datagram of a caller. Any datagram may open a flow, so a
// sidecar accepts an unknown flow only when no other sidecar can own it.
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

// udpReroute restarts the decision with the candidates of a newer bundle.
func (c *call) udpReroute() Action {
	c.h.Phase, c.h.Passed, c.h.Uncertain = forward.PhaseAccept, 0, false
	if !c.addressedToSelf() {
		return c.udpForwardHome()
	}
	e := c.entry()
	if c.serviceMatch && e.kind == kindOwner {
		return c.udpOwned(e)
	}
	return c.udpUnowned(e)
}

// udpForwardHome forwards the packet to the flow's home, or to the next candidate
// when there is no home.
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

// home returns the index of the flow's home, or none. The home is the first
// candidate that takes new flows and is not due for takeover. It is the only one
// that accepts the flow on its own; others accept it only when it is passed on to them.
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
	if h.Phase == forward.PhaseFind && h.Current == h.Initiator {
		return c.udpEndSearch(e)
	}
	if h.Phase == forward.PhaseFind {
		return c.udpAnswerSearch(e)
	}
	i := c.home()
	switch {
	case i == int(h.Current):
		return c.udpAtHome(e)
	case i == none:
		return c.udpSearch(e)
	case passed(h, i):
		return c.udpFromHome(e)
	}
	return forwardTo(h, i)
}

// udpServiceMismatch handles a packet whose candidates do not list this upstream
// with the service that it serves, although it owns a flow with the same key.
func (c *call) udpServiceMismatch() Action {
	h := c.h
	if h.Phase != forward.PhaseFind || h.Current == h.Initiator {
		return c.drop(ReasonService)
	}
	h.Uncertain = true
	markPassed(h, int(h.Current))
	if i := c.nextCandidate(); i != none {
		return forwardTo(h, i)
	}
	return forwardTo(h, int(h.Initiator))
}

// udpOwned delivers a datagram of an owned flow. For a flow that is owned away from
// its home, it sends one datagram through the home every DetourInterval, so that
// the home keeps its entry of the flow.
func (c *call) udpOwned(e entry) Action {
	if c.s.fenced(c.st, c.now) {
		return c.drop(ReasonFenced)
	}
	if e.generation != c.st.generation {
		c.udpUpdateHome(&e)
	}
	if e.flags&isHome != 0 || c.at.since(e.lastRefresh) <= ticks(DetourInterval) {
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

// udpUpdateHome recomputes whether the sidecar is the flow's home.
func (c *call) udpUpdateHome(e *entry) {
	own := forward.Header{}
	rerank(c.st.view, &own, c.p.Key)
	d := *c
	d.h = &own
	e.generation = c.st.generation
	e.flags &^= isHome
	e.lastRefresh = max(e.lastRefresh, c.st.orderChanged)
	if i := d.home(); i != none && d.upstream(i) == c.s.cfg.Upstream {
		e.flags |= isHome
	}
	c.put(*e)
}

// udpCameViaHome reports whether the packet came through the flow's home.
func (c *call) udpCameViaHome() bool {
	if c.h.Version < c.st.view.Version() {
		return false
	}
	i := c.home()
	switch {
	case i == none, i == int(c.h.Current):
		return true
	case c.h.Phase == forward.PhaseFind:
		return i == int(c.h.Initiator)
	}
	return passed(c.h, i)
}

// udpDetour sends the packet through the home, or delivers it while the home is silent.
func (c *call) udpDetour(e entry) Action {
	if c.s.mutations.has(mutateNoDetour) {
		c.touch(e)
		return Deliver{}
	}
	c.rerank()
	c.h.Phase, c.h.Passed, c.h.Uncertain = forward.PhaseAccept, 0, false
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

// udpAtHome decides at the home on a flow that the home does not own.
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

// passedTarget returns the index of the candidate that the flow was passed on to,
// or none. It ignores an entry made under an older order of candidates, since the
// flow may have ended and been opened elsewhere after that.
func (c *call) passedTarget(e entry) int {
	if e.kind != kindPassed || e.flags&(searching|promised) != 0 {
		return none
	}
	if e.version < c.orderVersion() || c.h.Version != c.st.view.Version() {
		return none
	}
	j := indexOf(c.h, e.target)
	if j == none || j == int(c.h.Current) || passed(c.h, j) || c.takeoverDue(j) {
		return none
	}
	e.lastUsed = c.at
	c.put(e)
	markPassed(c.h, int(c.h.Current))
	return j
}

// noOtherOwner reports whether no other sidecar can own a flow for which this one,
// the home, has no entry. It returns false for a service that the upstream does
// not serve: its peers' reports do not show when that service agreed on the order.
func (c *call) noOtherOwner() bool {
	return c.h.Service == c.st.service && c.s.noOtherOwner(c.st, c.now, c.h.Version)
}

// orderVersion returns the version of the bundle that last changed the order of the
// packet's candidates. For a service that the upstream does not serve this is
// unknown, so it returns the version of the bundle in force.
func (c *call) orderVersion() uint64 {
	if c.h.Service == c.st.service {
		return c.st.orderVersion
	}
	return c.st.view.Version()
}

// earlierTakeoverDue reports whether an eligible candidate before this one was
// skipped because it is due for takeover.
func (c *call) earlierTakeoverDue() bool {
	for i := range int(c.h.Current) {
		if eligible(c.h, i) {
			return true
		}
	}
	return false
}

// udpSearch searches for the owner of the flow by sending the packet to every other candidate.
func (c *call) udpSearch(e entry) Action {
	h := c.h
	c.s.counters.Searches.Add(1)
	c.put(entry{kind: kindPassed, flags: searching, version: max(e.version, h.Version), lastUsed: c.at, lastRefresh: c.at})
	h.Phase, h.Initiator, h.Passed, h.Uncertain = forward.PhaseFind, h.Current, 0, false
	markPassed(h, int(h.Current))
	if i := c.nextCandidate(); i != none {
		return forwardTo(h, i)
	}
	return c.udpEndSearch(c.entry())
}

// udpAnswerSearch answers a search. This sidecar does not own the flow, and
// promises in its entry not to accept it on its own.
func (c *call) udpAnswerSearch(e entry) Action {
	h := c.h
	i, searcher := c.home(), c.upstream(int(h.Initiator))
	if i != none && i != int(h.Initiator) || c.mayHaveForgotten() || c.otherSearchPending(e) {
		h.Uncertain = true
	}
	markPassed(h, int(h.Current))
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
	if j != none && !passed(h, j) && !c.takeoverDue(j) {
		return forwardTo(h, j)
	}
	if j = c.nextCandidate(); j != none {
		return forwardTo(h, j)
	}
	return forwardTo(h, int(h.Initiator))
}

// mayHaveForgotten reports whether the upstream may have run the request and lost
// its state in a restart. This does not matter for an idempotent service, unless
// its address moved to another service.
func (c *call) mayHaveForgotten() bool {
	if c.h.Service != c.st.service {
		return c.s.recentlyStarted(c.st, c.now)
	}
	return c.s.restarted(c.st, c.now)
}

// otherSearchPending reports whether another search for the flow may still end in
// an acceptance.
func (c *call) otherSearchPending(e entry) bool {
	if e.kind != kindPassed {
		return false
	}
	if e.flags&searching == 0 && e.target == c.upstream(int(c.h.Initiator)) {
		return false
	}
	return e.version > c.h.Version || c.at.since(e.lastRefresh) <= ticks(searchTimeout)
}

// udpEndSearch handles a packet that returned from a search without an owner.
func (c *call) udpEndSearch(e entry) Action {
	h := c.h
	i := c.home()
	if i == none {
		return c.udpNoHome()
	}
	if i != int(h.Current) {
		h.Phase, h.Passed, h.Uncertain = forward.PhaseAccept, 0, false
		return forwardTo(h, i)
	}
	if e.kind != kindPassed || e.flags&searching == 0 || e.version > h.Version {
		return c.drop(ReasonUnsure)
	}
	if h.Uncertain || c.nextCandidate() != none || c.newerBundleExists() || !c.majorityAnswered() {
		return c.drop(ReasonUnsure)
	}
	return c.udpAdmit()
}

// majorityAnswered reports whether a majority of the service's upstreams answered
// the search. It returns true when no candidate was skipped as due for takeover.
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

// udpNoHome refuses a flow that has no home, because every candidate is leaving or
// due for takeover, and no owner.
func (c *call) udpNoHome() Action {
	if c.h.Uncertain || c.nextCandidate() != none {
		return c.drop(ReasonUnsure)
	}
	return c.udpRefuse(ReasonNoUpstream)
}

// udpFromHome decides on a flow that the home passed on.
func (c *call) udpFromHome(e entry) Action {
	if j := c.passedTarget(e); j != none {
		return forwardTo(c.h, j)
	}
	if c.targetObsolete(e) {
		markPassed(c.h, int(c.h.Current))
		return forwardTo(c.h, c.home()) // which searches for the flow, since this candidate has passed it
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

// targetUncertain reports whether the flow was passed on to another upstream that
// may still own it, while the packet uses the order of a newer bundle that this
// sidecar does not have yet.
func (c *call) targetUncertain(e entry) bool {
	if e.kind != kindPassed || e.flags&(searching|promised) != 0 || e.version < c.orderVersion() {
		return false
	}
	return c.h.Version > c.st.view.Version()
}

// targetObsolete reports whether the flow was passed on to an upstream that this
// sidecar does not send it to any more, although another one may still own it: the
// upstream is due for takeover, but may have passed the flow on as well, or the entry
// is older than the order in force here, but not than the one in force at the home.
func (c *call) targetObsolete(e entry) bool {
	if e.kind != kindPassed || e.flags&(searching|promised) != 0 {
		return false
	}
	if e.version < c.orderVersion() {
		return true
	}
	j := indexOf(c.h, e.target)
	return j != none && !passed(c.h, j) && c.takeoverDue(j)
}

// udpAdmit submits a flow that no other sidecar owns to the admission policy. A
// fenced sidecar passes it on instead: a sidecar that has just joined is fenced
// until a majority confirms its reports.
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
	markPassed(h, int(h.Current))
	// A candidate that receives the packet may still get reports from an upstream
	// that was skipped here, and would refuse the request as one that has not run.
	h.Uncertain = h.Uncertain || c.anyTakeoverDue()
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

// anyTakeoverDue reports whether a candidate was skipped because it is due for takeover.
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
	if c.home() == int(c.h.Current) && c.h.Version == c.st.view.Version() {
		e.flags |= isHome
	}
	c.put(e)
	c.queueHint()
	return Deliver{}
}

// udpRefuse refuses a flow, and keeps a tombstone for as long as a copy of the
// packet may still arrive. It sets NotRun only when no upstream, running or
// restarted, can have run the request.
func (c *call) udpRefuse(r Reason) Action {
	if !c.s.mutations.has(mutateNoTombstone) {
		c.put(entry{kind: kindRefused, version: c.h.Version, lastUsed: c.at, lastRefresh: c.at})
	}
	return c.refuse(Refuse{Reason: r, NotRun: c.certainlyNotRun(), RetryAfter: RetryAfter})
}

// certainlyNotRun reports whether no upstream can have run a request of an unknown
// flow or can run it later: a copy that is in transit under another order of
// candidates could be accepted elsewhere.
func (c *call) certainlyNotRun() bool {
	if !c.noOtherOwner() {
		return false
	}
	if c.st.settings.Idempotent || c.s.restarted(c.st, c.now) || c.s.fenced(c.st, c.now) {
		return false
	}
	return !c.h.Uncertain && !c.anyTakeoverDue() && !c.s.peers.removedWithin(c.now, c.st.takeoverDelay())
}
