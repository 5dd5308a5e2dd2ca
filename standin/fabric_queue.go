package standin

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/timer"
)

type delayedPacket struct {
	due  time.Time
	send func()
}

// fabricHeap is a heap of packets by due time.
type fabricHeap []delayedPacket

func (h fabricHeap) Len() int           { return len(h) }
func (h fabricHeap) Less(i, j int) bool { return h[i].due.Before(h[j].due) }
func (h fabricHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *fabricHeap) Push(x any)        { *h = append(*h, x.(delayedPacket)) }

func (h *fabricHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// fabricQueue sends delayed packets when they are due.
type fabricQueue struct {
	timers *timer.Service
	wake   chan struct{} // buffered with 1

	mu    sync.Mutex // guards items
	items fabricHeap
}

func newFabricQueue(timers *timer.Service) *fabricQueue {
	return &fabricQueue{timers: timers, wake: make(chan struct{}, 1)}
}

func (q *fabricQueue) push(d time.Duration, send func()) {
	q.mu.Lock()
	heap.Push(&q.items, delayedPacket{due: q.timers.Now().Add(d), send: send})
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// run sends packets until ctx is done. Packets that are still queued are dropped.
func (q *fabricQueue) run(ctx context.Context) {
	for {
		send, wait := q.next()
		if send != nil {
			send()
			continue
		}
		sub := q.timers.After(wait)
		select {
		case <-ctx.Done():
			sub.Stop()
			return
		case <-q.wake:
		case <-sub.C:
		}
		sub.Stop()
	}
}

// next removes and returns the first packet if it is due, or else the time until it is.
func (q *fabricQueue) next() (func(), time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) == 0 {
		return nil, maxDelay
	}
	if wait := q.items[0].due.Sub(q.timers.Now()); wait > 0 {
		return nil, wait
	}
	return heap.Pop(&q.items).(delayedPacket).send, 0
}
