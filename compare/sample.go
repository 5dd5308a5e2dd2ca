package compare

// tick delivers the sidecars' reports and takes a sample, once per sampleInterval.
func (r *run) tick() {
	r.deliverReports()
	r.takeSample()
	r.after(sampleInterval, r.tick)
}

// deliverReports delivers each sidecar's report to the other sidecars and to the
// balancers.
func (r *run) deliverReports() {
	for _, u := range r.upstreams {
		if u.offline {
			continue
		}
		report, ok := u.report(r.now)
		if !ok {
			continue
		}
		r.reportedLoads[u.id] = report.View().ReportedLoad()
		for _, other := range r.upstreams {
			other.peers.AddReport(report, reportSize, toTime(r.now))
		}
	}
}

// reportSize is the size of a report in bytes. It is only used for statistics.
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

// updatePeak updates the highest number of flows that an upstream accepted
// between two samples.
func (r *run) updatePeak() {
	for _, u := range r.upstreams {
		r.result.MaxAcceptedPerSecond = max(r.result.MaxAcceptedPerSecond, u.acceptedSinceSample)
		u.acceptedSinceSample = 0
	}
}

// imbalance returns the maximum divided by the mean of count over the upstreams
// that are neither leaving nor offline. It returns 1 if all counts are 0.
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
