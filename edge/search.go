package edge

import (
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/steer"
)

const (
	// maxSearched bounds how many packets are kept while their flows are searched
	// for, and with it the memory that they take.
	maxSearched = 2048
	// searchAgain is after how long a packet is sent to the upstreams that have not
	// returned it: a search of all data centres takes half of it. It doubles each time.
	searchAgain = 100 * time.Millisecond
)

// searched is a packet whose flow is searched for.
type searched struct {
	head  steer.Packet
	data  []byte
	since time.Duration
	next  time.Duration // when it is to be sent again
	pause time.Duration // that it waits for then
}

// searchedPackets keeps one packet of each flow that a balancer searches for, so
// that one lost on its way does not have to wait for the caller. It is safe for concurrent use.
type searchedPackets struct {
	mu     sync.Mutex
	byFlow map[steer.Key]searched // at most maxSearched
}

// add keeps a copy of a packet, if there is room and none of its flow is kept. It
// reports false for a repetition of the one that is kept.
func (s *searchedPackets) add(now time.Duration, p *steer.Packet, d []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := p.CallerKey()
	if kept, ok := s.byFlow[k]; ok {
		return kept.head.Sequence != p.Sequence || kept.head.Data != p.Data || kept.head.Flags != p.Flags
	}
	if len(s.byFlow) < maxSearched {
		s.byFlow[k] = searched{head: *p, data: append([]byte(nil), d...), since: now, next: now + searchAgain, pause: 2 * searchAgain}
	}
	return true
}

// due returns the packets that are to be sent again, and counts them as sent. It
// forgets those that were kept for long enough.
func (s *searchedPackets) due(now time.Duration) map[steer.Key][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list map[steer.Key][]byte
	for k, p := range s.byFlow {
		if now-p.since >= holdFor {
			delete(s.byFlow, k)
			continue
		}
		if now < p.next {
			continue
		}
		p.next, p.pause = now+p.pause, 2*p.pause
		s.byFlow[k] = p
		if list == nil {
			list = make(map[steer.Key][]byte)
		}
		list[k] = p.data
	}
	return list
}

// forget ends the search for a flow.
func (s *searchedPackets) forget(k steer.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byFlow, k)
}
