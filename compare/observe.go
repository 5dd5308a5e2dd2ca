package compare

// tick samples and lets the sidecars report, each second.
func (r *run) tick() {
	r.reports()
	r.sample()
	r.after(sampleEvery, r.tick)
}

// reports delivers each sidecar's report to the others and to the balancers.
func (r *run) reports() {
	for _, u := range r.upstreams {
		if u.dead {
			continue
		}
		report, ok := u.report(r.now)
		if !ok {
			continue
		}
		r.known[u.id] = report.View().ReportedLoad()
		for _, other := range r.upstreams {
			other.peers.AddReport(report, reportBytes, clock(r.now))
		}
	}
}

// reportBytes is the size that a report counts with.
const reportBytes = 64

func (r *run) sample() {
	if !r.measuring() {
		r.peak()
		r.result.Peak = 0
		return
	}
	r.peak()
	connections := r.spread(func(u *upstream) int { return len(u.flows) })
	slots := r.spread(func(u *upstream) int { return u.running })
	s := Sample{At: r.now, Imbalance: connections}
	r.result.Samples = append(r.result.Samples, s)
	r.result.Slots = append(r.result.Slots, slots)
	r.stopped = r.cfg.Until != nil && r.cfg.Until(s)
}

// peak keeps the most flows that an upstream accepted since the last sample.
func (r *run) peak() {
	for _, u := range r.upstreams {
		r.result.Peak = max(r.result.Peak, u.opened)
		u.opened = 0
	}
}

// spread returns the maximum over the mean of what the upstreams in use hold.
func (r *run) spread(held func(*upstream) int) float64 {
	highest, sum, n := 0, 0, 0
	for _, u := range r.upstreams {
		if u.leaving || u.dead {
			continue
		}
		highest = max(highest, held(u))
		sum += held(u)
		n++
	}
	if sum == 0 {
		return 1
	}
	return float64(highest) * float64(n) / float64(sum)
}
