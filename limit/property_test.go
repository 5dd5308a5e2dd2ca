package limit_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/limit"
	"pgregory.net/rapid"
)

// queueModel is the expected content of a queue, by request ID.
type queueModel struct {
	q         *limit.Queue
	maxLength int
	waiting   map[uint64]limit.Request
	now       time.Time
	next      uint64
}

// TestQueueInvariants runs random operations on queues of each shed policy. Each
// request leaves the queue once, either started in time or refused; the queue
// never exceeds its maximum length; and each refusal has a retry-after time.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxLength := rapid.IntRange(1, 8).Draw(t, "max length")
		policy := rapid.SampledFrom([]limit.ShedPolicy{limit.ShedNewest{}, limit.ShedLowestPriority{}, limit.ShedLatestDeadline{}}).Draw(t, "policy")
		m := &queueModel{
			q:         limit.NewQueue(limit.QueueConfig{MaxLength: maxLength, ShedPolicy: policy}),
			maxLength: maxLength,
			waiting:   make(map[uint64]limit.Request),
			now:       start,
		}
		t.Repeat(map[string]func(*rapid.T){
			"":        m.check,
			"enqueue": m.enqueue,
			"next":    m.dequeue,
			"cancel":  m.cancel,
			"pause":   m.advance,
		})
	})
}

func (m *queueModel) check(t *rapid.T) {
	if m.q.Len() != len(m.waiting) || m.q.Len() > m.maxLength {
		t.Fatalf("queue length is %d, want %d and at most %d", m.q.Len(), len(m.waiting), m.maxLength)
	}
}

func (m *queueModel) enqueue(t *rapid.T) {
	m.next++
	req := limit.Request{
		ID:       m.next,
		Arrived:  m.now,
		Priority: limit.Priority(rapid.IntRange(1, 3).Draw(t, "priority")),
	}
	if rapid.Bool().Draw(t, "has deadline") {
		req.Deadline = m.now.Add(time.Duration(rapid.Int64Range(-int64(time.Second), int64(5*time.Second)).Draw(t, "deadline")))
	}
	m.waiting[req.ID] = req
	if r, refused := m.q.Enqueue(req, throughput, m.now, newRand()); refused {
		m.removeRefused(t, r)
	}
}

func (m *queueModel) removeRefused(t *rapid.T, r limit.Refusal) {
	if _, ok := m.waiting[r.ID]; !ok {
		t.Fatalf("refused request %d, which is not queued", r.ID)
	}
	if r.RetryAfter <= 0 {
		t.Fatalf("refused request %d without a retry-after time", r.ID)
	}
	delete(m.waiting, r.ID)
}

func (m *queueModel) dequeue(t *rapid.T) {
	req, r, ok := m.q.Dequeue(throughput, m.now, newRand())
	if !ok {
		return
	}
	if r.ID != 0 {
		m.removeRefused(t, r)
		return
	}
	if !req.Deadline.IsZero() && m.now.Add(serviceTime).After(req.Deadline) {
		t.Fatalf("started request %d, which cannot finish before its deadline", req.ID)
	}
	for _, other := range m.waiting {
		if other.Arrived.Before(req.Arrived) {
			t.Fatalf("started request %d before request %d, which arrived earlier", req.ID, other.ID)
		}
	}
	delete(m.waiting, req.ID)
}

func (m *queueModel) cancel(t *rapid.T) {
	id := rapid.Uint64Range(1, m.next+1).Draw(t, "id")
	_, queued := m.waiting[id]
	if m.q.Cancel(id) != queued {
		t.Fatalf("cancelling request %d returned %v", id, !queued)
	}
	delete(m.waiting, id)
}

func (m *queueModel) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "pause")))
}
