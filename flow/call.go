package flow

import (
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/forward"
)

// A call is the decision on one packet. It holds the lock of the flow's shard.
type call struct {
	s     *Sidecar
	st    *state
	now   time.Time
	at    stamp
	h     *forward.Header
	p     Packet
	shard *shard
	// serviceMatch is true when a candidate entry names this upstream with the service that it serves.
	serviceMatch bool
}

// entry returns the flow's entry, forgetting an expired one.
func (c *call) entry() entry {
	e, ok := c.shard.entries[c.p.Key]
	if !ok || c.at.since(e.lastUsed) <= c.st.lifetime(c.p.Key.Protocol(), e) {
		return e
	}
	c.s.table.remove(c.shard, c.p.Key)
	return entry{}
}

// put stores the flow's entry.
func (c *call) put(e entry) {
	c.s.table.put(c.shard, c.p.Key, e)
}

// touch keeps an entry alive.
func (c *call) touch(e entry) {
	if c.at.since(e.lastUsed) < ticks(touchInterval) {
		return
	}
	e.lastUsed = c.at
	c.shard.entries[c.p.Key] = e
}

// lifetime returns how long an entry is kept after entry.last. That is up to
// touchInterval before the last use of an entry that touch keeps alive.
func (st *state) lifetime(p Protocol, e entry) stamp {
	switch {
	case e.kind == kindRefused:
		return ticks(RetryAfter)
	case e.kind == kindHalfOpen:
		return ticks(halfOpenTimeout)
	case e.kind == kindPassed && p == TCP:
		return ticks(halfOpenTimeout + touchInterval)
	case e.kind == kindPassed:
		return ticks(st.settings.guardTime() + touchInterval)
	case e.flags&closing != 0:
		return ticks(closingTimeout)
	case p == TCP:
		return ticks(st.settings.Idle + touchInterval)
	}
	return ticks(st.settings.retention() + touchInterval)
}

// upstream returns the upstream of candidate i.
func (c *call) upstream(i int) bundle.UpstreamID {
	return c.h.Candidates[i].Upstream
}

// drop counts and returns a Drop.
func (c *call) drop(r Reason) Action {
	return c.s.drop(r)
}

// refuse counts and returns a Refuse.
func (c *call) refuse(r Refuse) Action {
	c.s.counters.Refused.Add(1)
	return r
}

// takeoverDue reports whether candidate i is gone and its flows may be taken over.
func (c *call) takeoverDue(i int) bool {
	if c.s.mutations.has(mutateNoTakeover) {
		return false
	}
	return c.s.peers.takeoverDue(c.now, c.upstream(i), c.st.takeoverDelay())
}

// nextCandidate returns the candidate to ask next, silent ones last, or none when each has passed or is over.
func (c *call) nextCandidate() int {
	silent := none
	for i := range c.h.Candidates {
		if passed(c.h, i) || c.takeoverDue(i) {
			continue
		}
		if !c.s.peers.suspected(c.now, c.upstream(i)) {
			return i
		}
		if silent == none {
			silent = i
		}
	}
	return silent
}

// nextEligible returns the next candidate that may take a new flow, silent ones last, or none.
func (c *call) nextEligible() int {
	silent := none
	for i := range c.h.Candidates {
		if passed(c.h, i) || !eligible(c.h, i) || c.takeoverDue(i) {
			continue
		}
		if !c.s.peers.suspected(c.now, c.upstream(i)) {
			return i
		}
		if silent == none {
			silent = i
		}
	}
	return silent
}

// rerank brings the header to the sidecar's newer bundle and reports whether
// it did. The packet stays with this sidecar when it is still a candidate.
func (c *call) rerank() bool {
	if c.s.mutations.has(mutateNoRerank) || !rerank(c.st.view, c.h, c.p.Key) {
		return false
	}
	i := indexOf(c.h, c.s.cfg.Upstream)
	if i == none {
		c.serviceMatch = false
		c.h.At = 0
		return true
	}
	c.h.At = uint8(i)
	c.serviceMatch = c.matchService()
	return true
}

// matchService reports whether the candidates name this upstream with the service that it serves.
func (c *call) matchService() bool {
	if c.h.Candidates[c.h.At].Service == c.st.service || c.s.mutations.has(mutateAnyService) {
		return true
	}
	for i := range c.h.Candidates {
		if c.h.Candidates[i].Service == c.st.service && c.upstream(i) == c.s.cfg.Upstream {
			return true
		}
	}
	return false
}

