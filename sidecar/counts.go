package sidecar

import (
	"sync/atomic"

	"github.com/corianderbay/corianderbay/udp"
)

// dropReason says why a sidecar dropped a packet.
type dropReason int

const (
	dropForged dropReason = iota
	dropMalformed
	dropUpstream
	dropUnowned
	dropReasons // how many there are
)

func (r dropReason) String() string {
	switch r {
	case dropForged:
		return "forged"
	case dropMalformed:
		return "malformed"
	case dropUpstream:
		return "upstream"
	case dropUnowned:
		return "unowned"
	}
	return "other"
}

// counters are the running totals of a sidecar.
type counters struct {
	delivered atomic.Uint64
	passed    atomic.Uint64
	answered  atomic.Uint64
	dropped   [dropReasons]atomic.Uint64
}

func (c *counters) drop(r dropReason) {
	c.dropped[r].Add(1)
}

// Counts are the totals of a sidecar since its start.
type Counts struct {
	Delivered uint64            `json:"delivered"`
	Passed    uint64            `json:"passed"`
	Answered  uint64            `json:"answered"`
	Dropped   map[string]uint64 `json:"dropped"`
	Open      int               `json:"open"`
	Forward   udp.Counts        `json:"forward"`
}

// Counts returns the totals so far.
func (s *Sidecar) Counts() Counts {
	c := Counts{
		Delivered: s.counters.delivered.Load(),
		Passed:    s.counters.passed.Load(),
		Answered:  s.counters.answered.Load(),
		Dropped:   make(map[string]uint64),
		Open:      s.flows.open(),
		Forward:   s.forward.Counts(),
	}
	for r := range dropReasons {
		if n := s.counters.dropped[r].Load(); n > 0 {
			c.Dropped[r.String()] = n
		}
	}
	return c
}
