package steer

import (
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

// delivery is what a packet that was delivered and may come back was sent with.
type delivery struct {
	key         Key
	header      Header // with visited hosts of its own
	deliveredAt time.Duration
}

// recordDelivery keeps what a delivered packet came with, and returns its tag.
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

// deliveryHeader returns what a returned packet came with. It names no visited host when that was forgotten.
func (s *Sidecar) deliveryHeader(now time.Duration, k Key, tag uint32) Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &s.deliveries[tag%deliverySlots]
	if tag == 0 || t.key != k || now-t.deliveredAt >= deliveryTTL {
		return Header{Service: s.service}
	}
	h := t.header
	h.Visited = append([]registry.Host(nil), h.Visited...)
	return h
}
