package compare

import (
	"time"

	"github.com/corianderbay/corianderbay/limit"
	"github.com/corianderbay/corianderbay/load"
)

const (
	// passRetryDelay is the pause after the last candidate passed, before the
	// opening visits the first candidate again.
	passRetryDelay = 100 * time.Millisecond
)

// attempt sends the opening of a flow to its first candidate, once.
func (r *run) attempt(f *flow) {
	f.attempts++
	f.arrived = r.now
	f.done = false
	f.owner = nil
	f.current = 0
	f.loads = [load.MaxCarriedLoads]uint32{}
	r.record(func(res *Result) { res.Offered++ })
	r.setDeadline(f)
	if r.cfg.Policy == nil {
		r.attemptIdeal(f)
		return
	}
	f.candidates = rank(f.hash, f.place, len(r.cfg.Places), r.upstreams)
	if len(f.candidates) == 0 {
		r.refuse(f, retryAfter(load.ReasonNone, r.jitter))
		return
	}
	r.orderByPolicy(f)
	r.visit(f)
}

// orderByPolicy swaps the first two candidates if the policy of the balancer
// prefers the second one by the reported loads.
func (r *run) orderByPolicy(f *flow) {
	if len(f.candidates) < 2 {
		return
	}
	loads := [2]load.Load{r.reportedLoads[f.candidates[0].id], r.reportedLoads[f.candidates[1].id]}
	if load.PreferredCandidate(r.cfg.Policy, loads) == 1 {
		f.candidates[0], f.candidates[1] = f.candidates[1], f.candidates[0]
	}
}

// visit applies the decision of the current candidate's sidecar.
func (r *run) visit(f *flow) {
	if f.done {
		return
	}
	u := f.candidates[f.current]
	if u.offline {
		r.pass(f, u)
		return
	}
	f.visits++
	r.record(func(res *Result) { res.Visits++ })
	d := u.decider.Decide(f.opening(r.maxWait(f, u)), toTime(r.now))
	switch d.Verdict {
	case load.Accept:
		r.accept(f, u)
	case load.Pass:
		if f.current < load.MaxCarriedLoads {
			f.loads[f.current] = uint32(d.Load)
		}
		r.pass(f, u)
	case load.Refuse:
		r.refuse(f, retryAfter(d.Reason, r.jitter))
	}
}

// maxWait returns how long the opening may wait for a slot at u. Zero means no limit.
func (r *run) maxWait(f *flow, u *upstream) time.Duration {
	if !r.cfg.Limits || f.deadline == 0 {
		return 0
	}
	return max(u.queue.MaxWait(f.deadline-r.now, u.throughput(r.now)), 1)
}

// pass sends the opening to the next candidate or, after the last one and a
// pause, to the first candidate again.
func (r *run) pass(f *flow, from *upstream) {
	if f.current+1 < len(f.candidates) {
		f.current++
		r.after(r.hopTime(from.place, f.candidates[f.current].place), func() { r.visit(f) })
		return
	}
	f.current = 0
	f.loads = [load.MaxCarriedLoads]uint32{}
	r.after(passRetryDelay, func() { r.visit(f) })
}

func (r *run) hopTime(from, to int) time.Duration {
	if from == to {
		return r.cfg.NearHop
	}
	return r.cfg.FarHop
}

func (r *run) accept(f *flow, u *upstream) {
	f.owner = u
	u.addFlow(f, r.now)
	u.acceptedSinceSample++
	second := r.result.second(r.now)
	second.Accepted++
	far := 0
	if f.place != u.place {
		far = 1
	}
	second.Far += far
	r.record(func(res *Result) {
		res.Accepted++
		res.Far += far
		res.MaxConnections = max(res.MaxConnections, len(u.flows))
	})
	if f.work > 0 {
		r.enqueue(f, u)
		return
	}
	r.after(f.endsAt-r.now, func() {
		if f.owner == u {
			r.release(f)
		}
	})
}

// release removes a flow from its owner, if it has one.
func (r *run) release(f *flow) {
	u := f.owner
	if u == nil {
		return
	}
	f.owner = nil
	u.removeFlow(f)
}

// retryAfter returns the delay after which a refused caller may retry.
func retryAfter(reason load.Reason, rnd limit.RandSource) time.Duration {
	if reason == load.ReasonFull {
		return limit.FullRetryAfter().Draw(0, rnd)
	}
	return limit.RetryAfter{}.Draw(0, rnd)
}

// refuse ends an attempt. The caller retries after the given delay.
func (r *run) refuse(f *flow, after time.Duration) {
	r.release(f)
	f.done = true
	r.record(func(res *Result) { res.Refused++ })
	r.result.second(r.now).Refused++
	r.retry(f, after)
}

// retry schedules the caller's next attempt, as a new flow with the same work,
// unless the caller has no attempts left.
func (r *run) retry(f *flow, after time.Duration) {
	if f.attempts >= r.maxAttempts(f) {
		return
	}
	next := &flow{hash: mix(f.hash, f.id), place: f.place, work: f.work, endsAt: f.endsAt, attempts: f.attempts}
	r.lastFlowID++
	next.id = r.lastFlowID
	r.after(after, func() { r.attempt(next) })
}

// maxAttempts returns how many times the caller of a flow may send its opening.
func (r *run) maxAttempts(f *flow) int {
	s, ok := r.cfg.Traffic.(ShortFlows)
	if !ok {
		return maxReconnects
	}
	return max(s.MaxAttempts, 1)
}

// maxReconnects bounds the attempts of the caller of a long flow.
const maxReconnects = 1000
