package load

const (
	// underfilledRatio is the share of its fair number of flows below which the
	// inflow of an upstream is bounded.
	underfilledRatio = 0.97
	// marginPerSlot is added to the slack, in flows for each slot.
	marginPerSlot = 2
)

// byConnections decides for long flows. An upstream passes when a later
// candidate holds clearly less, and accepts when it holds clearly less than
// those before it. One far below its share that fills fast takes only some of
// the flows that others pass, chosen by hash, so that it is not swamped.
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

// decidePassed decides for an upstream far below its share about a passed flow.
func (p AcceptOrPass) decidePassed(o Opening, own View, t total) Decision {
	if p.admitsPassedFlow(own, o, t) {
		return Decision{Verdict: Accept}
	}
	return Decision{Verdict: Pass, Reason: ReasonColdStart, Load: connectionLoad(own)}
}

// fairShare returns the number of flows that an upstream would hold if all held
// the same for their weight.
func (t total) fairShare(v View) float64 {
	return t.meanConnections() * v.effectiveWeight()
}

// underfilled reports whether an upstream holds far fewer flows than its share.
func (p AcceptOrPass) underfilled(v View, t total) bool {
	return float64(v.Connections) < underfilledRatio*t.fairShare(v)-float64(marginPerSlot*v.Slots)
}

// admitsPassedFlow reports whether an upstream far below its share takes a flow that
// another one passed.
func (p AcceptOrPass) admitsPassedFlow(v View, o Opening, t total) bool {
	if v.Rate < t.fairShare(v)/p.FillTime.Seconds() {
		return true
	}
	others := float64(t.weight)/float64(v.scaledWeight()) - 1
	return inShare((p.MaxInflow-1)/max(others, 1), mixHash(o.Hash))
}

// loadMargin returns the difference in load that is worth a hop.
func (p AcceptOrPass) loadMargin(v View, t total) Load {
	flows := p.Slack*t.fairShare(v) + float64(marginPerSlot*v.Slots)
	return clampLoad(connectionScale * weightUnit * flows / v.effectiveWeight())
}

// clearlyBelow reports whether l is below other by more than margin.
func (l Load) clearlyBelow(other, margin Load) bool {
	return uint64(l)+uint64(margin) < uint64(other)
}

// hasBetterCandidate reports whether a later candidate has a load clearly below l,
// or is not known.
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
