package flow

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// A Hint says that the sending sidecar's upstream owns a flow. It goes to a
// balancer, or to a sidecar that searches for the owner.
type Hint struct {
	To  netip.AddrPort
	Key Key
}

// hintSize is what a hint costs on the wire in bytes, headers included.
const hintSize = 64

// outboxSize bounds the hints that wait.
const outboxSize = 4096

// An outbox holds hints until there is budget for them, and counts the packets
// that each would have spared a hop.
type outbox struct {
	mu     sync.Mutex
	budget int // bytes a second
	last   time.Time
	credit float64 // bytes
	counts map[Hint]int
}

func newOutbox(budget int) *outbox {
	return &outbox{budget: budget, counts: make(map[Hint]int)}
}

// add counts one packet that came the long way. When the outbox is full a new hint is lost.
func (o *outbox) add(to netip.AddrPort, k Key) {
	if !to.IsValid() {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	h := Hint{To: to, Key: k}
	n := o.counts[h]
	if n == 0 && len(o.counts) >= outboxSize {
		return
	}
	o.counts[h] = n + 1
}

// due returns the heaviest hints that the budget allows.
func (o *outbox) due(now time.Time) []Hint {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.last.IsZero() {
		o.credit += now.Sub(o.last).Seconds() * float64(o.budget)
	}
	o.last = now
	o.credit = min(o.credit, float64(o.budget))
	n := min(len(o.counts), int(o.credit)/hintSize)
	if n == 0 {
		return nil
	}
	hints := make([]Hint, 0, len(o.counts))
	for h := range o.counts {
		hints = append(hints, h)
	}
	slices.SortFunc(hints, func(a, b Hint) int {
		if c := cmp.Compare(o.counts[b], o.counts[a]); c != 0 {
			return c
		}
		return compareHints(a, b)
	})
	o.credit -= float64(n * hintSize)
	for _, h := range hints[:n] {
		delete(o.counts, h)
	}
	if len(o.counts) > outboxSize/2 {
		o.evict(hints[outboxSize/2:])
	}
	return hints[:n:n]
}

// evict forgets hints, the lightest of a crowded outbox, to leave room for heavier ones.
func (o *outbox) evict(hints []Hint) {
	for _, h := range hints {
		delete(o.counts, h)
	}
}

// compareHints makes the order of equal hints the same in each run.
func compareHints(a, b Hint) int {
	if c := cmp.Compare(a.Key.Hash(), b.Key.Hash()); c != 0 {
		return c
	}
	return a.To.Compare(b.To)
}
