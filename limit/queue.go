package limit

import (
	"container/list"
	"sync"
	"time"
)

// QueueConfig holds the settings of a Queue. The zero value selects the defaults.
type QueueConfig struct {
	// MaxLength is how much may wait, from 1 to 1,000,000. Zero selects 1000.
	MaxLength int
	// WaitShare is the part of the time before its deadline that work may wait, above
	// 0 and at most 1. Zero selects 0.25.
	WaitShare float64
	// ShedPolicy says what is refused when something must be. Nil selects Newest.
	ShedPolicy ShedPolicy
	// RetryAfter says when refused callers come back.
	RetryAfter RetryAfter
}

const (
	defaultMaxQueueLength = 1000
	defaultWaitShare      = 0.25
)

// A Queue holds work that waits for a slot of one upstream, in the order of
// arrival. It is meant for work that finds no free slot. Work that cannot finish before its deadline is refused when it
// joins; work whose deadline has come too near is never started. It is safe
// for concurrent use, but for the random source, which the caller guards.
type Queue struct {
	cfg QueueConfig // fixed after NewQueue

	mu      sync.Mutex
	waiting *list.List               // of Waiting, first come first
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

// Len returns how much waits.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting.Len()
}

// Enqueue adds w. When w or other work has to be refused for it, Join returns
// that refusal and true; the work that it names no longer waits.
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

// Dequeue removes and returns the work whose turn it is. Its second result is
// the refusal of work that can no longer finish in time and is not to be
// started; the last result is false when nothing waits.
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

// Cancel removes work whose caller gave up, and reports whether it was waiting.
func (q *Queue) Cancel(id uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.byID[id]; !ok {
		return false
	}
	q.remove(id)
	return true
}

// Drain removes and returns all that waits, first come first.
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

// fits reports whether w can join and finish in time.
func (q *Queue) fits(req Request, t Throughput, now time.Time) bool {
	if q.waiting.Len() >= q.cfg.MaxLength {
		return false
	}
	timeLeft, ok := req.timeLeft(now)
	return !ok || t.waitBehind(q.waiting.Len()) <= q.MaxWait(timeLeft, t)
}

// MaxWait returns how long work may wait that has left before its deadline.
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

// shedCandidate returns the waiting work, or w, that a refusal harms least.
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

// refuse returns the refusal of w, to come back once the queue has emptied.
func (q *Queue) refuse(req Request, r Reason, t Throughput, rnd RandSource) Refusal {
	after := q.cfg.RetryAfter.Draw(t.waitBehind(q.waiting.Len()), rnd)
	return Refusal{ID: req.ID, Reason: r, RetryAfter: after}
}

// insert adds w in the order of arrival.
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
