package flow

import "github.com/corianderbay/corianderbay/forward"

// udp decides on a datagram of a caller. Any datagram may open a flow, so a
// sidecar accepts an unknown flow only when no other can own it.
func (c *call) udp() Action {
	e := c.entry()
	if c.mine && e.kind == kindOwner {
		return c.udpOwned(e)
	}
	if c.rerank() {
		return c.udpRestart()
	}
	return c.udpUnowned(e)
}

// udpRestart begins anew with the candidates of a newer bundle.
func (c *call) udpRestart() Action {
	c.h.Phase, c.h.Passed, c.h.Uncertain = forward.PhaseAccept, 0, false
	if !c.listed() {
		return c.udpToHome()
	}
	e := c.entry()
	if c.mine && e.kind == kindOwner {
		return c.udpOwned(e)
	}
	return c.udpUnowned(e)
}

// udpToHome sends the packet to its first candidate, or to any when each is leaving.
func (c *call) udpToHome() Action {
	i := c.home()
	if i != none {
		return aim(c.h, i)
	}
	if i = c.next(); i != none {
		return aim(c.h, i)
	}
	return c.drop(ReasonNoUpstream)
}

// home returns the first candidate: the only one that accepts the flow without being told to.
func (c *call) home() int {
	for i := range c.h.Candidates {
		if takes(c.h, i) && !c.over(i) {
			return i
		}
	}
	return none
}

func (c *call) udpUnowned(e entry) Action {
	if e.kind == kindOwner {
		return c.udpForeign()
	}
	if e.kind == kindRefused {
		return c.refuse(Refuse{Reason: ReasonFull, RetryAfter: RetryAfter})
	}
	h := c.h
	if h.Phase == forward.PhaseFind && h.Current == h.Initiator {
		return c.udpReturned(e)
	}
	if h.Phase == forward.PhaseFind {
		return c.udpAsked(e)
	}
	i := c.home()
	switch {
	case i == int(h.Current):
		return c.udpHome(e)
	case i == none:
		return c.udpSearch(e)
	case passed(h, i):
		return c.udpTold(e)
	}
	return aim(h, i)
}

// udpForeign handles a packet whose candidates do not name this upstream with
// the service that it still serves, although it owns a flow with the same key.
func (c *call) udpForeign() Action {
	h := c.h
	if h.Phase != forward.PhaseFind || h.Current == h.Initiator {
		return c.drop(ReasonService)
	}
	h.Uncertain = true
	pass(h, int(h.Current))
	if i := c.next(); i != none {
		return aim(h, i)
	}
	return aim(h, int(h.Initiator))
}

// udpOwned delivers a datagram of an owned flow. A flow away from its first
// candidate is sent past it once every DetourInterval, so that the first
// candidate never forgets that another sidecar owns the flow.
func (c *call) udpOwned(e entry) Action {
	if c.s.fenced(c.st, c.now) {
		return c.drop(ReasonFenced)
	}
	if e.generation != c.st.generation {
		c.udpRegenerate(&e)
	}
	if e.flags&first != 0 || c.at.since(e.seen) <= ticks(DetourInterval) {
		c.touch(e)
		c.hint()
		return Deliver{}
	}
	if c.udpSeenAtHome() {
		e.seen, e.last = c.at, c.at
		c.put(e)
		c.hint()
		return Deliver{}
	}
	return c.udpDetour(e)
}

// udpRegenerate computes again whether the sidecar is the flow's first candidate.
func (c *call) udpRegenerate(e *entry) {
	own := forward.Header{}
	rerank(c.st.view, &own, c.p.Key)
	d := *c
	d.h = &own
	e.generation = c.st.generation
	e.flags &^= first
	e.seen = max(e.seen, c.st.changed)
	if i := d.home(); i != none && d.upstream(i) == c.s.cfg.Upstream {
		e.flags |= first
	}
	c.put(*e)
}

// udpSeenAtHome reports whether the packet came past the flow's first candidate.
func (c *call) udpSeenAtHome() bool {
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

// udpDetour sends the packet past the first candidate, or delivers it while that one is silent.
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
	if silent && c.at.since(e.seen) <= ticks(DetourInterval+DetourGrace) {
		c.touch(e)
		return Deliver{}
	}
	c.s.counters.Detours.Add(1)
	return aim(c.h, i)
}

// udpHome decides at the first candidate on a flow that it does not own.
func (c *call) udpHome(e entry) Action {
	if e.flags&overtaken != 0 {
		return c.udpSearch(e)
	}
	if j := c.follow(e); j != none {
		return aim(c.h, j)
	}
	if c.unfollowed(e) {
		return c.drop(ReasonUnsure)
	}
	if e.kind == 0 && c.sure() && !c.anyOver() {
		return c.udpTake()
	}
	return c.udpSearch(e)
}

