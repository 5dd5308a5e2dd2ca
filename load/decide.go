package load

// Verdict is what a sidecar does with an opening.
type Verdict uint8

// The verdicts.
const (
	Accept Verdict = 1
	Pass   Verdict = 2
	Refuse Verdict = 3
)

// Reason says why an opening was passed or refused.
type Reason uint8

// The reasons.
const (
	ReasonNone       Reason = 0
	ReasonBusy       Reason = 1 // another candidate has or may have less to do
	ReasonFull       Reason = 2 // as many flows as the upstream may hold
	ReasonDeadline   Reason = 3 // the queue is longer than the opening can wait
	ReasonFailing    Reason = 4 // the upstream refuses or times out
	ReasonColdStart  Reason = 5 // the cold-start share is used up
	ReasonLeaving    Reason = 6 // the upstream takes no new flows
	hashMixer               = 0x9e3779b97f4a7c15
	mantissaBits            = 53
	saturationFactor        = 3
	saturatedVisits         = 2
)

// String returns the reason as one short word.
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
	// Load is what the packet carries to the next candidate after Pass.
	Load Load
}

// Decide says what the sidecar with the view own does with an opening. It
// allocates nothing and may be called concurrently. Pass is returned only
// when another candidate follows; Refuse is true when each earlier candidate
// passed.
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

// acceptUnlessFull accepts wherever the upstream may hold one flow more.
func acceptUnlessFull(o Opening, own View) Decision {
	if reason := unavailableReason(own); reason != ReasonNone {
		return passOrRefuse(o, reason, 0)
	}
	return Decision{Verdict: Accept}
}

// unavailableReason returns why an upstream can take no new flow at all, or None.
func unavailableReason(own View) Reason {
	switch {
	case own.Leaving:
		return ReasonLeaving
	case own.full():
		return ReasonFull
	}
	return ReasonNone
}

// passOrRefuse passes the opening, or refuses it when nobody is left to ask.
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

// loadOf returns own in the measure that suits the flows of the service.
func (t total) loadOf(own View) Load {
	if t.longFlows() {
		return connectionLoad(own)
	}
	return queueLoad(own, t.meanServiceTime())
}

// inShare reports whether the flow belongs to the cold-start share. The answer
// is the same for each transmission of one opening.
func inShare(share float64, hash uint64) bool {
	if share >= 1 {
		return true
	}
	mixed := mixHash(hash)
	return float64(mixed>>(64-mantissaBits))/(1<<mantissaBits) < share
}

// mixHash returns a number that is independent of hash for the choices made by it.
func mixHash(hash uint64) uint64 {
	return (hash ^ hash>>32) * hashMixer
}

// byQueue decides for short flows.
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

// shortQueueLoad returns the load up to which a queue is joined at once.
func (p AcceptOrPass) shortQueueLoad() Load {
	return clampLoad(1 + perMille*p.WaitThreshold)
}

// deadlineVisits returns how many candidates an opening asks that finds each queue
// too long. When twice as much waits as runs in the whole service, a longer walk
// finds no room either.
func (p AcceptOrPass) deadlineVisits(t total) int {
	if t.busy > saturationFactor*t.slots {
		return min(p.MaxVisits, saturatedVisits)
	}
	return p.MaxVisits
}

// decideDeadline passes while candidates remain to be visited, and then refuses.
func (p AcceptOrPass) decideDeadline(o Opening, l Load, t total) Decision {
	if o.PassedCount+1 >= p.deadlineVisits(t) {
		return Decision{Verdict: Refuse, Reason: ReasonDeadline}
	}
	return passOrRefuse(o, ReasonDeadline, l)
}
