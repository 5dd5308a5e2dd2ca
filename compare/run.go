package compare

import (
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/load"
)

// run is the state of a run.
type run struct {
	schedule
	randomSources

	cfg           Config
	upstreams     []*upstream // including leaving and offline ones
	idealQueue    []*flow     // requests waiting under the ideal
	reportedLoads map[bundle.UpstreamID]load.Load
	lastFlowID    uint64 // 0 before the first flow
	result        *Result
	stopped       bool
}

const (
	sampleInterval = time.Second
	// initialAge is the age of the upstreams when a run begins, so that none is in
	// its cold start.
	initialAge = time.Hour
	// openingPeriod is the time at the start of a run over which the initial long
	// flows are opened.
	openingPeriod = time.Minute
)

// Run simulates a config to its end and returns the measurements.
func Run(cfg Config) *Result {
	r := &run{
		cfg:           cfg.withDefaults(),
		randomSources: newRandomSources(cfg.Seed),
		reportedLoads: make(map[bundle.UpstreamID]load.Load),
		result:        newResult(),
	}
	r.addUpstreams()
	for _, f := range cfg.Faults {
		r.inject(f)
	}
	r.startTraffic()
	r.tick()
	r.schedule.run(cfg.Warmup+cfg.Length, func() bool { return r.stopped })
	return r.result
}

func (r *run) addUpstreams() {
	for place, n := range r.cfg.Places {
		for range n {
			r.addUpstream(place, initialAge)
		}
	}
}

// addUpstream adds an upstream of the given age to a place.
func (r *run) addUpstream(place int, age time.Duration) *upstream {
	id := bundle.UpstreamID(len(r.upstreams) + 1)
	u := newUpstream(id, place, r.cfg, age, r.now)
	r.upstreams = append(r.upstreams, u)
	return u
}

func (r *run) startTraffic() {
	switch t := r.cfg.Traffic.(type) {
	case ShortFlows:
		r.scheduleShort(t, newPareto(t.Mean, t.MaxMinRatio))
	case LongFlows:
		r.openInitialFlows(t, newPareto(t.Mean, t.MaxMinRatio))
		r.scheduleLong(t, newPareto(t.Mean, t.MaxMinRatio))
	}
}

// measuring reports whether the warm-up is over.
func (r *run) measuring() bool {
	return r.now >= r.cfg.Warmup
}

func (r *run) newFlow() *flow {
	r.lastFlowID++
	return &flow{
		id:      r.lastFlowID,
		hash:    r.arrivals.Uint64(),
		place:   pickWeighted(r.arrivals, r.cfg.callerShares(r.now)),
		arrived: r.now,
	}
}

// scheduleShort schedules the next opening of a short flow, which schedules the
// one after it.
func (r *run) scheduleShort(t ShortFlows, serviceTimes pareto) {
	slots := r.cfg.upstreamCount() * r.cfg.Slots
	rate := t.Load * t.surgeFactor(r.now) * float64(slots) / t.Mean.Seconds()
	r.after(interarrival(r.arrivals, rate), func() {
		f := r.newFlow()
		f.work = serviceTimes.draw(r.durations)
		r.record(func(res *Result) { res.Openings++ })
		r.attempt(f)
		r.scheduleShort(t, serviceTimes)
	})
}

// surgeFactor returns the factor of Load at the virtual time now.
func (s ShortFlows) surgeFactor(now time.Duration) float64 {
	if s.Surge == 0 || now < s.SurgeAt || now >= s.SurgeAt+s.SurgeLength {
		return 1
	}
	return s.Surge
}

// openInitialFlows schedules the openings of the flows that are already under
// way when a run with long flows begins.
func (r *run) openInitialFlows(t LongFlows, lifetimes pareto) {
	for range t.Flows {
		r.after(time.Duration(r.durations.Float64()*float64(openingPeriod)), func() {
			f := r.newFlow()
			f.endsAt = r.now + lifetimes.residual(r.durations)
			r.attempt(f)
		})
	}
}

func (r *run) scheduleLong(t LongFlows, lifetimes pareto) {
	rate := float64(t.Flows) / t.Mean.Seconds()
	r.after(interarrival(r.arrivals, rate), func() {
		f := r.newFlow()
		f.endsAt = r.now + lifetimes.draw(r.durations)
		r.record(func(res *Result) { res.Openings++ })
		r.attempt(f)
		r.scheduleLong(t, lifetimes)
	})
}

// record updates the result if the warm-up is over.
func (r *run) record(update func(*Result)) {
	if r.measuring() {
		update(r.result)
	}
}
