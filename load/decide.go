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
	ReasonNone      Reason = 0
	ReasonBusy      Reason = 1 // another candidate has or may have less to do
	ReasonFull      Reason = 2 // as many flows as the upstream may hold
	ReasonDeadline  Reason = 3 // the queue is longer than the opening can wait
	ReasonFailing   Reason = 4 // the upstream refuses or times out
	ReasonColdStart Reason = 5 // the cold-start share is used up
	ReasonLeaving   Reason = 6 // the upstream takes no new flows
	hashMixer              = 0x9e3779b97f4a7c15
	mantissa               = 53
	saturation             = 3
	saturatedVisits        = 2
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
	if reason := exhausted(own); reason != ReasonNone {
		return onward(o, reason, 0)
	}
	return Decision{Verdict: Accept}
}

// exhausted returns why an upstream can take no new flow at all, or None.
func exhausted(own View) Reason {
	switch {
	case own.Leaving:
		return ReasonLeaving
	case own.full():
		return ReasonFull
	}
	return ReasonNone
}

// onward passes the opening, or refuses it when nobody is left to ask.
func onward(o Opening, reason Reason, l Load) Decision {
	if o.last() {
		return Decision{Verdict: Refuse, Reason: reason}
	}
	return Decision{Verdict: Pass, Reason: reason, Load: l}
}

func (p AcceptOrPass) decide(o Opening, own View, ps *Peers) Decision {
	t := ps.total.with(own)
	l := t.load(own)
	if reason := exhausted(own); reason != ReasonNone {
		return onward(o, reason, maxLoad|l&connectionsBit)
	}
	if own.Failing && ps.mayStandAside(own) {
		return onward(o, ReasonFailing, maxLoad|l&connectionsBit)
	}
	if t.long() {
		return p.byConnections(o, own, ps, t)
	}
	if !o.last() && !ps.admits(ps.startShare(own), o.Hash) {
		return Decision{Verdict: Pass, Reason: ReasonColdStart, Load: l}
	}
	return p.byQueue(o, own, ps, t)
}

// load returns own in the measure that suits the flows of the service.
func (t total) load(own View) Load {
	if t.long() {
		return connectionLoad(own)
	}
	return queueLoad(own, t.typical())
}

// admits reports whether the flow belongs to the cold-start share. The answer
// is the same for each transmission of one opening.
func admits(share float64, hash uint64) bool {
	if share >= 1 {
		return true
	}
	mixed := remix(hash)
	return float64(mixed>>(64-mantissa))/(1<<mantissa) < share
}

// remix returns a number that is independent of hash for the choices made by it.
func remix(hash uint64) uint64 {
	return (hash ^ hash>>32) * hashMixer
}

// byQueue decides for short flows.
func (p AcceptOrPass) byQueue(o Opening, own View, ps *Peers, t total) Decision {
	if own.Free() {
		return Decision{Verdict: Accept}
	}
	l := queueLoad(own, t.typical())
	if o.MaxWait > 0 && own.ExpectedWait() > o.MaxWait {
		return p.late(o, l, t)
	}
	if o.last() || o.PassedCount+1 >= p.MaxVisits || l <= p.shortQueue() {
		return Decision{Verdict: Accept}
	}
	if least, ok := o.least(l); ok && l <= least {
		return Decision{Verdict: Accept}
	}
	return Decision{Verdict: Pass, Reason: ReasonBusy, Load: l}
}

// shortQueue returns the load up to which a queue is joined at once.
func (p AcceptOrPass) shortQueue() Load {
	return clampLoad(1 + thousandths*p.WaitThreshold)
}

// lateVisits returns how many candidates an opening asks that finds each queue
// too long. When twice as much waits as runs in the whole service, a longer walk
// finds no room either.
func (p AcceptOrPass) lateVisits(t total) int {
	if t.busy > saturation*t.slots {
		return min(p.MaxVisits, saturatedVisits)
	}
	return p.MaxVisits
}

// late passes while candidates remain to be visited, and then refuses.
func (p AcceptOrPass) late(o Opening, l Load, t total) Decision {
	if o.PassedCount+1 >= p.lateVisits(t) {
		return Decision{Verdict: Refuse, Reason: ReasonDeadline}
	}
	return onward(o, ReasonDeadline, l)
}