// follow returns the candidate that the flow was passed to, or none. What was
// remembered under another order of candidates is not followed: the flow may
// have ended, and begun again elsewhere, since then.
func (c *call) follow(e entry) int {
	if e.kind != kindPassed || e.flags&(asking|promised) != 0 {
		return none
	}
	if e.version < c.ordered() || c.h.Version != c.st.view.Version() {
		return none
	}
	j := indexOf(c.h, e.target)
	if j == none || j == int(c.h.Current) || passed(c.h, j) || c.over(j) {
		return none
	}
	e.last = c.at
	c.put(e)
	pass(c.h, int(c.h.Current))
	return j
}

// sure reports whether no other sidecar can own a flow that this one, the first
// candidate, does not know. Of a service that the upstream does not serve, or
// not yet, it cannot know when the order was agreed on.
func (c *call) sure() bool {
	return c.h.Service == c.st.service && c.s.sure(c.st, c.now, c.h.Version)
}

// ordered returns the bundle that last changed the order of the packet's
// candidates. Of a service that the upstream does not serve this is not known,
// and may be each bundle.
func (c *call) ordered() uint64 {
	if c.h.Service == c.st.service {
		return c.st.ordered
	}
	return c.st.view.Version()
}

// anyOver reports whether a candidate before this one was skipped because it is gone.
func (c *call) anyOver() bool {
	for i := range int(c.h.Current) {
		if takes(c.h, i) {
			return true
		}
	}
	return false
}

// udpSearch asks every other candidate whether it owns the flow, with the packet itself.
func (c *call) udpSearch(e entry) Action {
	h := c.h
	c.s.counters.Searches.Add(1)
	c.put(entry{kind: kindPassed, flags: asking, version: max(e.version, h.Version), last: c.at, seen: c.at})
	h.Phase, h.Initiator, h.Passed, h.Uncertain = forward.PhaseFind, h.Current, 0, false
	pass(h, int(h.Current))
	if i := c.next(); i != none {
		return aim(h, i)
	}
	return c.udpReturned(c.entry())
}

// udpAsked answers a search: this sidecar does not own the flow and promises
// not to accept it on its own.
func (c *call) udpAsked(e entry) Action {
	h := c.h
	i, asker := c.home(), c.upstream(int(h.Initiator))
	if i != none && i != int(h.Initiator) || c.forgetful() || c.udpPromised(e) {
		h.Uncertain = true
	}
	pass(h, int(h.Current))
	if e.kind != kindPassed || e.flags&(asking|promised) != 0 {
		e = entry{kind: kindPassed, flags: promised, target: asker, version: e.version}
	}
	if h.Version > c.st.view.Version() {
		e.flags |= overtaken
	}
	e.version = max(e.version, h.Version)
	e.last, e.seen = c.at, c.at
	c.put(e)
	j := indexOf(h, e.target)
	if j != none && !passed(h, j) {
		return aim(h, j)
	}
	if j = c.next(); j != none {
		return aim(h, j)
	}
	return aim(h, int(h.Initiator))
}

// forgetful reports whether the upstream may have run the request and forgotten
// it. An idempotent service vouches for itself, but not for one that got its address.
func (c *call) forgetful() bool {
	if c.h.Service != c.st.service {
		return c.s.young(c.st, c.now)
	}
	return c.s.restarted(c.st, c.now)
}

// udpPromised reports whether another search may still end in an acceptance.
func (c *call) udpPromised(e entry) bool {
	if e.kind != kindPassed {
		return false
	}
	if e.flags&asking == 0 && e.target == c.upstream(int(c.h.Initiator)) {
		return false
	}
	return e.version > c.h.Version || c.at.since(e.seen) <= ticks(searchLife)
}

// udpReturned ends a search that found no owner.
func (c *call) udpReturned(e entry) Action {
	h := c.h
	i := c.home()
	if i == none {
		return c.udpNone()
	}
	if i != int(h.Current) {
		h.Phase, h.Passed, h.Uncertain = forward.PhaseAccept, 0, false
		return aim(h, i)
	}
	if e.kind != kindPassed || e.flags&asking == 0 || e.version > h.Version {
		return c.drop(ReasonUnsure)
	}
	if h.Uncertain || c.next() != none || c.behind() || !c.agreed() {
		return c.drop(ReasonUnsure)
	}
	return c.udpTake()
}