// newerBundleExists reports whether a newer bundle than the packet's is known to exist.
func (c *call) newerBundleExists() bool {
	return c.s.highestVersion.Load() > c.h.Version
}

// addressedToSelf reports whether the packet's candidates hold this sidecar at Header.At.
func (c *call) addressedToSelf() bool {
	return c.upstream(int(c.h.At)) == c.s.cfg.Upstream
}

// mayAccept reports whether this sidecar may take new flows of the packet's service.
func (c *call) mayAccept() bool {
	if c.s.mutations.has(mutateAcceptLeaving) {
		return c.serviceMatch
	}
	served := c.serviceMatch && c.h.Service == c.st.service || c.s.mutations.has(mutateAnyService)
	return c.addressedToSelf() && served && !c.st.leaving && eligible(c.h, int(c.h.At))
}

// admit asks the policy.
func (c *call) admit() Verdict {
	o := Offer{
		Now:   c.now,
		Hash:  c.p.Key.Hash(),
		Load:  c.s.load.Load(),
		Flows: c.s.Flows(),
	}
	c.addPassed(&o)
	c.addRemaining(&o)
	o.Last = o.PassedCount+1 == o.EligibleCount
	v := c.s.cfg.Admitter.Admit(o)
	v.RetryAfter = max(v.RetryAfter, RetryAfter)
	return v
}

// addPassed fills in the candidates that have passed, with their loads.
func (c *call) addPassed(o *Offer) {
	for i := range c.h.Candidates {
		if i == int(c.h.At) || !passed(c.h, i) || !eligible(c.h, i) {
			continue
		}
		if o.PassedCount < len(o.Loads) && i < len(c.h.Loads) {
			o.Loads[o.PassedCount] = c.h.Loads[i]
		}
		if o.PassedCount < len(o.Candidates) {
			o.Candidates[o.PassedCount] = c.upstream(i)
		}
		o.PassedCount++
	}
}

// addRemaining fills in this sidecar's upstream and the candidates that are left.
func (c *call) addRemaining(o *Offer) {
	o.EligibleCount = o.PassedCount
	if o.EligibleCount < len(o.Candidates) {
		o.Candidates[o.EligibleCount] = c.s.cfg.Upstream
	}
	o.EligibleCount++
	for i := range c.h.Candidates {
		if passed(c.h, i) || !eligible(c.h, i) || c.takeoverDue(i) || i == int(c.h.At) {
			continue
		}
		// A flow that is passed to a silent sidecar may be lost with it.
		if c.s.peers.suspected(c.now, c.upstream(i)) {
			continue
		}
		if o.EligibleCount < len(o.Candidates) {
			o.Candidates[o.EligibleCount] = c.upstream(i)
		}
		o.EligibleCount++
	}
}

// passOn hands a new flow to candidate i and remembers it, so that repeated
// packets follow. The load goes along; 0 is unknown.
func (c *call) passOn(i int, load uint32) Action {
	c.s.counters.Passed.Add(1)
	owned := c.shard.entries[c.p.Key].kind.owned()
	if !owned && !c.s.mutations.has(mutateNoPassedEntry) {
		c.put(entry{kind: kindPassed, target: c.upstream(i), version: c.h.Version, lastUsed: c.at, lastRefresh: c.at})
	}
	if c.addressedToSelf() && int(c.h.At) < len(c.h.Loads) {
		c.h.Loads[c.h.At] = load
	}
	return forwardTo(c.h, i)
}

// misdirected handles a packet for an upstream that held this sidecar's address before.
func (c *call) misdirected() Action {
	if c.rerank() && c.addressedToSelf() {
		if c.p.Key.Protocol() == TCP {
			return c.tcp()
		}
		return c.udpReroute()
	}
	if c.p.Key.Protocol() == UDP {
		c.h.Doubt = true
	}
	markPassed(c.h, int(c.h.At))
	i := c.nextCandidate()
	if i != none {
		return forwardTo(c.h, i)
	}
	return c.drop(ReasonHeader)
}

// queueHint tells the balancer, and the sidecar that searched, who owns the flow.
func (c *call) queueHint() {
	if c.h.Hops < 2 || c.s.mutations.has(mutateNoHint) {
		return
	}
	c.s.outbox.add(Hint{To: c.h.Balancer, Key: c.p.Key, ToBalancer: true})
	if c.h.Phase == forward.PhaseFind && c.h.Asker != c.h.At {
		c.s.outbox.add(Hint{To: c.h.Candidates[c.h.Asker].Sidecar, Key: c.p.Key})
	}
}
