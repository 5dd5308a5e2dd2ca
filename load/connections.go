package load

const (
	// underfilledBelow is the share of its fair number of flows below which the
	// inflow of an upstream is bounded.
	underfilledBelow = 0.97
	// slotsMargin is added to the slack, in flows for each slot.
	slotsMargin = 2
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
	if least, ok := o.least(l); ok && l.clearlyBelow(least, margin) {
		return Decision{Verdict: Accept}
	}
	if !p.betterFollows(o, l, margin, ps, t) {
		return Decision{Verdict: Accept}
	}
	return Decision{Verdict: Pass, Reason: ReasonBusy, Load: l}
}

// decidePassed decides for an upstream far below its share about a passed flow.
func (p AcceptOrPass) decidePassed(o Opening, own View, t total) Decision {
	if p.takes(own, o, t) {
		return Decision{Verdict: Accept}
	}
	return Decision{Verdict: Pass, Reason: ReasonColdStart, Load: connectionLoad(own)}
}

// fair returns the number of flows that an upstream would hold if all held
// the same for their weight.
func (t total) fair(v View) float64 {
	return t.mean() * v.share()
}

// underfilled reports whether an upstream holds far fewer flows than its share.
func (p AcceptOrPass) underfilled(v View, t total) bool {
	return float64(v.Connections) < underfilledBelow*t.fair(v)-float64(slotsMargin*v.Slots)
}

// takes reports whether an upstream far below its share takes a flow that
// another one passed.
func (p AcceptOrPass) takes(v View, o Opening, t total) bool {
	if v.Rate < t.fair(v)/p.FillTime.Seconds() {
		return true
	}
	others := float64(t.weight)/float64(v.thousandths()) - 1
	return admits((p.MaxInflow-1)/max(others, 1), remix(o.Hash))
}

// loadMargin returns the difference in load that is worth a hop.
func (p AcceptOrPass) loadMargin(v View, t total) Load {
	flows := p.Slack*t.fair(v) + float64(slotsMargin*v.Slots)
	return clampLoad(connectionScale * weightUnit * flows / v.share())
}

// clearlyBelow reports whether l is below other by more than margin.
func (l Load) clearlyBelow(other, margin Load) bool {
	return uint64(l)+uint64(margin) < uint64(other)
}

// betterFollows reports whether a later candidate has a load clearly below l,
// or is not known.
func (p AcceptOrPass) betterFollows(o Opening, l, margin Load, ps *Peers, t total) bool {
	for i := o.PassedCount + 1; i < min(o.EligibleCount, MaxListedCandidates); i++ {
		if o.Candidates[i] == 0 {
			continue
		}
		v, ok := ps.find(o.Candidates[i])
		if !ok {
			return true
		}
		if v.unavailable() || p.underfilled(v, t) && !p.takes(v, o, t) {
			continue
		}
		if connectionLoad(v).clearlyBelow(l, margin) {
			return true
		}
	}
	return false
}
