package limit_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/limit"
	"pgregory.net/rapid"
)

// queueModel is what a queue must hold, by the identity of the work.
type queueModel struct {
	q       *limit.Queue
	most    int
	waiting map[uint64]limit.Request
	now     time.Time
	next    uint64
}

// TestQueueInvariants runs random joins, turns, cancellations and pauses
// on queues of each rule: work leaves once, in time or refused; the queue never
// holds more than it may; and each refusal says when to come back.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 8).Draw(t, "max")
		rule := rapid.SampledFrom([]limit.ShedPolicy{limit.ShedNewest{}, limit.ShedLowestPriority{}, limit.ShedLatestDeadline{}}).Draw(t, "rule")
		m := &queueModel{
			q:       limit.NewQueue(limit.QueueConfig{MaxLength: most, ShedPolicy: rule}),
			most:    most,
			waiting: make(map[uint64]limit.Request),
			now:     start,
		}
		t.Repeat(map[string]func(*rapid.T){
			"":       m.check,
			"join":   m.join,
			"next":   m.turn,
			"cancel": m.cancel,
			"pause":  m.pause,
		})
	})
}

func (m *queueModel) check(t *rapid.T) {
	if m.q.Len() != len(m.waiting) || m.q.Len() > m.most {
		t.Fatalf("the queue holds %d, want %d and at most %d", m.q.Len(), len(m.waiting), m.most)
	}
}

func (m *queueModel) join(t *rapid.T) {
	m.next++
	w := limit.Request{
		ID:       m.next,
		Arrived:  m.now,
		Priority: limit.Priority(rapid.IntRange(1, 3).Draw(t, "class")),
	}
	if rapid.Bool().Draw(t, "has deadline") {
		w.Deadline = m.now.Add(time.Duration(rapid.Int64Range(-int64(time.Second), int64(5*time.Second)).Draw(t, "deadline")))
	}
	m.waiting[w.ID] = w
	if r, refused := m.q.Enqueue(w, pace, m.now, source()); refused {
		m.refused(t, r)
	}
}

func (m *queueModel) refused(t *rapid.T, r limit.Refusal) {
	if _, ok := m.waiting[r.ID]; !ok {
		t.Fatalf("refused %d, which does not wait", r.ID)
	}
	if r.RetryAfter <= 0 {
		t.Fatalf("refused %d without a time to come back", r.ID)
	}
	delete(m.waiting, r.ID)
}

func (m *queueModel) turn(t *rapid.T) {
	w, r, ok := m.q.Dequeue(pace, m.now, source())
	if !ok {
		return
	}
	if r.ID != 0 {
		m.refused(t, r)
		return
	}
	if !w.Deadline.IsZero() && m.now.Add(service).After(w.Deadline) {
		t.Fatalf("started %d, which cannot finish in time", w.ID)
	}
	for _, other := range m.waiting {
		if other.Arrived.Before(w.Arrived) {
			t.Fatalf("started %d before %d", w.ID, other.ID)
		}
	}
	delete(m.waiting, w.ID)
}

func (m *queueModel) cancel(t *rapid.T) {
	id := rapid.Uint64Range(1, m.next+1).Draw(t, "id")
	_, waits := m.waiting[id]
	if m.q.Cancel(id) != waits {
		t.Fatalf("cancelling %d returned %v", id, !waits)
	}
	delete(m.waiting, id)
}

func (m *queueModel) pause(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "pause")))
}
