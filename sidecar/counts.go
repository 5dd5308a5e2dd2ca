package sidecar

import (
	"sync/atomic"

	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/udp"
	"github.com/corianderbay/corianderbay/upstream"
)

// dropReason is the reason for which a sidecar dropped a packet.
type dropReason int

const (
	dropForged dropReason = iota
	dropMalformed
	dropUpstream
	dropReasonCount // number of reasons
)

func (r dropReason) String() string {
	switch r {
	case dropForged:
		return "forged"
	case dropMalformed:
		return "malformed"
	case dropUpstream:
		return "upstream"
	}
	return "other"
}

const maxReasons = 32 // above every flow.Reason

// counters holds the running totals of a sidecar.
type counters struct {
	delivered atomic.Uint64
	passed    atomic.Uint64
	answered  atomic.Uint64
	refused   atomic.Uint64
	hops      atomic.Uint64 // sidecars visited by delivered packets
	control   atomic.Uint64 // bytes of hints and reports
	dropped   [dropReasonCount]atomic.Uint64
	reasons   [maxReasons]atomic.Uint64 // by flow.Reason
}

// countReason counts a packet that Sidecar.flows dropped or refused.
func (c *counters) countReason(r flow.Reason) {
	c.reasons[int(r)%maxReasons].Add(1)
}

func (c *counters) countDrop(r dropReason) {
	c.dropped[r].Add(1)
}

// Counts holds the totals of a sidecar since its start.
type Counts struct {
	// Delivered is the number of packets given to the transport of the upstream.
	Delivered uint64 `json:"delivered"`
	// Passed is the number of packets forwarded to other sidecars.
	Passed uint64 `json:"passed"`
	// Answered is the number of the upstream's packets sent to callers.
	Answered uint64 `json:"answered"`
	// Refused is the number of refusals sent to callers.
	Refused uint64 `json:"refused"`
	// Hops is the total number of sidecars that the delivered packets have visited.
	Hops uint64 `json:"hops"`
	// Control is the number of bytes of hints and reports sent.
	Control uint64 `json:"control"`
	// Dropped holds the numbers of dropped and refused packets by reason.
	Dropped map[string]uint64 `json:"dropped"`
	// Flows is the number of flows that the upstream owns, Open the number of
	// those that have not ended.
	Flows int `json:"flows"`
	Open  int `json:"open"`
	// Accepted, Broken and Searches have the values of the fields of flow.Counters.
	Accepted uint64 `json:"accepted"`
	Broken   uint64 `json:"broken"`
	Searches uint64 `json:"searches"`
	// Upstream holds the numbers of datagrams from the upstream's side that were dropped.
	Upstream upstream.Drops `json:"upstream"`
	Forward  udp.Counts     `json:"forward"`
}

// Counts returns the current totals.
func (s *Sidecar) Counts() Counts {
	c := Counts{
		Delivered: s.counters.delivered.Load(),
		Passed:    s.counters.passed.Load(),
		Answered:  s.counters.answered.Load(),
		Refused:   s.counters.refused.Load(),
		Hops:      s.counters.hops.Load(),
		Control:   s.counters.control.Load(),
		Dropped:   make(map[string]uint64),
		Flows:     s.flows.Flows(),
		Open:      s.flows.OpenFlows(),
		Accepted:  s.flows.Counters().Accepted.Load(),
		Broken:    s.flows.Counters().Broken.Load(),
		Searches:  s.flows.Counters().Searches.Load(),
		Upstream:  upstream.DropsOf(s.transport),
		Forward:   s.forward.Counts(),
	}
	for i := range maxReasons {
		if n := s.counters.reasons[i].Load(); n > 0 {
			c.Dropped[flow.Reason(i).String()] = n
		}
	}
	for r := range dropReasonCount {
		if n := s.counters.dropped[r].Load(); n > 0 {
			c.Dropped[r.String()] = n
		}
	}
	return c
}
