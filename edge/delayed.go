package edge

import (
	"slices"
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
)

// maxDelayedPackets bounds the number of packets in a delayedQueue and so its memory.
const maxDelayedPackets = 2048

// delayedPacket is a packet that was forwarded to a sidecar that is not alive.
type delayedPacket struct {
	packet   steer.Packet
	data     []byte
	host     registry.Host // of the sidecar
	lastSent time.Duration // uptime at which the caller last sent a packet of the flow
}

// delayedQueue stores one packet of each flow whose sidecar restarts, so that it arrives
// when the sidecar is back and not with the caller's next transmission. It is safe for concurrent use.
type delayedQueue struct {
	mu     sync.Mutex
	byFlow map[steer.Key]delayedPacket // at most maxDelayedPackets
}

// add stores a copy of a packet unless the queue is full. Of a flow it stores the last packet
// with data, or else the last one.
func (q *delayedQueue) add(now time.Duration, p *steer.Packet, d []byte, host registry.Host) {
	q.mu.Lock()
	defer q.mu.Unlock()
	k := p.CallerKey()
	stored, known := q.byFlow[k]
	if !known && len(q.byFlow) >= maxDelayedPackets {
		return
	}
	if known && stored.packet.Data > 0 && p.Data == 0 && !p.Flags.Has(steer.RST) {
		stored.lastSent = now
	} else {
		stored = delayedPacket{packet: *p, data: append([]byte(nil), d...), host: host, lastSent: now}
	}
	q.byFlow[k] = stored
}

// takeFor removes and returns the packets for the sidecars on the given hosts.
func (q *delayedQueue) takeFor(hosts []registry.Host) []delayedPacket {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []delayedPacket
	for k, p := range q.byFlow {
		if slices.Contains(hosts, p.host) {
			delete(q.byFlow, k)
			list = append(list, p)
		}
	}
	return list
}

// expire removes packets of flows of which the caller last sent one searchTimeout ago.
func (q *delayedQueue) expire(now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for k, p := range q.byFlow {
		if now-p.lastSent >= searchTimeout {
			delete(q.byFlow, k)
		}
	}
}

// empty reports whether the queue has no packets.
func (q *delayedQueue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.byFlow) == 0
}
