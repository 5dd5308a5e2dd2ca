package compare

import (
	"container/heap"
	"time"
)

// event is an action scheduled for the virtual time at.
type event struct {
	at     time.Duration
	seq    uint64 // orders events with the same time by creation
	action func()
}

// schedule is a queue of events in virtual time.
type schedule struct {
	events eventHeap
	seq    uint64
	now    time.Duration // never decreases
}

// after schedules an action d from now. A negative d counts as 0.
func (s *schedule) after(d time.Duration, action func()) {
	s.seq++
	heap.Push(&s.events, &event{at: s.now + max(d, 0), seq: s.seq, action: action})
}

// run executes the events up to and including end, or until stop returns true.
func (s *schedule) run(end time.Duration, stop func() bool) {
	for len(s.events) > 0 && s.events[0].at <= end && !stop() {
		e := heap.Pop(&s.events).(*event)
		s.now = e.at
		e.action()
	}
}

type eventHeap []*event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(*event)) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
