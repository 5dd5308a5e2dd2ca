package edge

import (
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/steer"
)

const (
	// maxSearchPackets bounds how many packets are kept while their flows are searched
	// for, and with it the memory that they take.
	maxSearchPackets = 2048
	// searchRetryDelay is after how long a packet is sent to the upstreams that have not
	// returned it: a search of all data centres takes half of it. It doubles each time.
	searchRetryDelay = 100 * time.Millisecond
)

// searchPacket is a packet whose flow is searched for.
type searchPacket struct {
	packet     steer.Packet
	data       []byte
	since      time.Duration
	nextRetry  time.Duration // when it is to be sent again
	retryDelay time.Duration // that it waits for then
}

// searchQueue keeps one packet of each flow that a balancer searches for, so
// that one lost on its way does not have to wait for the caller. It is safe for concurrent use.
type searchQueue struct {
	mu     sync.Mutex
	byFlow map[steer.Key]searchPacket // at most maxSearched
}

// add keeps a copy of a packet, if there is room and none of its flow is kept. It
// reports false for a repetition of the one that is kept.
func (s *searchQueue) add(now time.Duration, p *steer.Packet, d []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := p.CallerKey()
	if kept, ok := s.byFlow[k]; ok {
		return kept.packet.Sequence != p.Sequence || kept.packet.Data != p.Data || kept.packet.Flags != p.Flags
	}
	if len(s.byFlow) < maxSearchPackets {
		s.byFlow[k] = searchPacket{packet: *p, data: append([]byte(nil), d...), since: now, nextRetry: now + searchRetryDelay, retryDelay: 2 * searchRetryDelay}
	}
	return true
}

// due returns the packets that are to be sent again, and counts them as sent. It
// forgets those that were kept for long enough.
func (s *searchQueue) due(now time.Duration) map[steer.Key][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var packets map[steer.Key][]byte
	for k, p := range s.byFlow {
		if now-p.since >= maxHold {
			delete(s.byFlow, k)
			continue
		}
		if now < p.nextRetry {
			continue
		}
		p.nextRetry, p.retryDelay = now+p.retryDelay, 2*p.retryDelay
		s.byFlow[k] = p
		if packets == nil {
			packets = make(map[steer.Key][]byte)
		}
		packets[k] = p.data
	}
	return packets
}

// remove ends the search for a flow.
func (s *searchQueue) remove(k steer.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byFlow, k)
}
