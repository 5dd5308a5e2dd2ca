package load

const (
	// underfilledRatio is the fraction of its fair share of flows below which
	// the inflow of an upstream is limited.
	underfilledRatio = 0.97
	// marginPerSlot is added to the slack, in flows per slot.
	marginPerSlot = 2
)

// byConnections decides about long flows. An upstream passes when a later
// candidate has a clearly lower load, and accepts when its load is clearly
// lower than those of earlier candidates. An upstream far below its fair share
// that fills quickly accepts only a hash-selected part of the flows that others
// pass, so that it is not overloaded by new flows.
func (p AcceptOrPass) byConnections(o Opening, own View, ps *Peers, t total) Decision {
	if o.last() {
		return Decision{Verdict: Accept}
	}
	l := connectionLoad(own)
	if o.PassedCount > 0 && p.underfilled(own, t) {
		return p.decidePassed(o, own, t)
	}
	margin := p.loadMargin(own, t)
	if least, ok := o.lowestLoad(l); ok && l.clearlyBelow(least, margin) {
		return Decision{Verdict: Accept}
	}
	if !p.hasBetterCandidate(o, l, margin, ps, t) {
		return Decision{Verdict: Accept}
	}
	return Decision{Verdict: Pass, Reason: ReasonBusy, Load: l}
}

// decidePassed decides about a passed flow at an upstream that is far below its
// fair share.
func (p AcceptOrPass) decidePassed(o Opening, own View, t total) Decision {
	if p.admitsPassedFlow(own, o, t) {
		return Decision{Verdict: Accept}
	}
	return Decision{Verdict: Pass, Reason: ReasonColdStart, Load: connectionLoad(own)}
}

// fairShare returns the number of flows that the upstream would hold if flows
// were distributed in proportion to effective weights.
func (t total) fairShare(v View) float64 {
	return t.meanConnections() * v.effectiveWeight()
}

// underfilled reports whether the upstream holds far fewer flows than its fair
// share.
func (p AcceptOrPass) underfilled(v View, t total) bool {
	return float64(v.Connections) < underfilledRatio*t.fairShare(v)-float64(marginPerSlot*v.Slots)
}

// admitsPassedFlow reports whether an upstream far below its fair share accepts
// a flow that another upstream passed. While it fills in less than FillTime, it
// accepts a share of them that, together with the openings of which it is the
// first candidate, amounts to at most MaxInflow times the latter.
func (p AcceptOrPass) admitsPassedFlow(v View, o Opening, t total) bool {
	if v.Rate < t.fairShare(v)/p.FillTime.Seconds() {
		return true
	}
	others := float64(t.weight)/float64(v.scaledWeight()) - 1
	return inShare((p.MaxInflow-1)/max(others, 1), mixHash(o.Hash))
}

// loadMargin returns the smallest difference in load that justifies another hop.
func (p AcceptOrPass) loadMargin(v View, t total) Load {
	flows := p.Slack*t.fairShare(v) + float64(marginPerSlot*v.Slots)
	return clampLoad(connectionScale * weightUnit * flows / v.effectiveWeight())
}

// clearlyBelow reports whether l is lower than other by more than margin.
func (l Load) clearlyBelow(other, margin Load) bool {
	return uint64(l)+uint64(margin) < uint64(other)
}

// hasBetterCandidate reports whether a later candidate has a load clearly below
// l or has no current report.
func (p AcceptOrPass) hasBetterCandidate(o Opening, l, margin Load, ps *Peers, t total) bool {
	for i := o.PassedCount + 1; i < min(o.EligibleCount, MaxListedCandidates); i++ {
		if o.Candidates[i] == 0 {
			continue
		}
		v, ok := ps.lookup(o.Candidates[i])
		if !ok {
			return true
		}
		if v.unavailable() || p.underfilled(v, t) && !p.admitsPassedFlow(v, o, t) {
			continue
		}
		if connectionLoad(v).clearlyBelow(l, margin) {
			return true
		}
	}
	return false
}
