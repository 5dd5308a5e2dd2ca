package edge

import (
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/steer"
)

const (
	// maxHeldPackets bounds how many packets are held, and with it the memory that they take.
	maxHeldPackets = 512
	// maxHold is how long a packet is held at most: callers have repeated it twice by then.
	maxHold = 800 * time.Millisecond
)

// heldPacket is a packet that is offered again.
type heldPacket struct {
	header steer.Header
	data   []byte
	since  time.Duration
}

// holdQueue keeps packets that cannot be decided on yet. It is safe for concurrent use.
type holdQueue struct {
	mu      sync.Mutex
	packets []heldPacket // at most maxHeld
}

// add keeps a copy of a packet. It reports false when there is no room.
func (h *holdQueue) add(now time.Duration, header steer.Header, d []byte) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.packets) >= maxHeldPackets {
		return false
	}
	h.packets = append(h.packets, heldPacket{header: header, data: append([]byte(nil), d...), since: now})
	return true
}

// requeue keeps a packet that was taken, if there is room.
func (h *holdQueue) requeue(p heldPacket) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.packets) < maxHeldPackets {
		h.packets = append(h.packets, p)
	}
}

// takeAll returns all packets and keeps none.
func (h *holdQueue) takeAll() []heldPacket {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.packets
	h.packets = nil
	return list
}

// len returns how many packets are held.
func (h *holdQueue) len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.packets)
}

// expired reports whether the packet has been held for long enough.
func (p *heldPacket) expired(now time.Duration) bool {
	return now-p.since >= maxHold
}
