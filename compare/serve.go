package compare

import (
	"time"

	"github.com/corianderbay/corianderbay/limit"
)

// setDeadline sets the deadline of an attempt and schedules its timeout, if the
// traffic has one.
func (r *run) setDeadline(f *flow) {
	s, ok := r.cfg.Traffic.(ShortFlows)
	if !ok || s.Timeout == 0 {
		return
	}
	f.deadline = r.now + s.Timeout
	r.after(s.Timeout, func() { r.onTimeout(f) })
}

// onTimeout retries an attempt that has timed out. With limits on, it first
// cancels the attempt at the sidecar, which frees its place in the queue or its slot.
func (r *run) onTimeout(f *flow) {
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
		u.monitor.Dequeued()
		r.release(f)
		return
	}
	u.running--
	u.monitor.Cancelled(toTime(r.now), r.now-f.started)
	r.record(func(res *Result) { res.ServiceTime += r.now - f.started })
	r.release(f)
	r.dispatch(u)
}

// enqueue starts the request or, if no slot is free, queues it.
func (r *run) enqueue(f *flow, u *upstream) {
	if u.hasFreeSlot() && u.queue.Len() == 0 {
		r.serve(f, u)
		return
	}
	w := limit.Request{ID: f.id, Arrived: toTime(r.now)}
	if r.cfg.Limits && f.deadline > 0 {
		w.Deadline = toTime(f.deadline)
	}
	u.waiting[f.id] = f
	u.monitor.Enqueued()
	refusal, ok := u.queue.Enqueue(w, u.throughput(r.now), toTime(r.now), r.jitter)
	if ok {
		r.rejectQueued(refusal, u)
	}
}

// rejectQueued removes a request that the queue refused and refuses its caller.
func (r *run) rejectQueued(refusal limit.Refusal, u *upstream) {
	f := u.waiting[refusal.ID]
	delete(u.waiting, refusal.ID)
	u.monitor.Dequeued()
	r.refuse(f, refusal.RetryAfter)
}

// dispatch starts queued requests while slots are free.
func (r *run) dispatch(u *upstream) {
	for u.hasFreeSlot() {
		w, refusal, ok := u.queue.Dequeue(u.throughput(r.now), toTime(r.now), r.jitter)
		if !ok {
			return
		}
		if refusal.ID != 0 {
			r.rejectQueued(refusal, u)
			continue
		}
		f := u.waiting[w.ID]
		delete(u.waiting, w.ID)
		u.monitor.Dequeued()
		r.serve(f, u)
	}
}

// serve sends the request to the upstream, which may refuse it.
func (r *run) serve(f *flow, u *upstream) {
	u.monitor.Started(toTime(r.now))
	r.record(func(res *Result) { res.Attempts++ })
	if u.refusing {
		u.monitor.Refused(toTime(r.now))
		r.passRefused(f, u)
		return
	}
	u.running++
	f.started = r.now
	r.recordWait(f)
	serviceTime := time.Duration(float64(f.work) * u.slowdown)
	r.after(serviceTime, func() { r.finish(f, u, serviceTime) })
}

// passRefused passes a request that the upstream refused to the next candidate.
// If the upstream is failing, it passes all queued requests too.
func (r *run) passRefused(f *flow, u *upstream) {
	r.release(f)
	r.pass(f, u)
	if !u.view(r.now).Failing {
		return
	}
	for _, w := range u.queue.Drain() {
		waiting := u.waiting[w.ID]
		delete(u.waiting, w.ID)
		u.monitor.Dequeued()
		r.release(waiting)
		r.pass(waiting, u)
	}
}

func (r *run) finish(f *flow, u *upstream, serviceTime time.Duration) {
	if f.owner != u {
		return
	}
	u.running--
	u.monitor.Answered(toTime(r.now), serviceTime)
	r.release(f)
	r.recordAnswer(f, serviceTime)
	r.dispatch(u)
}

// recordAnswer records an answer as useful, or as late if its caller has timed out.
func (r *run) recordAnswer(f *flow, serviceTime time.Duration) {
	late := f.deadline > 0 && r.now > f.deadline
	f.done = true
	r.record(func(res *Result) {
		res.ServiceTime += serviceTime
		if late {
			res.Late++
			return
		}
		res.UsefulTime += f.work
		if s, ok := r.cfg.Traffic.(ShortFlows); ok && s.surgeFactor(r.now) != 1 {
			res.UsefulSurgeTime += f.work
		}
	})
}

// recordWait records the time until the request took its slot.
func (r *run) recordWait(f *flow) {
	wait := int64((r.now - f.arrived) / time.Microsecond)
	wait = min(wait, maxWaitMicros)
	_ = r.result.second(r.now).Waits.RecordValue(max(wait, 1))
	r.record(func(res *Result) { _ = res.Waits.RecordValue(max(wait, 1)) })
}
