package edge

import (
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/steer"
)

const (
	// maxHeld bounds how many packets are held, and with it the memory that they take.
	maxHeld = 512
	// holdFor is how long a packet is held at most: callers have repeated it twice by then.
	holdFor = 800 * time.Millisecond
)

// heldPacket is a packet that is offered again.
type heldPacket struct {
	header steer.Header
	data   []byte
	since  time.Duration
}

// holder keeps packets that cannot be decided on yet. It is safe for concurrent use.
type holder struct {
	mu   sync.Mutex
	list []heldPacket // at most maxHeld
}

// add keeps a copy of a packet. It reports false when there is no room.
func (h *holder) add(now time.Duration, header steer.Header, d []byte) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.list) >= maxHeld {
		return false
	}
	h.list = append(h.list, heldPacket{header: header, data: append([]byte(nil), d...), since: now})
	return true
}

// keep keeps a packet that was taken, if there is room.
func (h *holder) keep(p heldPacket) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.list) < maxHeld {
		h.list = append(h.list, p)
	}
}

// take returns all packets and keeps none.
func (h *holder) take() []heldPacket {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.list
	h.list = nil
	return list
}

// len returns how many packets are held.
func (h *holder) len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.list)
}

// expired reports whether the packet has been held for long enough.
func (p *heldPacket) expired(now time.Duration) bool {
	return now-p.since >= holdFor
}
