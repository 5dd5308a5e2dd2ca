package compare

// tick samples and lets the sidecars report, each second.
func (r *run) tick() {
	r.deliverReports()
	r.takeSample()
	r.after(sampleInterval, r.tick)
}

// deliverReports delivers each sidecar's report to the others and to the balancers.
func (r *run) deliverReports() {
	for _, u := range r.upstreams {
		if u.offline {
			continue
		}
		report, ok := u.report(r.now)
		if !ok {
			continue
		}
		r.reportedLoads[u.id] = report.View().Known()
		for _, other := range r.upstreams {
			other.peers.Hear(report, reportSize, toTime(r.now))
		}
	}
}

// reportSize is the size that a report counts with.
const reportSize = 64

func (r *run) takeSample() {
	if !r.measuring() {
		r.updatePeak()
		r.result.MaxAcceptedPerSecond = 0
		return
	}
	r.updatePeak()
	connections := r.imbalance(func(u *upstream) int { return len(u.flows) })
	slots := r.imbalance(func(u *upstream) int { return u.running })
	s := Sample{At: r.now, Imbalance: connections}
	r.result.Samples = append(r.result.Samples, s)
	r.result.SlotImbalance = append(r.result.SlotImbalance, slots)
	r.stopped = r.cfg.StopWhen != nil && r.cfg.StopWhen(s)
}

// updatePeak keeps the most flows that an upstream accepted since the last sample.
func (r *run) updatePeak() {
	for _, u := range r.upstreams {
		r.result.MaxAcceptedPerSecond = max(r.result.MaxAcceptedPerSecond, u.acceptedSinceSample)
		u.acceptedSinceSample = 0
	}
}

// imbalance returns the maximum over the mean of what the upstreams in use hold.
func (r *run) imbalance(count func(*upstream) int) float64 {
	highest, sum, n := 0, 0, 0
	for _, u := range r.upstreams {
		if u.leaving || u.offline {
			continue
		}
		highest = max(highest, count(u))
		sum += count(u)
		n++
	}
	if sum == 0 {
		return 1
	}
	return float64(highest) * float64(n) / float64(sum)
}
