package limit

import (
	"container/list"
	"sync"
	"time"
)

// QueueConfig holds the settings of a Queue. The zero value selects the defaults.
type QueueConfig struct {
	// Max is how much may wait, from 1 to 1,000,000. Zero selects 1000.
	Max int
	// Share is the part of the time before its deadline that work may wait, above
	// 0 and at most 1. Zero selects 0.25.
	Share float64
	// Rule says what is refused when something must be. Nil selects Newest.
	Rule Rule
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
	if cfg.Max == 0 {
		cfg.Max = defaultMaxQueue
	}
	if cfg.Share == 0 {
		cfg.Share = defaultWaitShare
	}
	if cfg.Rule == nil {
		cfg.Rule = Newest{}
	}
	return &Queue{cfg: cfg, waiting: list.New(), byID: make(map[uint64]*list.Element)}
}

// Len returns how much waits.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting.Len()
}

// Join adds w. When w or other work has to be refused for it, Join returns
// that refusal and true; the work that it names no longer waits.
func (q *Queue) Join(w Waiting, p Pace, now time.Time, rnd Source) (Refusal, bool) {
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
		return q.refuse(w, Late, p, rnd), true
	}
	q.push(w)
	return q.refuse(victim, Shed, p, rnd), true
}

// Next removes and returns the work whose turn it is. Its second result is
// the refusal of work that can no longer finish in time and is not to be
// started; the last result is false when nothing waits.
func (q *Queue) Next(p Pace, now time.Time, rnd Source) (Waiting, Refusal, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	front := q.waiting.Front()
	if front == nil {
		return Waiting{}, Refusal{}, false
	}
	w := front.Value.(Waiting)
	q.remove(w.ID)
	if left, ok := w.left(now); ok && left < p.reserve() {
		return w, q.refuse(w, Late, p, rnd), true
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
func (q *Queue) Drain() []Waiting {
	q.mu.Lock()
	defer q.mu.Unlock()
	drained := make([]Waiting, 0, q.waiting.Len())
	for e := q.waiting.Front(); e != nil; e = e.Next() {
		drained = append(drained, e.Value.(Waiting))
	}
	q.waiting.Init()
	clear(q.byID)
	return drained
}

// fits reports whether w can join and finish in time.
func (q *Queue) fits(w Waiting, p Pace, now time.Time) bool {
	if q.waiting.Len() >= q.cfg.Max {
		return false
	}
	left, ok := w.left(now)
	return !ok || p.wait(q.waiting.Len()) <= q.Patience(left, p)
}

// Patience returns how long work may wait that has left before its deadline.
func (q *Queue) Patience(left time.Duration, p Pace) time.Duration {
	share := time.Duration(float64(left) * q.cfg.Share)
	return min(share, left-p.reserve())
}

func (q *Queue) reason(w Waiting, p Pace, now time.Time) Reason {
	if q.waiting.Len() < q.cfg.Max {
		return Late
	}
	return Memory
}

// leastHarmed returns the waiting work, or w, that a refusal harms least.
func (q *Queue) leastHarmed(w Waiting) Waiting {
	least := w
	if _, ok := q.cfg.Rule.(Newest); ok {
		return least
	}
	for e := q.waiting.Front(); e != nil; e = e.Next() {
		if other := e.Value.(Waiting); less(q.cfg.Rule, other, least) {
			least = other
		}
	}
	return least
}

// refuse returns the refusal of w, to come back once the queue has emptied.
func (q *Queue) refuse(w Waiting, r Reason, p Pace, rnd Source) Refusal {
	after := q.cfg.RetryAfter.After(p.wait(q.waiting.Len()), rnd)
	return Refusal{ID: w.ID, Reason: r, After: after}
}

// push adds w in the order of arrival.
func (q *Queue) push(w Waiting) {
	at := q.waiting.Back()
	for at != nil && at.Value.(Waiting).Joined.After(w.Joined) {
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
