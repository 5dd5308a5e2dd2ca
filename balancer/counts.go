package balancer

import (
	"sync/atomic"

	"github.com/corianderbay/corianderbay/udp"
)

// dropReason is the reason for which a balancer dropped a packet.
type dropReason int

const (
	dropMalformed dropReason = iota
	dropNoBundle
	dropUnknownAddress
	dropDenied
	dropOversized
	dropForged
	dropReasonCount // number of reasons
)

func (r dropReason) String() string {
	switch r {
	case dropMalformed:
		return "malformed"
	case dropNoBundle:
		return "nobundle"
	case dropUnknownAddress:
		return "address"
	case dropDenied:
		return "denied"
	case dropOversized:
		return "oversized"
	case dropForged:
		return "forged"
	}
	return "other"
}

// counters holds the running totals of a balancer.
type counters struct {
	forwarded atomic.Uint64
	refused   atomic.Uint64
	hinted    atomic.Uint64
	dropped   [dropReasonCount]atomic.Uint64
}

// Counts holds the totals of a balancer since its start.
type Counts struct {
	// Forwarded is the number of packets sent to sidecars.
	Forwarded uint64 `json:"forwarded"`
	// Refused is the number of openings refused by a rate limit.
	Refused uint64 `json:"refused"`
	// Hinted is the number of flows listed in the hints received.
	Hinted uint64 `json:"hinted"`
	// Dropped holds the numbers of dropped datagrams by reason. Reasons that did not occur are left out.
	Dropped map[string]uint64 `json:"dropped"`
	Fabric  udp.Counts        `json:"fabric"`
	Forward udp.Counts        `json:"forward"`
}

// Counts returns the current totals.
func (b *Balancer) Counts() Counts {
	c := Counts{
		Forwarded: b.counters.forwarded.Load(),
		Refused:   b.counters.refused.Load(),
		Hinted:    b.counters.hinted.Load(),
		Dropped:   make(map[string]uint64),
		Fabric:    b.fabric.Counts(),
		Forward:   b.forward.Counts(),
	}
	for r := range dropReasonCount {
		if n := b.counters.dropped[r].Load(); n > 0 {
			c.Dropped[r.String()] = n
		}
	}
	return c
}
