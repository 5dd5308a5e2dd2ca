package compare

import (
	"time"

	"github.com/corianderbay/corianderbay/limit"
	"github.com/corianderbay/corianderbay/load"
)

const (
	// again is when a sidecar tries once more after its upstream refused.
	again = 100 * time.Millisecond
)

// try sends the opening of a flow once.
func (r *run) try(f *flow) {
	f.tries++
	f.born = r.now
	f.done = false
	f.owner = nil
	f.at = 0
	f.loads = [load.MaxCarriedLoads]uint32{}
	r.count(func(res *Result) { res.Offered++ })
	r.expect(f)
	if r.cfg.Policy == nil {
		r.tryIdeal(f)
		return
	}
	f.order = rank(f.hash, f.place, len(r.cfg.Places), r.upstreams)
	if len(f.order) == 0 {
		r.refused(f, retryAfter(load.ReasonNone, r.returns))
		return
	}
	r.choose(f)
	r.visit(f)
}

// choose lets the balancer's part of the policy swap the first two candidates.
func (r *run) choose(f *flow) {
	if len(f.order) < 2 {
		return
	}
	known := [2]load.Load{r.known[f.order[0].id], r.known[f.order[1].id]}
	if load.PreferredCandidate(r.cfg.Policy, known) == 1 {
		f.order[0], f.order[1] = f.order[1], f.order[0]
	}
}

// visit lets the sidecar at f.at decide.
func (r *run) visit(f *flow) {
	if f.done {
		return
	}
	u := f.order[f.at]
	if u.dead {
		r.pass(f, u)
		return
	}
	f.visits++
	r.count(func(res *Result) { res.Visits++ })
	d := u.decider.Decide(f.opening(r.patience(f, u)), clock(r.now))
	switch d.Verdict {
	case load.Accept:
		r.accept(f, u)
	case load.Pass:
		if f.at < load.MaxCarriedLoads {
			f.loads[f.at] = uint32(d.Load)
		}
		r.pass(f, u)
	case load.Refuse:
		r.refused(f, retryAfter(d.Reason, r.returns))
	}
}

// patience returns how long the opening may wait at u; zero is forever.
func (r *run) patience(f *flow, u *upstream) time.Duration {
	if !r.cfg.Limits || f.deadline == 0 {
		return 0
	}
	return max(u.queue.MaxWait(f.deadline-r.now, u.pace(r.now)), 1)
}

// pass hands the opening to the next candidate, or to the first after a pause.
func (r *run) pass(f *flow, from *upstream) {
	if f.at+1 < len(f.order) {
		f.at++
		r.after(r.hop(from.place, f.order[f.at].place), func() { r.visit(f) })
		return
	}
	f.at = 0
	f.loads = [load.MaxCarriedLoads]uint32{}
	r.after(again, func() { r.visit(f) })
}

func (r *run) hop(from, to int) time.Duration {
	if from == to {
		return r.cfg.Near
	}
	return r.cfg.Far
}

func (r *run) accept(f *flow, u *upstream) {
	f.owner = u
	u.own(f, r.now)
	u.opened++
	second := r.result.second(r.now)
	second.Accepted++
	far := 0
	if f.place != u.place {
		far = 1
	}
	second.Far += far
	r.count(func(res *Result) {
		res.Accepted++
		res.Far += far
		res.Highest = max(res.Highest, len(u.flows))
	})
	if f.work > 0 {
		r.join(f, u)
		return
	}
	r.after(f.ends-r.now, func() {
		if f.owner == u {
			r.release(f)
		}
	})
}

// release ends a flow at its owner.
func (r *run) release(f *flow) {
	u := f.owner
	if u == nil {
		return
	}
	f.owner = nil
	u.disown(f)
}

// retryAfter returns when a refused caller may come back.
func retryAfter(reason load.Reason, rnd limit.RandSource) time.Duration {
	if reason == load.ReasonFull {
		return limit.FullRetryAfter().Draw(0, rnd)
	}
	return limit.RetryAfter{}.Draw(0, rnd)
}

// refused ends a try. The caller comes back after the time that it was told.
func (r *run) refused(f *flow, after time.Duration) {
	r.release(f)
	f.done = true
	r.count(func(res *Result) { res.Refused++ })
	r.result.second(r.now).Refused++
	r.retry(f, after)
}

// retry starts the caller's next try, as a new flow with the same work.
func (r *run) retry(f *flow, after time.Duration) {
	if f.tries >= r.tries(f) {
		return
	}
	next := &flow{hash: mix(f.hash, f.id), place: f.place, work: f.work, ends: f.ends, tries: f.tries}
	r.flows++
	next.id = r.flows
	r.after(after, func() { r.try(next) })
}

// tries returns how often the caller of a flow sends its opening.
func (r *run) tries(f *flow) int {
	s, ok := r.cfg.Traffic.(Short)
	if !ok {
		return reconnects
	}
	return max(s.Tries, 1)
}

// reconnects is how often the caller of a long flow opens it again.
const reconnects = 1000
