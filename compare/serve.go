package compare

import (
	"time"

	"github.com/corianderbay/corianderbay/limit"
)

// expect sets the deadline of a try and what its caller does then.
func (r *run) expect(f *flow) {
	s, ok := r.cfg.Traffic.(Short)
	if !ok || s.Patience == 0 {
		return
	}
	f.deadline = r.now + s.Patience
	r.after(s.Patience, func() { r.giveUp(f) })
}

// giveUp is the end of a caller's patience. With limits on, the cancellation
// reaches the sidecar and frees the place in the queue or the slot.
func (r *run) giveUp(f *flow) {
	if f.done {
		return
	}
	if r.cfg.Limits {
		r.cancel(f)
	}
	r.retry(f, 0)
}

func (r *run) cancel(f *flow) {
	f.done = true
	u := f.owner
	if u == nil {
		return
	}
	if u.queue.Cancel(f.id) {
		delete(u.waiting, f.id)
		u.watch.Dequeued()
		r.release(f)
		return
	}
	u.running--
	u.watch.Cancelled(clock(r.now), r.now-f.started)
	r.count(func(res *Result) { res.Spent += r.now - f.started })
	r.release(f)
	r.dispatch(u)
}

// join starts the request, or lets it wait for a slot.
func (r *run) join(f *flow, u *upstream) {
	if u.free() && u.queue.Len() == 0 {
		r.serve(f, u)
		return
	}
	w := limit.Request{ID: f.id, Arrived: clock(r.now)}
	if r.cfg.Limits && f.deadline > 0 {
		w.Deadline = clock(f.deadline)
	}
	u.waiting[f.id] = f
	u.watch.Enqueued()
	refusal, ok := u.queue.Enqueue(w, u.pace(r.now), clock(r.now), r.returns)
	if ok {
		r.unqueue(refusal, u)
	}
}

// unqueue tells the caller of work that a queue refused.
func (r *run) unqueue(refusal limit.Refusal, u *upstream) {
	f := u.waiting[refusal.ID]
	delete(u.waiting, refusal.ID)
	u.watch.Dequeued()
	r.refused(f, refusal.RetryAfter)
}

// dispatch starts what waits while slots are free.
func (r *run) dispatch(u *upstream) {
	for u.free() {
		w, refusal, ok := u.queue.Dequeue(u.pace(r.now), clock(r.now), r.returns)
		if !ok {
			return
		}
		if refusal.ID != 0 {
			r.unqueue(refusal, u)
			continue
		}
		f := u.waiting[w.ID]
		delete(u.waiting, w.ID)
		u.watch.Dequeued()
		r.serve(f, u)
	}
}

// serve hands the request to the upstream, which may refuse it.
func (r *run) serve(f *flow, u *upstream) {
	u.watch.Started(clock(r.now))
	r.count(func(res *Result) { res.Attempts++ })
	if u.down {
		u.watch.Refused(clock(r.now))
		r.handOn(f, u)
		return
	}
	u.running++
	f.started = r.now
	r.waited(f)
	took := time.Duration(float64(f.work) * u.slow)
	r.after(took, func() { r.finish(f, u, took) })
}

// handOn passes a request that the upstream refused, and all that wait there.
func (r *run) handOn(f *flow, u *upstream) {
	r.release(f)
	r.pass(f, u)
	if !u.view(r.now).Failing {
		return
	}
	for _, w := range u.queue.Drain() {
		waiting := u.waiting[w.ID]
		delete(u.waiting, w.ID)
		u.watch.Dequeued()
		r.release(waiting)
		r.pass(waiting, u)
	}
}

func (r *run) finish(f *flow, u *upstream, took time.Duration) {
	if f.owner != u {
		return
	}
	u.running--
	u.watch.Answered(clock(r.now), took)
	r.release(f)
	r.answered(f, took)
	r.dispatch(u)
}

// answered counts the answer, and whether its caller still waits for it.
func (r *run) answered(f *flow, took time.Duration) {
	late := f.deadline > 0 && r.now > f.deadline
	f.done = true
	r.count(func(res *Result) {
		res.Spent += took
		if late {
			res.Late++
			return
		}
		res.Useful += f.work
		if s, ok := r.cfg.Traffic.(Short); ok && s.surge(r.now) != 1 {
			res.UsefulSurge += f.work
		}
	})
}

// waited counts the time until the slot was taken.
func (r *run) waited(f *flow) {
	wait := int64((r.now - f.born) / time.Microsecond)
	wait = min(wait, longestWait)
	_ = r.result.second(r.now).Waits.RecordValue(max(wait, 1))
	r.count(func(res *Result) { _ = res.Waits.RecordValue(max(wait, 1)) })
}
