package limit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/limit"
	"github.com/shoenig/test/must"
)

const service = 100 * time.Millisecond

var (
	start = time.Unix(1_000_000, 0)
	pace  = limit.Throughput{Slots: 2, ServiceTime: service}
)

func source() *rand.Rand {
	return rand.New(rand.NewPCG(1, 2))
}

func work(id uint64, deadline time.Duration) limit.Request {
	return limit.Request{ID: id, Arrived: start.Add(time.Duration(id)), Deadline: start.Add(deadline), Priority: limit.PriorityNewFlow}
}

func join(q *limit.Queue, w limit.Request) (limit.Refusal, bool) {
	return q.Enqueue(w, pace, start, source())
}

func TestQueueRefusesRequestThatMissesDeadline(t *testing.T) {
	q := limit.NewQueue(limit.QueueConfig{})
	_, refused := join(q, work(1, time.Second))
	must.False(t, refused)
	r, refused := join(q, work(2, 120*time.Millisecond))
	must.True(t, refused)
	must.Eq(t, limit.ReasonDeadline, r.Reason)
	must.Eq(t, 2, r.ID)
	must.Greater(t, 0, r.RetryAfter)
	must.Eq(t, 1, q.Len())
}

func TestQueueNeverStartsAfterTheDeadline(t *testing.T) {
	q := limit.NewQueue(limit.QueueConfig{})
	for id := range uint64(3) {
		_, refused := join(q, work(id+1, time.Second))
		must.False(t, refused)
	}
	w, r, ok := q.Dequeue(pace, start, source())
	must.True(t, ok)
	must.Eq(t, 1, w.ID)
	must.Eq(t, limit.Refusal{}, r)
	for range 2 {
		_, r, ok = q.Dequeue(pace, start.Add(950*time.Millisecond), source())
		must.True(t, ok)
		must.Eq(t, limit.ReasonDeadline, r.Reason)
	}
	_, _, ok = q.Dequeue(pace, start, source())
	must.False(t, ok)
}

func TestCancelFreesQueueSpace(t *testing.T) {
	q := limit.NewQueue(limit.QueueConfig{MaxLength: 1})
	_, refused := join(q, work(1, time.Minute))
	must.False(t, refused)
	r, refused := join(q, work(2, time.Minute))
	must.True(t, refused)
	must.Eq(t, limit.ReasonQueueFull, r.Reason)
	must.True(t, q.Cancel(1))
	must.False(t, q.Cancel(1))
	_, refused = join(q, work(3, time.Minute))
	must.False(t, refused)
}

func TestShedPolicies(t *testing.T) {
	repeated := work(1, time.Minute)
	repeated.Priority = limit.PriorityRetry
	established := work(3, time.Minute)
	established.Priority = limit.PriorityEstablished
	cases := []struct {
		name string
		rule limit.ShedPolicy
		want uint64
	}{
		{"newest", limit.ShedNewest{}, 3},
		{"class", limit.ShedLowestPriority{}, 1},
		{"slack", limit.ShedLatestDeadline{}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := limit.NewQueue(limit.QueueConfig{MaxLength: 2, ShedPolicy: c.rule})
			join(q, repeated)
			join(q, work(2, time.Hour))
			r, refused := join(q, established)
			must.True(t, refused)
			must.Eq(t, c.want, r.ID)
			must.Eq(t, 2, q.Len())
		})
	}
}

// TestNothingIsShedForExpiringRequest checks that nothing is shed for a
// newcomer that could not finish in time anyway.
func TestNothingIsShedForExpiringRequest(t *testing.T) {
	q := limit.NewQueue(limit.QueueConfig{ShedPolicy: limit.ShedLowestPriority{}})
	repeated := work(1, time.Minute)
	repeated.Priority = limit.PriorityRetry
	join(q, repeated)
	hopeless := work(2, 50*time.Millisecond)
	hopeless.Priority = limit.PriorityEstablished
	r, refused := join(q, hopeless)
	must.True(t, refused)
	must.Eq(t, 2, r.ID)
	must.Eq(t, 1, q.Len())
}

func TestDrainReturnsRequestsInOrder(t *testing.T) {
	q := limit.NewQueue(limit.QueueConfig{})
	join(q, work(2, time.Minute))
	join(q, work(1, time.Minute))
	drained := q.Drain()
	must.Len(t, 2, drained)
	must.Eq(t, 1, drained[0].ID)
	must.Eq(t, 0, q.Len())
}

func TestRetryAfterIsJittered(t *testing.T) {
	rnd := source()
	shortest, longest := time.Hour, time.Duration(0)
	for range 1000 {
		d := limit.RetryAfter{}.Draw(0, rnd)
		shortest = min(shortest, d)
		longest = max(longest, d)
	}
	must.Between(t, 500*time.Millisecond, shortest, 600*time.Millisecond)
	must.Between(t, 4400*time.Millisecond, longest, 4500*time.Millisecond)
	must.GreaterEq(t, 10*time.Second, limit.RetryAfter{}.Draw(10*time.Second, rnd))
}

func TestBudgetBoundsRetries(t *testing.T) {
	b := limit.NewRetryBudget(limit.RetryBudgetConfig{})
	retries := 0
	const firsts = 10_000
	for range firsts {
		b.RecordFirstAttempt()
		for b.AllowRetry() {
			retries++
		}
	}
	must.Between(t, firsts/10-2, retries, firsts/10)
}
