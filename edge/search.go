package edge

import (
	"slices"
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
	// searchRetries is the number of retries after which a retransmission of the caller
	// begins the search again.
	searchRetries = 3
	// searchTimeout is the time after the caller's last transmission after which a packet
	// is dropped. Callers that still wait retransmit after at most 1.6 s.
	searchTimeout = 2 * time.Second
)

// searchPacket is a packet of a flow whose upstream is being searched for.
type searchPacket struct {
	packet     steer.Packet
	data       []byte
	lastSent   time.Duration // uptime at which the caller last sent it
	nextRetry  time.Duration // uptime at which the packet is resent
	attempts   int           // retries so far
	retryDelay time.Duration // delay between that retry and the one after it
	searched   []string      // data centres that got a copy; not modified in place
	next       []byte        // the caller's last other packet, until the flow is found; nil if there is none
}

// newSearchPacket returns a packet with a copy of its data that is first resent after
// searchRetryDelay.
func newSearchPacket(now time.Duration, p *steer.Packet, d []byte) searchPacket {
	return searchPacket{packet: *p, data: append([]byte(nil), d...), lastSent: now, nextRetry: now + searchRetryDelay, retryDelay: 2 * searchRetryDelay}
}

// awaits reports whether the next report of a data centre ends the search there: it got the
// last copy. The end of the chain in a data centre may report twice, as sidecars whose
// heartbeats are late get a copy after all others.
func (s *searchPacket) awaits(dataCentre string) bool {
	last := s.searched[len(s.searched)-1]
	return last == dataCentre || last == "" || dataCentre == ""
}

// comesTo reports whether the search will come to a data centre that has got no copy yet.
func (s *searchPacket) comesTo(dataCentre string) bool {
	return s.attempts == 0 && dataCentre != "" && !slices.Contains(s.searched, dataCentre)
}

// reached reports whether the upstream of a data centre that holds the flow has the packet, or
// is about to get it: the only copy goes from sidecar to sidecar there.
func (s *searchPacket) reached(dataCentre string) bool {
	return s.attempts == 0 && len(s.searched) == 1 && s.searched[0] == dataCentre
}

// repeats reports whether p is a retransmission of the packet.
func (s *searchPacket) repeats(p *steer.Packet) bool {
	return s.packet.Sequence == p.Sequence && s.packet.Data == p.Data && s.packet.Flags == p.Flags
}

// supersededBy reports whether p is stored instead of the packet: the packet has had
// searchRetries retries, the caller does not wait for it any more, or only p has data. A
// packet that resets the flow stays.
func (s *searchPacket) supersededBy(p *steer.Packet) bool {
	if s.packet.Flags.Has(steer.RST) {
		return false
	}
	return s.attempts >= searchRetries || p.Flags.Has(steer.RST) || s.packet.Data == 0 && p.Data > 0
}

// searchQueue stores one packet of each flow that a balancer searches for. It resends
// packets lost during the search faster than callers retransmit, and when a sidecar that
// may have the flow becomes reachable. It is safe for concurrent use.
type searchQueue struct {
	mu     sync.Mutex
	byFlow map[steer.Key]searchPacket // at most maxSearchPackets
}

// addResult is what a searchQueue did with a packet.
type addResult int

const (
	// addStored: the packet is stored and the search begins, or begins again.
	addStored addResult = iota
	// addRepeated: the packet is a retransmission of the stored one, whose search goes on.
	addRepeated
	// addHeld: another packet of the flow is stored, whose search goes on. This one waits
	// until the flow is found.
	addHeld
	// addFull: the queue is full.
	addFull
)

// add stores a copy of a packet unless the queue is full or holds a packet of the same
// flow. A retransmission of the stored packet begins the search again once that one has had
// searchRetries retries. dataCentre is the one that gets the first copy.
func (s *searchQueue) add(now time.Duration, p *steer.Packet, d []byte, dataCentre string) addResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := p.CallerKey()
	kept, known := s.byFlow[k]
	if known && kept.attempts < searchRetries && kept.repeats(p) {
		kept.lastSent = now
		s.byFlow[k] = kept
		return addRepeated
	}
	if known && !kept.supersededBy(p) {
		kept.lastSent, kept.next = now, append([]byte(nil), d...)
		s.byFlow[k] = kept
		return addHeld
	}
	if !known && len(s.byFlow) >= maxSearchPackets {
		return addFull
	}
	added := newSearchPacket(now, p, d)
	added.searched = []string{dataCentre}
	s.byFlow[k] = added
	return addStored
}

// get returns the packet of a flow.
func (s *searchQueue) get(k steer.Key) (p searchPacket, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, known = s.byFlow[k]
	return p, known
}

// recordCopy records that a data centre gets a copy of the packet of a flow.
func (s *searchQueue) recordCopy(k steer.Key, dataCentre string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, known := s.byFlow[k]; known && !slices.Contains(p.searched, dataCentre) {
		p.searched = append(slices.Clip(p.searched), dataCentre)
		s.byFlow[k] = p
	}
}

// due returns the packets to resend now and schedules their next retries. It removes
// packets that the caller last sent searchTimeout ago.
func (s *searchQueue) due(now time.Duration) []searchPacket {
	s.mu.Lock()
	defer s.mu.Unlock()
	var packets []searchPacket
	for k, p := range s.byFlow {
		if now-p.lastSent >= searchTimeout {
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

// all returns all packets.
func (s *searchQueue) all() []searchPacket {
	s.mu.Lock()
	defer s.mu.Unlock()
	packets := make([]searchPacket, 0, len(s.byFlow))
	for _, p := range s.byFlow {
		packets = append(packets, p)
	}
	return packets
}

// empty reports whether the queue has no packets.
func (s *searchQueue) empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byFlow) == 0
}

// restart schedules the retries of a packet as for a new one, since copies for sidecars
// that have just become reachable may be lost, too.
func (s *searchQueue) restart(now time.Duration, k steer.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, known := s.byFlow[k]; known {
		p.nextRetry, p.retryDelay = now+searchRetryDelay, 2*searchRetryDelay
		s.byFlow[k] = p
	}
}

// postpone takes back a retry that due scheduled, and schedules it after searchRetryDelay.
func (s *searchQueue) postpone(now time.Duration, k steer.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, known := s.byFlow[k]; known {
		p.attempts, p.nextRetry, p.retryDelay = p.attempts-1, now+searchRetryDelay, p.retryDelay/2
		s.byFlow[k] = p
	}
}

// remove deletes the packet of a flow, which ends its retries.
func (s *searchQueue) remove(k steer.Key) {
	s.take(k)
}

// take removes and returns the packet of a flow.
func (s *searchQueue) take(k steer.Key) (p searchPacket, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, known = s.byFlow[k]
	delete(s.byFlow, k)
	return p, known
}
