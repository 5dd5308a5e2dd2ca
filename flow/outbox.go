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
	// ToBalancer is true when the hash of the key is enough for the receiver.
	ToBalancer bool
}

const (
	// keyHintSize and hashHintSize are what one more flow takes in a datagram of
	// hints, by its key and by the hash of its key, in bytes.
	keyHintSize  = 39
	hashHintSize = 9
	// hintOverhead is what a datagram of hints takes besides its flows, IP and UDP
	// headers included, in bytes.
	hintOverhead = 88
	// hintBatchesPerSecond is how often hints are due, so that they share datagrams.
	hintBatchesPerSecond = 2
)

// outboxSize bounds the hints that wait.
const outboxSize = 4096

// size returns what the hint takes in a datagram that has room for it, in bytes.
func (h Hint) size() float64 {
	if h.ToBalancer {
		return hashHintSize
	}
	return keyHintSize
}

// An outbox holds hints until there is budget for them, and counts the packets
// that each would have spared a hop.
type outbox struct {
	mu         sync.Mutex
	budget     int // bytes a second
	lastRefill time.Time
	credit     float64 // bytes
	counts     map[Hint]int
}

func newOutbox(budget int) *outbox {
	return &outbox{budget: budget, counts: make(map[Hint]int)}
}

// add counts one packet that came the long way. When the outbox is full a new hint is lost.
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

// due returns the heaviest hints that the budget allows, a few times a second.
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

// evict forgets hints, the lightest of a crowded outbox, to leave room for
// heavier ones. The caller holds the lock.
func (o *outbox) evict(hints []Hint) {
	for _, h := range hints {
		delete(o.counts, h)
	}
}

// sortedByCount returns all hints, those that spare the most hops first. The caller holds the lock.
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

// take removes the first hints that the credit pays for and returns them. The caller holds the lock.
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

// compareHints makes the order of equal hints the same in each run.
func compareHints(a, b Hint) int {
	if c := cmp.Compare(a.Key.Hash(), b.Key.Hash()); c != 0 {
		return c
	}
	return a.To.Compare(b.To)
}
