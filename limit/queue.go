package limit

import (
	"container/list"
	"sync"
	"time"
)

// QueueConfig configures a Queue. The zero value selects the defaults.
type QueueConfig struct {
	// MaxLength is the maximum number of queued requests, from 1 to 1,000,000.
	// Zero selects 1000.
	MaxLength int
	// WaitShare is the fraction of the time until its deadline that a request may
	// wait, above 0 and at most 1. Zero selects 0.25.
	WaitShare float64
	// ShedPolicy selects the request to refuse when one must be refused. Nil
	// selects ShedNewest.
	ShedPolicy ShedPolicy
	// RetryAfter is the distribution of the retry-after times of refusals.
	RetryAfter RetryAfter
}

const (
	defaultMaxQueueLength = 1000
	defaultWaitShare      = 0.25
)

// Queue holds the requests that wait for a slot of one upstream, in order of
// arrival. Callers enqueue a request only when no slot is free. When the expected
// wait of a new request exceeds MaxWait, Enqueue refuses it or a queued one; a
// request whose deadline is too close when its turn comes is never started. Queue is
// safe for concurrent use, except for the random source, which the caller must
// synchronize.
type Queue struct {
	cfg QueueConfig // fixed after NewQueue

	mu      sync.Mutex
	waiting *list.List               // of Request, in order of arrival
	byID    map[uint64]*list.Element // one entry for each element of waiting
}

// NewQueue returns an empty Queue.
func NewQueue(cfg QueueConfig) *Queue {
	if cfg.MaxLength == 0 {
		cfg.MaxLength = defaultMaxQueueLength
	}
	if cfg.WaitShare == 0 {
		cfg.WaitShare = defaultWaitShare
	}
	if cfg.ShedPolicy == nil {
		cfg.ShedPolicy = ShedNewest{}
	}
	return &Queue{cfg: cfg, waiting: list.New(), byID: make(map[uint64]*list.Element)}
}

// Len returns the number of queued requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting.Len()
}

// Enqueue adds req. When req or a queued request must be refused, Enqueue
// returns that refusal and true; the refused request is not in the queue.
func (q *Queue) Enqueue(req Request, t Throughput, now time.Time, rnd RandSource) (Refusal, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.fits(req, t, now) {
		q.insert(req)
		return Refusal{}, false
	}
	shed := q.shedCandidate(req)
	if shed.ID == req.ID {
		return q.refuse(req, q.refusalReason(req, t, now), t, rnd), true
	}
	q.remove(shed.ID)
	if !q.fits(req, t, now) {
		q.insert(shed)
		return q.refuse(req, ReasonDeadline, t, rnd), true
	}
	q.insert(req)
	return q.refuse(shed, ReasonShed, t, rnd), true
}

// Dequeue removes and returns the first request. When that request can no longer
// finish before its deadline, the second result is its refusal and it must not
// be started. The last result is false when the queue is empty.
func (q *Queue) Dequeue(t Throughput, now time.Time, rnd RandSource) (Request, Refusal, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	front := q.waiting.Front()
	if front == nil {
		return Request{}, Refusal{}, false
	}
	req := front.Value.(Request)
	q.remove(req.ID)
	if timeLeft, ok := req.timeLeft(now); ok && timeLeft < t.effectiveReserve() {
		return req, q.refuse(req, ReasonDeadline, t, rnd), true
	}
	return req, Refusal{}, true
}

// Cancel removes a request that its caller has cancelled, and reports whether it
// was queued.
func (q *Queue) Cancel(id uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.byID[id]; !ok {
		return false
	}
	q.remove(id)
	return true
}

// Drain removes and returns all queued requests in order of arrival.
func (q *Queue) Drain() []Request {
	q.mu.Lock()
	defer q.mu.Unlock()
	drained := make([]Request, 0, q.waiting.Len())
	for e := q.waiting.Front(); e != nil; e = e.Next() {
		drained = append(drained, e.Value.(Request))
	}
	q.waiting.Init()
	clear(q.byID)
	return drained
}

// fits reports whether there is room for req and it is expected to start soon
// enough to meet its deadline.
func (q *Queue) fits(req Request, t Throughput, now time.Time) bool {
	if q.waiting.Len() >= q.cfg.MaxLength {
		return false
	}
	timeLeft, ok := req.timeLeft(now)
	return !ok || t.waitBehind(q.waiting.Len()) <= q.MaxWait(timeLeft, t)
}

// MaxWait returns how long a request may wait when timeLeft remains until its
// deadline: at most WaitShare of timeLeft, and so that the reserve of t remains. It
// is negative when timeLeft is shorter than the reserve.
func (q *Queue) MaxWait(timeLeft time.Duration, t Throughput) time.Duration {
	share := time.Duration(float64(timeLeft) * q.cfg.WaitShare)
	return min(share, timeLeft-t.effectiveReserve())
}

func (q *Queue) refusalReason(req Request, t Throughput, now time.Time) Reason {
	if q.waiting.Len() < q.cfg.MaxLength {
		return ReasonDeadline
	}
	return ReasonQueueFull
}

// shedCandidate returns the request that the policy refuses first, among req and
// the queued ones.
func (q *Queue) shedCandidate(req Request) Request {
	candidate := req
	if _, ok := q.cfg.ShedPolicy.(ShedNewest); ok {
		return candidate
	}
	for e := q.waiting.Front(); e != nil; e = e.Next() {
		if other := e.Value.(Request); shedBefore(q.cfg.ShedPolicy, other, candidate) {
			candidate = other
		}
	}
	return candidate
}

// refuse returns the refusal of req. Its retry-after time is at least the
// expected time until the queue is empty.
func (q *Queue) refuse(req Request, r Reason, t Throughput, rnd RandSource) Refusal {
	after := q.cfg.RetryAfter.Draw(t.waitBehind(q.waiting.Len()), rnd)
	return Refusal{ID: req.ID, Reason: r, RetryAfter: after}
}

// insert adds req in order of arrival.
func (q *Queue) insert(req Request) {
	prev := q.waiting.Back()
	for prev != nil && prev.Value.(Request).Arrived.After(req.Arrived) {
		prev = prev.Prev()
	}
	if prev == nil {
		q.byID[req.ID] = q.waiting.PushFront(req)
		return
	}
	q.byID[req.ID] = q.waiting.InsertAfter(req, prev)
}

func (q *Queue) remove(id uint64) {
	q.waiting.Remove(q.byID[id])
	delete(q.byID, id)
}
