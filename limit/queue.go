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
	defaultMaxQueue  = 1000
	defaultWaitShare = 0.25
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
		cfg.MaxLength = defaultMaxQueue
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
func (q *Queue) Enqueue(w Request, p Throughput, now time.Time, rnd RandSource) (Refusal, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.fits(w, p, now) {
		q.push(w)
		return Refusal{}, false
	}
	victim := q.leastHarmed(w)
	if victim.ID == w.ID {
		return q.refuse(w, q.reason(w, p, now), p, rnd), true
	}
	q.remove(victim.ID)
	if !q.fits(w, p, now) {
		q.push(victim)
		return q.refuse(w, ReasonDeadline, p, rnd), true
	}
	q.push(w)
	return q.refuse(victim, ReasonShed, p, rnd), true
}

// Dequeue removes and returns the work whose turn it is. Its second result is
// the refusal of work that can no longer finish in time and is not to be
// started; the last result is false when nothing waits.
func (q *Queue) Dequeue(p Throughput, now time.Time, rnd RandSource) (Request, Refusal, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	front := q.waiting.Front()
	if front == nil {
		return Request{}, Refusal{}, false
	}
	w := front.Value.(Request)
	q.remove(w.ID)
	if left, ok := w.left(now); ok && left < p.reserve() {
		return w, q.refuse(w, ReasonDeadline, p, rnd), true
	}
	return w, Refusal{}, true
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
func (q *Queue) fits(w Request, p Throughput, now time.Time) bool {
	if q.waiting.Len() >= q.cfg.MaxLength {
		return false
	}
	left, ok := w.left(now)
	return !ok || p.wait(q.waiting.Len()) <= q.MaxWait(left, p)
}

// MaxWait returns how long work may wait that has left before its deadline.
func (q *Queue) MaxWait(left time.Duration, p Throughput) time.Duration {
	share := time.Duration(float64(left) * q.cfg.WaitShare)
	return min(share, left-p.reserve())
}

func (q *Queue) reason(w Request, p Throughput, now time.Time) Reason {
	if q.waiting.Len() < q.cfg.MaxLength {
		return ReasonDeadline
	}
	return ReasonQueueFull
}

// leastHarmed returns the waiting work, or w, that a refusal harms least.
func (q *Queue) leastHarmed(w Request) Request {
	least := w
	if _, ok := q.cfg.ShedPolicy.(ShedNewest); ok {
		return least
	}
	for e := q.waiting.Front(); e != nil; e = e.Next() {
		if other := e.Value.(Request); less(q.cfg.ShedPolicy, other, least) {
			least = other
		}
	}
	return least
}

// refuse returns the refusal of w, to come back once the queue has emptied.
func (q *Queue) refuse(w Request, r Reason, p Throughput, rnd RandSource) Refusal {
	after := q.cfg.RetryAfter.Draw(p.wait(q.waiting.Len()), rnd)
	return Refusal{ID: w.ID, Reason: r, RetryAfter: after}
}

// push adds w in the order of arrival.
func (q *Queue) push(w Request) {
	at := q.waiting.Back()
	for at != nil && at.Value.(Request).Arrived.After(w.Arrived) {
		at = at.Prev()
	}
	if at == nil {
		q.byID[w.ID] = q.waiting.PushFront(w)
		return
	}
	q.byID[w.ID] = q.waiting.InsertAfter(w, at)
}

func (q *Queue) remove(id uint64) {
	q.waiting.Remove(q.byID[id])
	delete(q.byID, id)
}