// agreed reports whether a majority of the service's upstreams answered the
// search, when some were passed by because they are gone.
func (c *call) agreed() bool {
	gone, answers, all := false, 0, 0
	for i := range c.h.Candidates {
		if c.h.Candidates[i].Service != c.h.Service {
			continue
		}
		all++
		switch {
		case c.over(i):
			gone = true
		case passed(c.h, i):
			answers++
		}
	}
	return !gone || answers >= majority(all)
}

// udpNone refuses a flow when every candidate is leaving and none owns it.
func (c *call) udpNone() Action {
	if c.h.Uncertain || c.next() != none {
		return c.drop(ReasonUnsure)
	}
	return c.udpRefuse(ReasonNoUpstream)
}

// udpTold decides on a flow that the first candidate handed on.
func (c *call) udpTold(e entry) Action {
	if j := c.follow(e); j != none {
		return aim(c.h, j)
	}
	if e.kind == kindPassed {
		if e.version > c.h.Version || e.flags&asking != 0 && c.at.since(e.seen) <= ticks(searchLife) {
			return c.drop(ReasonUnsure)
		}
	}
	if c.unfollowed(e) {
		return c.drop(ReasonUnsure)
	}
	return c.udpTake()
}

// unfollowed reports whether the flow was passed to another upstream that may
// still own it, but the packet follows a newer bundle, whose order this sidecar
// does not know yet.
func (c *call) unfollowed(e entry) bool {
	if e.kind != kindPassed || e.flags&(asking|promised) != 0 || e.version < c.ordered() {
		return false
	}
	return c.h.Version > c.st.view.Version()
}

// udpTake puts a flow that no other sidecar owns to the policy. A fenced sidecar
// hands it on: one that has just joined is fenced until the others hear it.
func (c *call) udpTake() Action {
	h := c.h
	if c.s.restarted(c.st, c.now) {
		return c.drop(ReasonRestarted)
	}
	if !c.st.settings.Idempotent && c.s.peers.lost(c.now, c.st.takeover()) {
		return c.drop(ReasonUnsure)
	}
	if h.Phase == forward.PhaseFind {
		h.Phase, h.Passed = forward.PhaseAccept, 0
	}
	pass(h, int(h.Current))
	// Those to whom the packet is handed on may still hear who is gone here, and
	// would take the request for one that has not run.
	h.Uncertain = h.Uncertain || c.skipped()
	may, i := c.may(), c.nextTaker()
	fenced := c.s.fenced(c.st, c.now)
	verdict := Verdict{Choice: Pass}
	if may && !fenced {
		verdict = c.admit()
	}
	switch {
	case verdict.Choice == Accept:
		return c.udpAccept()
	case verdict.Choice == Pass && i != none:
		return c.passOn(i, verdict.Load)
	case fenced:
		return c.drop(ReasonFenced)
	case may:
		return c.udpRefuse(ReasonFull)
	}
	return c.udpRefuse(ReasonNoUpstream)
}

// skipped reports whether a candidate was not asked because it is gone.
func (c *call) skipped() bool {
	for i := range c.h.Candidates {
		if c.over(i) {
			return true
		}
	}
	return false
}

func (c *call) udpAccept() Action {
	c.s.counters.Accepted.Add(1)
	e := entry{kind: kindOwner, version: c.h.Version, last: c.at, seen: c.at, generation: c.st.generation}
	if c.home() == int(c.h.Current) && c.h.Version == c.st.view.Version() {
		e.flags |= first
	}
	c.put(e)
	c.hint()
	return Deliver{}
}

// udpRefuse refuses a flow, and remembers it for as long as a copy of the packet
// may still arrive. It says that the request was not run only where no upstream,
// alive or restarted, can have run it.
func (c *call) udpRefuse(r Reason) Action {
	if !c.s.mutations.has(mutateNoTombstone) {
		c.put(entry{kind: kindRefused, version: c.h.Version, last: c.at, seen: c.at})
	}
	return c.refuse(Refuse{Reason: r, NotRun: c.certain(), RetryAfter: RetryAfter})
}

// certain reports whether no upstream can have run a request of an unknown flow,
// or run it later: a copy that is still on its way under another order of
// candidates may be accepted elsewhere.
func (c *call) certain() bool {
	if !c.sure() {
		return false
	}
	if c.st.settings.Idempotent || c.s.restarted(c.st, c.now) || c.s.fenced(c.st, c.now) {
		return false
	}
	return !c.h.Uncertain && !c.skipped() && !c.s.peers.lost(c.now, c.st.takeover())
}
