package edge

import (
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/steer"
)

const (
	// maxSearchPackets bounds the number of packets in a searchQueue and so its memory.
	maxSearchPackets = 2048
	// searchRetryDelay is the delay until a packet is first resent to the upstreams that
	// have not returned it; it doubles with each retry. A search of all data centres
	// takes half of it.
	searchRetryDelay = 100 * time.Millisecond
)

// searchPacket is a packet of a flow whose upstream is being searched for.
type searchPacket struct {
	packet     steer.Packet
	data       []byte
	since      time.Duration
	nextRetry  time.Duration // uptime at which the packet is resent
	attempts   int           // retries so far
	retryDelay time.Duration // delay between that retry and the one after it
}

// finished reports whether the packet has had its last retry.
func (p *searchPacket) finished() bool {
	return p.nextRetry-p.since >= maxHold
}

// searchQueue stores one packet of each flow that a balancer searches for. It resends
// packets lost during the search faster than callers retransmit. It is safe for concurrent use.
type searchQueue struct {
	mu     sync.Mutex
	byFlow map[steer.Key]searchPacket // at most maxSearchPackets
}

// add stores a copy of a packet unless the queue is full or holds a packet of the same
// flow. It returns false if p is a retransmission of the stored packet, unless that one
// has had its last retry: then the search begins again.
func (s *searchQueue) add(now time.Duration, p *steer.Packet, d []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := p.CallerKey()
	if kept, ok := s.byFlow[k]; ok && !kept.finished() {
		return kept.packet.Sequence != p.Sequence || kept.packet.Data != p.Data || kept.packet.Flags != p.Flags
	}
	if _, replaces := s.byFlow[k]; replaces || len(s.byFlow) < maxSearchPackets {
		s.byFlow[k] = searchPacket{packet: *p, data: append([]byte(nil), d...), since: now, nextRetry: now + searchRetryDelay, retryDelay: 2 * searchRetryDelay}
	}
	return true
}

// due returns the packets to resend now and schedules their next retries. It removes
// packets that are older than maxHold.
func (s *searchQueue) due(now time.Duration) []searchPacket {
	s.mu.Lock()
	defer s.mu.Unlock()
	var packets []searchPacket
	for k, p := range s.byFlow {
		if now-p.since >= maxHold {
			delete(s.byFlow, k)
			continue
		}
		if now < p.nextRetry {
			continue
		}
		p.nextRetry, p.retryDelay = now+p.retryDelay, 2*p.retryDelay
		p.attempts++
		s.byFlow[k] = p
		packets = append(packets, p)
	}
	return packets
}

// remove deletes the packet of a flow, which ends its retries.
func (s *searchQueue) remove(k steer.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byFlow, k)
}
