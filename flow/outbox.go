package flow

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// A Hint reports that the sending sidecar's upstream owns a flow. It is sent to a
// balancer, or to a sidecar that searches for the owner.
type Hint struct {
	To  netip.AddrPort
	Key Key
	// ToBalancer is true when the receiver is a balancer, which needs only the hash of the key.
	ToBalancer bool
}

const (
	// keyHintSize and hashHintSize are the sizes in bytes that one flow adds to a
	// datagram of hints, by its key and by the hash of its key.
	keyHintSize  = 39
	hashHintSize = 9
	// hintOverhead is the size in bytes of a datagram of hints without its flows,
	// including IP and UDP headers.
	hintOverhead = 88
	// hintBatchesPerSecond is the rate of batches that use up the budget. Batches let
	// hints share datagrams.
	hintBatchesPerSecond = 2
)

// outboxSize bounds the number of queued hints.
const outboxSize = 4096

// size returns the bytes that the hint adds to a datagram.
func (h Hint) size() float64 {
	if h.ToBalancer {
		return hashHintSize
	}
	return keyHintSize
}

// An outbox queues hints until the budget allows to send them. It counts for each
// hint the packets that it would have saved a hop.
type outbox struct {
	mu         sync.Mutex
	budget     int // bytes per second
	lastRefill time.Time
	credit     float64 // bytes
	counts     map[Hint]int
}

func newOutbox(budget int) *outbox {
	return &outbox{budget: budget, counts: make(map[Hint]int)}
}

// add counts one packet that took additional hops. A full outbox drops new hints.
func (o *outbox) add(h Hint) {
	if !h.To.IsValid() {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	n := o.counts[h]
	if n == 0 && len(o.counts) >= outboxSize {
		return
	}
	o.counts[h] = n + 1
}

// due returns the hints with the highest counts that the budget allows. It returns
// none until the credit reaches 1/hintBatchesPerSecond of the budget.
func (o *outbox) due(now time.Time) []Hint {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.lastRefill.IsZero() {
		o.credit += now.Sub(o.lastRefill).Seconds() * float64(o.budget)
	}
	o.lastRefill = now
	o.credit = min(o.credit, float64(o.budget))
	if len(o.counts) == 0 || o.credit < float64(o.budget)/hintBatchesPerSecond {
		return nil
	}
	all := o.sortedByCount()
	hints := o.take(all)
	if len(o.counts) > outboxSize/2 {
		o.evict(all[outboxSize/2:])
	}
	return hints
}

// evict removes the hints with the lowest counts, to make room for new ones in an
// outbox that is more than half full. The caller holds the lock.
func (o *outbox) evict(hints []Hint) {
	for _, h := range hints {
		delete(o.counts, h)
	}
}

// sortedByCount returns all hints, those with the highest counts first. The caller holds the lock.
func (o *outbox) sortedByCount() []Hint {
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
	return hints
}

// take removes and returns the first hints that the credit covers. The caller holds the lock.
func (o *outbox) take(hints []Hint) []Hint {
	inDatagram := make(map[netip.AddrPort]int)
	for i, h := range hints {
		cost := h.size()
		if inDatagram[h.To]%MaxHints == 0 {
			cost += hintOverhead
		}
		if cost > o.credit {
			return hints[:i:i]
		}
		o.credit -= cost
		inDatagram[h.To]++
		delete(o.counts, h)
	}
	return hints
}

// compareHints makes the order of hints with equal counts deterministic.
func compareHints(a, b Hint) int {
	if c := cmp.Compare(a.Key.Hash(), b.Key.Hash()); c != 0 {
		return c
	}
	return a.To.Compare(b.To)
}
