package compare

import (
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/load"
)

// run is one run under way.
type run struct {
	schedule
	streams

	cfg       Config
	upstreams []*upstream // also those that left or were lost
	central   []*flow     // waiting in the one ideal queue
	known     map[bundle.UpstreamID]load.Load
	flows     uint64 // made so far
	result    *Result
	stopped   bool
}

const (
	sampleEvery = time.Second
	// settled is the age of the upstreams when a run begins.
	settled = time.Hour
	// opening is the time over which the flows of a long run are opened at the start.
	opening = time.Minute
)

// Run runs one config to its end and returns what was measured.
func Run(cfg Config) *Result {
	r := &run{
		cfg:     cfg.withDefaults(),
		streams: newStreams(cfg.Seed),
		known:   make(map[bundle.UpstreamID]load.Load),
		result:  newResult(),
	}
	r.build()
	for _, f := range cfg.Faults {
		r.inject(f)
	}
	r.start()
	r.tick()
	r.schedule.run(cfg.Warmup+cfg.Length, func() bool { return r.stopped })
	return r.result
}

func (r *run) build() {
	for place, n := range r.cfg.Places {
		for range n {
			r.add(place, settled)
		}
	}
}

// add puts a new upstream into a place.
func (r *run) add(place int, age time.Duration) *upstream {
	id := bundle.UpstreamID(len(r.upstreams) + 1)
	u := newUpstream(id, place, r.cfg, age, r.now)
	r.upstreams = append(r.upstreams, u)
	return u
}

func (r *run) start() {
	switch t := r.cfg.Traffic.(type) {
	case ShortFlows:
		r.nextShort(t, newPareto(t.Mean, t.MaxMinRatio))
	case LongFlows:
		r.openAll(t, newPareto(t.Mean, t.MaxMinRatio))
		r.nextLong(t, newPareto(t.Mean, t.MaxMinRatio))
	}
}

// measuring reports whether the warm-up is over.
func (r *run) measuring() bool {
	return r.now >= r.cfg.Warmup
}

func (r *run) newFlow() *flow {
	r.flows++
	return &flow{
		id:    r.flows,
		hash:  r.arrivals.Uint64(),
		place: pick(r.arrivals, r.cfg.callers(r.now)),
		born:  r.now,
	}
}

// nextShort schedules the next opening of a short flow and the one after it.
func (r *run) nextShort(t ShortFlows, sizes pareto) {
	slots := r.cfg.upstreams() * r.cfg.Slots
	rate := t.Load * t.surge(r.now) * float64(slots) / t.Mean.Seconds()
	r.after(gap(r.arrivals, rate), func() {
		f := r.newFlow()
		f.work = sizes.draw(r.sizes)
		r.count(func(res *Result) { res.Openings++ })
		r.try(f)
		r.nextShort(t, sizes)
	})
}

// surge returns the factor of the load at a moment.
func (s ShortFlows) surge(now time.Duration) float64 {
	if s.Surge == 0 || now < s.SurgeAt || now >= s.SurgeAt+s.SurgeLength {
		return 1
	}
	return s.Surge
}

// openAll opens the flows that are under way when a long run begins.
func (r *run) openAll(t LongFlows, lives pareto) {
	for range t.Flows {
		r.after(time.Duration(r.sizes.Float64()*float64(opening)), func() {
			f := r.newFlow()
			f.ends = r.now + lives.residual(r.sizes)
			r.try(f)
		})
	}
}

func (r *run) nextLong(t LongFlows, lives pareto) {
	rate := float64(t.Flows) / t.Mean.Seconds()
	r.after(gap(r.arrivals, rate), func() {
		f := r.newFlow()
		f.ends = r.now + lives.draw(r.sizes)
		r.count(func(res *Result) { res.Openings++ })
		r.try(f)
		r.nextLong(t, lives)
	})
}

// count changes the result once the warm-up is over.
func (r *run) count(change func(*Result)) {
	if r.measuring() {
		change(r.result)
	}
}
