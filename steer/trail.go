package steer

import (
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

// trail is what a packet that was delivered and may come back was sent with.
type trail struct {
	key    Key
	header Header // with visited hosts of its own
	at     time.Duration
}

// remember keeps what a delivered packet came with, and returns its tag.
func (s *Sidecar) remember(now time.Duration, k Key, h *Header) uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tag++
	if s.tag == 0 {
		s.tag = 1
	}
	t := &s.trails[s.tag%trails]
	visited := append(t.header.Visited[:0], h.Visited...)
	t.key, t.header, t.at = k, *h, now
	t.header.Visited = visited
	return s.tag
}

// trail returns what a returned packet came with. It names no visited host when that was forgotten.
func (s *Sidecar) trail(now time.Duration, k Key, tag uint32) Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &s.trails[tag%trails]
	if tag == 0 || t.key != k || now-t.at >= trailLife {
		return Header{Service: s.service}
	}
	h := t.header
	h.Visited = append([]registry.Host(nil), h.Visited...)
	return h
}
