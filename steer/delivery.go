package steer

import (
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

// delivery records the flow and the header of a delivered packet that the upstream may
// return.
type delivery struct {
	key         Key
	header      Header // Visited is a copy
	deliveredAt time.Duration
}

// recordDelivery stores the header of a delivered packet and returns its tag.
func (s *Sidecar) recordDelivery(now time.Duration, k Key, h *Header) uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastTag++
	if s.lastTag == 0 {
		s.lastTag = 1
	}
	t := &s.deliveries[s.lastTag%deliverySlots]
	visited := append(t.header.Visited[:0], h.Visited...)
	t.key, t.header, t.deliveredAt = k, *h, now
	t.header.Visited = visited
	return s.lastTag
}

// returnedDelivery returns the header that a returned packet was delivered with, and how long
// ago that was. When the record is gone, known is false and the header has no visited hosts.
func (s *Sidecar) returnedDelivery(now time.Duration, k Key, tag uint32) (h Header, age time.Duration, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &s.deliveries[tag%deliverySlots]
	if tag == 0 || t.key != k || now-t.deliveredAt >= deliveryTTL {
		return Header{Service: s.service}, 0, false
	}
	h = t.header
	h.Visited = append([]registry.Host(nil), h.Visited...)
	return h, now - t.deliveredAt, true
}
