package flow

import (
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/forward"
)

// A call holds the state of the decision on one packet. The lock of the flow's
// shard is held while it runs.
type call struct {
	s     *Sidecar
	st    *state
	now   time.Time
	at    stamp
	h     *forward.Header
	p     Packet
	shard *shard
	// serviceMatch is true when a candidate entry lists this upstream with the service that it serves.
	serviceMatch bool
}

// entry returns the flow's entry. It removes an expired one and returns the zero entry.
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

// touch updates entry.lastUsed, at most once per touchInterval.
func (c *call) touch(e entry) {
	if c.at.since(e.lastUsed) < ticks(touchInterval) {
		return
	}
	e.lastUsed = c.at
	c.shard.entries[c.p.Key] = e
}

// lifetime returns how long an entry is kept after entry.lastUsed. It includes
// touchInterval where touch updates lastUsed, since lastUsed may be that much
// earlier than the last use.
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

// takeoverDue reports whether candidate i has been absent for so long that its flows may be taken over.
func (c *call) takeoverDue(i int) bool {
	if c.s.mutations.has(mutateNoTakeover) {
		return false
	}
	return c.s.peers.takeoverDue(c.now, c.upstream(i), c.st.takeoverDelay())
}

// nextCandidate returns the candidate to query next, with silent ones last. It
// returns none when each candidate has passed or is due for takeover.
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

// nextEligible returns the next candidate that may take a new flow, with silent
// ones last, or none.
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

// rerank updates the header to the sidecar's bundle when that is newer, and
// reports whether it did. Header.Current then points to this sidecar if it is still
// a candidate, else to the first one.
func (c *call) rerank() bool {
	if c.s.mutations.has(mutateNoRerank) || !rerank(c.st.view, c.h, c.p.Key) {
		return false
	}
	i := indexOf(c.h, c.s.cfg.Upstream)
	if i == none {
		c.serviceMatch = false
		c.h.Current = 0
		return true
	}
	c.h.Current = uint8(i)
	c.serviceMatch = c.matchService()
	return true
}

// matchService reports whether the candidates list this upstream with the service that it serves.
func (c *call) matchService() bool {
	if c.h.Candidates[c.h.Current].Service == c.st.service || c.s.mutations.has(mutateAnyService) {
		return true
	}
	for i := range c.h.Candidates {
		if c.h.Candidates[i].Service == c.st.service && c.upstream(i) == c.s.cfg.Upstream {
			return true
		}
	}
	return false
}

// newerBundleExists reports whether a packet or report named a newer bundle than the packet's.
func (c *call) newerBundleExists() bool {
	return c.s.highestVersion.Load() > c.h.Version
}

// addressedToSelf reports whether Header.Current is the index of this sidecar.
func (c *call) addressedToSelf() bool {
	return c.upstream(int(c.h.Current)) == c.s.cfg.Upstream
}

// mayAccept reports whether this sidecar may take new flows of the packet's service.
func (c *call) mayAccept() bool {
	if c.s.mutations.has(mutateAcceptLeaving) {
		return c.serviceMatch
	}
	served := c.serviceMatch && c.h.Service == c.st.service || c.s.mutations.has(mutateAnyService)
	return c.addressedToSelf() && served && !c.st.leaving && eligible(c.h, int(c.h.Current))
}

// admit submits the new flow to the admission policy.
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

// addPassed adds the candidates that have passed to the offer, with their loads.
func (c *call) addPassed(o *Offer) {
	for i := range c.h.Candidates {
		if i == int(c.h.Current) || !passed(c.h, i) || !eligible(c.h, i) {
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

// addRemaining adds this sidecar's upstream and the remaining eligible candidates to the offer.
func (c *call) addRemaining(o *Offer) {
	o.EligibleCount = o.PassedCount
	if o.EligibleCount < len(o.Candidates) {
		o.Candidates[o.EligibleCount] = c.s.cfg.Upstream
	}
	o.EligibleCount++
	for i := range c.h.Candidates {
		if passed(c.h, i) || !eligible(c.h, i) || c.takeoverDue(i) || i == int(c.h.Current) {
			continue
		}
		// A silent sidecar may have failed, and a flow passed to it would be lost.
		if c.s.peers.suspected(c.now, c.upstream(i)) {
			continue
		}
		if o.EligibleCount < len(o.Candidates) {
			o.Candidates[o.EligibleCount] = c.upstream(i)
		}
		o.EligibleCount++
	}
}

// passOn passes a new flow on to candidate i and records the target, so that
// retransmitted packets take the same path. The load is sent along; 0 is unknown.
func (c *call) passOn(i int, load uint32) Action {
	c.s.counters.Passed.Add(1)
	owned := c.shard.entries[c.p.Key].kind.owned()
	if !owned && !c.s.mutations.has(mutateNoPassedEntry) {
		c.put(entry{kind: kindPassed, target: c.upstream(i), version: c.h.Version, lastUsed: c.at, lastRefresh: c.at})
	}
	if c.addressedToSelf() && int(c.h.Current) < len(c.h.Loads) {
		c.h.Loads[c.h.Current] = load
	}
	return forwardTo(c.h, i)
}

// misdirected handles a packet for another upstream, which had this sidecar's
// address before.
func (c *call) misdirected() Action {
	if c.rerank() && c.addressedToSelf() {
		if c.p.Key.Protocol() == TCP {
			return c.tcp()
		}
		return c.udpReroute()
	}
	if c.p.Key.Protocol() == UDP {
		c.h.Uncertain = true
	}
	markPassed(c.h, int(c.h.Current))
	i := c.nextCandidate()
	if i != none {
		return forwardTo(c.h, i)
	}
	return c.drop(ReasonHeader)
}

// queueHint queues a hint on the owner of the flow for the balancer, and for the
// sidecar that started the search, when the packet did not come directly.
func (c *call) queueHint() {
	if c.h.Hops < 2 || c.s.mutations.has(mutateNoHint) {
		return
	}
	c.s.outbox.add(Hint{To: c.h.Balancer, Key: c.p.Key, ToBalancer: true})
	if c.h.Phase == forward.PhaseFind && c.h.Initiator != c.h.Current {
		c.s.outbox.add(Hint{To: c.h.Candidates[c.h.Initiator].Sidecar, Key: c.p.Key})
	}
}
