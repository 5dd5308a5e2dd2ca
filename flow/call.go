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
	// mine is true when a candidate entry names this upstream with the service that it serves.
	mine bool
}

// entry returns the flow's entry, forgetting an expired one.
func (c *call) entry() entry {
	e, ok := c.shard.entries[c.p.Key]
	if !ok || c.at.since(e.last) <= c.st.life(c.p.Key.Protocol(), e) {
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
	if c.at.since(e.last) < ticks(touchInterval) {
		return
	}
	e.last = c.at
	c.shard.entries[c.p.Key] = e
}

// life returns how long an entry is kept after entry.last. That is up to
// touchInterval before the last use of an entry that touch keeps alive.
func (st *state) life(p Protocol, e entry) stamp {
	switch {
	case e.kind == kindRefused:
		return ticks(RetryAfter)
	case e.kind == kindHalfOpen:
		return ticks(halfOpenLife)
	case e.kind == kindPassed && p == TCP:
		return ticks(halfOpenLife + touchInterval)
	case e.kind == kindPassed:
		return ticks(st.settings.guard() + touchInterval)
	case e.flags&closing != 0:
		return ticks(closingLife)
	case p == TCP:
		return ticks(st.settings.Idle + touchInterval)
	}
	return ticks(st.settings.keep() + touchInterval)
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

// over reports whether candidate i is gone and its flows may be taken over.
func (c *call) over(i int) bool {
	if c.s.mutations.has(mutateNoTakeover) {
		return false
	}
	return c.s.peers.over(c.now, c.upstream(i), c.st.takeover())
}

// next returns the candidate to ask next, silent ones last, or none when each has passed or is over.
func (c *call) next() int {
	silent := none
	for i := range c.h.Candidates {
		if passed(c.h, i) || c.over(i) {
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

// nextTaker returns the next candidate that may take a new flow, silent ones last, or none.
func (c *call) nextTaker() int {
	silent := none
	for i := range c.h.Candidates {
		if passed(c.h, i) || !takes(c.h, i) || c.over(i) {
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
		c.mine = false
		c.h.Current = 0
		return true
	}
	c.h.Current = uint8(i)
	c.mine = c.named()
	return true
}

// named reports whether the candidates name this upstream with the service that it serves.
func (c *call) named() bool {
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

// behind reports whether a newer bundle than the packet's is known to exist.
func (c *call) behind() bool {
	return c.s.heard.Load() > c.h.Version
}

// listed reports whether the packet's candidates hold this sidecar at Header.At.
func (c *call) listed() bool {
	return c.upstream(int(c.h.Current)) == c.s.cfg.Upstream
}

// may reports whether this sidecar may take new flows of the packet's service.
func (c *call) may() bool {
	if c.s.mutations.has(mutateAcceptLeaving) {
		return c.mine
	}
	served := c.mine && c.h.Service == c.st.service || c.s.mutations.has(mutateAnyService)
	return c.listed() && served && !c.st.leaving && takes(c.h, int(c.h.Current))
}

// admit asks the policy.
func (c *call) admit() Verdict {
	o := Offer{
		Now:   c.now,
		Hash:  c.p.Key.Hash(),
		Load:  c.s.load.Load(),
		Flows: c.s.Flows(),
	}
	c.offerPassed(&o)
	c.offerLeft(&o)
	o.Last = o.At+1 == o.Count
	v := c.s.cfg.Admitter.Admit(o)
	v.RetryAfter = max(v.RetryAfter, RetryAfter)
	return v
}

// offerPassed fills in the candidates that have passed, with their loads.
func (c *call) offerPassed(o *Offer) {
	for i := range c.h.Candidates {
		if i == int(c.h.Current) || !passed(c.h, i) || !takes(c.h, i) {
			continue
		}
		if o.At < len(o.Loads) && i < len(c.h.Loads) {
			o.Loads[o.At] = c.h.Loads[i]
		}
		if o.At < len(o.Candidates) {
			o.Candidates[o.At] = c.upstream(i)
		}
		o.At++
	}
}

// offerLeft fills in this sidecar's upstream and the candidates that are left.
func (c *call) offerLeft(o *Offer) {
	o.Count = o.At
	if o.Count < len(o.Candidates) {
		o.Candidates[o.Count] = c.s.cfg.Upstream
	}
	o.Count++
	for i := range c.h.Candidates {
		if passed(c.h, i) || !takes(c.h, i) || c.over(i) || i == int(c.h.Current) {
			continue
		}
		// A flow that is passed to a silent sidecar may be lost with it.
		if c.s.peers.suspected(c.now, c.upstream(i)) {
			continue
		}
		if o.Count < len(o.Candidates) {
			o.Candidates[o.Count] = c.upstream(i)
		}
		o.Count++
	}
}

// passOn hands a new flow to candidate i and remembers it, so that repeated
// packets follow. The load goes along; 0 is unknown.
func (c *call) passOn(i int, load uint32) Action {
	c.s.counters.Passed.Add(1)
	owned := c.shard.entries[c.p.Key].kind.owned()
	if !owned && !c.s.mutations.has(mutateNoMemory) {
		c.put(entry{kind: kindPassed, target: c.upstream(i), version: c.h.Version, last: c.at, seen: c.at})
	}
	if c.listed() && int(c.h.Current) < len(c.h.Loads) {
		c.h.Loads[c.h.Current] = load
	}
	return aim(c.h, i)
}

// misdirected handles a packet for an upstream that held this sidecar's address before.
func (c *call) misdirected() Action {
	if c.rerank() && c.listed() {
		if c.p.Key.Protocol() == TCP {
			return c.tcp()
		}
		return c.udpRestart()
	}
	if c.p.Key.Protocol() == UDP {
		c.h.Uncertain = true
	}
	pass(c.h, int(c.h.Current))
	i := c.next()
	if i != none {
		return aim(c.h, i)
	}
	return c.drop(ReasonHeader)
}

// hint tells the balancer, and the sidecar that searched, who owns the flow.
func (c *call) hint() {
	if c.h.Hops < 2 || c.s.mutations.has(mutateNoHint) {
		return
	}
	c.s.outbox.add(Hint{To: c.h.Balancer, Key: c.p.Key, ToBalancer: true})
	if c.h.Phase == forward.PhaseFind && c.h.Initiator != c.h.Current {
		c.s.outbox.add(Hint{To: c.h.Candidates[c.h.Initiator].Sidecar, Key: c.p.Key})
	}
}
