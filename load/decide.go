package load

// Verdict is the action of a sidecar on a new flow.
type Verdict uint8

// The verdicts.
const (
	Accept Verdict = 1
	Pass   Verdict = 2
	Refuse Verdict = 3
)

// Reason is the cause of a Pass or Refuse verdict.
type Reason uint8

// The reasons.
const (
	ReasonNone       Reason = 0
	ReasonBusy       Reason = 1 // another candidate has or may have a lower load
	ReasonFull       Reason = 2 // the upstream is at its flow limit
	ReasonDeadline   Reason = 3 // the expected wait exceeds Opening.MaxWait
	ReasonFailing    Reason = 4 // the upstream refuses requests or times out
	ReasonColdStart  Reason = 5 // the cold-start share is used up
	ReasonLeaving    Reason = 6 // the upstream accepts no new flows
	hashMixer               = 0x9e3779b97f4a7c15
	mantissaBits            = 53 // of a float64
	saturationFactor        = 3  // requests in slots and queue per slot above which a service is saturated
	saturatedVisits         = 2  // visits of an opening that cannot wait while the service is saturated
)

// String returns the reason as a single word.
func (r Reason) String() string {
	switch r {
	case ReasonBusy:
		return "busy"
	case ReasonFull:
		return "full"
	case ReasonDeadline:
		return "late"
	case ReasonFailing:
		return "failing"
	case ReasonColdStart:
		return "starting"
	case ReasonLeaving:
		return "leaving"
	}
	return "none"
}

// Decision is the outcome of Decide.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// Load is the load that the packet carries to the next candidate after Pass.
	Load Load
}

// Decide returns the decision of the sidecar whose upstream has the view own
// about the new flow o. It does not allocate and may be called concurrently.
// Pass is returned only when another candidate follows. Refuse is returned only
// when none follows, or when the expected wait exceeds o.MaxWait and the opening
// has used up its visits.
func Decide(p Policy, o Opening, own View, ps *Peers) Decision {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	switch p := p.(type) {
	case AcceptOrPass:
		return p.withDefaults().decide(o, own, ps)
	default:
		return acceptUnlessFull(o, own)
	}
}

// acceptUnlessFull accepts unless the upstream is leaving or at its flow limit.
func acceptUnlessFull(o Opening, own View) Decision {
	if reason := unavailableReason(own); reason != ReasonNone {
		return passOrRefuse(o, reason, 0)
	}
	return Decision{Verdict: Accept}
}

// unavailableReason returns why the upstream cannot accept any new flow, or
// ReasonNone.
func unavailableReason(own View) Reason {
	switch {
	case own.Leaving:
		return ReasonLeaving
	case own.full():
		return ReasonFull
	}
	return ReasonNone
}

// passOrRefuse passes the opening, or refuses it when no candidate is left.
func passOrRefuse(o Opening, reason Reason, l Load) Decision {
	if o.last() {
		return Decision{Verdict: Refuse, Reason: reason}
	}
	return Decision{Verdict: Pass, Reason: reason, Load: l}
}

func (p AcceptOrPass) decide(o Opening, own View, ps *Peers) Decision {
	t := ps.total.with(own)
	l := t.loadOf(own)
	if reason := unavailableReason(own); reason != ReasonNone {
		return passOrRefuse(o, reason, maxLoad|l&connectionsBit)
	}
	if own.Failing && ps.restHasCapacity(own) {
		return passOrRefuse(o, ReasonFailing, maxLoad|l&connectionsBit)
	}
	if t.longFlows() {
		return p.byConnections(o, own, ps, t)
	}
	if !o.last() && !ps.inShare(ps.coldStartShare(own), o.Hash) {
		return Decision{Verdict: Pass, Reason: ReasonColdStart, Load: l}
	}
	return p.byQueue(o, own, ps, t)
}

// loadOf returns the load of own, measured by connections for long flows and by
// slots and queue for short ones.
func (t total) loadOf(own View) Load {
	if t.longFlows() {
		return connectionLoad(own)
	}
	return queueLoad(own, t.meanServiceTime())
}

// inShare reports whether the hash falls into the given share. The result is
// the same for every transmission of one opening.
func inShare(share float64, hash uint64) bool {
	if share >= 1 {
		return true
	}
	mixed := mixHash(hash)
	return float64(mixed>>(64-mantissaBits))/(1<<mantissaBits) < share
}

// mixHash derives a hash from another one, so that selections by the two are
// independent.
func mixHash(hash uint64) uint64 {
	return (hash ^ hash>>32) * hashMixer
}

// byQueue decides about short flows.
func (p AcceptOrPass) byQueue(o Opening, own View, ps *Peers, t total) Decision {
	if own.Free() {
		return Decision{Verdict: Accept}
	}
	l := queueLoad(own, t.meanServiceTime())
	if o.MaxWait > 0 && own.ExpectedWait() > o.MaxWait {
		return p.decideDeadline(o, l, t)
	}
	if o.last() || o.PassedCount+1 >= p.MaxVisits || l <= p.shortQueueLoad() {
		return Decision{Verdict: Accept}
	}
	if least, ok := o.lowestLoad(l); ok && l <= least {
		return Decision{Verdict: Accept}
	}
	return Decision{Verdict: Pass, Reason: ReasonBusy, Load: l}
}

// shortQueueLoad returns the load up to which an opening is accepted without
// comparing candidates.
func (p AcceptOrPass) shortQueueLoad() Load {
	return clampLoad(1 + perMille*p.WaitThreshold)
}

// deadlineVisits returns how many candidates an opening visits while every
// queue exceeds its maximum wait. When more than twice as many requests wait as
// the service has slots, further visits are unlikely to find a shorter queue.
func (p AcceptOrPass) deadlineVisits(t total) int {
	if t.busy > saturationFactor*t.slots {
		return min(p.MaxVisits, saturatedVisits)
	}
	return p.MaxVisits
}

// decideDeadline passes an opening that cannot wait for the queue until the
// visits are used up, and then refuses it.
func (p AcceptOrPass) decideDeadline(o Opening, l Load, t total) Decision {
	if o.PassedCount+1 >= p.deadlineVisits(t) {
		return Decision{Verdict: Refuse, Reason: ReasonDeadline}
	}
	return passOrRefuse(o, ReasonDeadline, l)
}
