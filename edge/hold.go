package edge

import (
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/steer"
)

const (
	// maxHeldPackets bounds the number of packets in a holdQueue and so its memory.
	maxHeldPackets = 512
	// maxHold is the maximum time that a packet is held: callers have retransmitted it twice by then.
	maxHold = 800 * time.Millisecond
)

// heldPacket is a packet on which the decision is repeated later.
type heldPacket struct {
	header steer.Header
	data   []byte
	since  time.Duration
}

// holdQueue stores packets whose destination cannot be decided yet. It is safe for concurrent use.
type holdQueue struct {
	mu      sync.Mutex
	packets []heldPacket // at most maxHeldPackets
}

// add stores a copy of a packet. It returns false if the queue is full.
func (h *holdQueue) add(now time.Duration, header steer.Header, d []byte) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.packets) >= maxHeldPackets {
		return false
	}
	h.packets = append(h.packets, heldPacket{header: header, data: append([]byte(nil), d...), since: now})
	return true
}

// requeue stores a packet that takeAll returned, or drops it if the queue is full.
func (h *holdQueue) requeue(p heldPacket) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.packets) < maxHeldPackets {
		h.packets = append(h.packets, p)
	}
}

// takeAll removes and returns all packets.
func (h *holdQueue) takeAll() []heldPacket {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.packets
	h.packets = nil
	return list
}

// len returns the number of held packets.
func (h *holdQueue) len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.packets)
}

// expired reports whether the packet has been held for maxHold.
func (p *heldPacket) expired(now time.Duration) bool {
	return now-p.since >= maxHold
}
