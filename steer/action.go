package steer

import "github.com/corianderbay/corianderbay/registry"

// An Action is what is done with one packet: *Forward, *Branch, *Report, Deliver, Answer, Refuse, *Hold or Drop.
type Action interface{ action() }

// Forward sends the packet to the sidecar on Host, behind Header.
type Forward struct {
	Host   registry.Host
	Header Header
	// Reason says why a sidecar passes the packet on. It means nothing at a balancer.
	Reason Reason
}

// FanOut sends copies of the packet to other data centres, and reports which
// upstreams of this one do not hold its flow.
type FanOut struct {
	Forwards []Forward // may be empty
	Report   *Report   // nil when there is nothing to tell
	// Hold is nil, or keeps the packet as well: upstreams may yet become known.
	Hold *Hold
}

// Report tells the balancer that took the packet which upstreams returned it.
type Report struct {
	Balancer   registry.Host
	MissReport MissReport
}

// Deliver gives the packet to the upstream, with Tag written into it.
type Deliver struct {
	Tag uint32
}

// Answer sends the upstream's packet to the caller.
type Answer struct{}

// Refuse resets the flow towards the caller.
type Refuse struct {
	Reason Reason
}

// Hold keeps the packet for a moment and offers it again: what is missing to
// decide on it is about to be known. Callers repeat a packet only after 200 ms or more.
type Hold struct {
	// Header is what the packet is offered again with. It means nothing at a balancer.
	Header Header
	Reason Reason
}

// Drop discards the packet.
type Drop struct {
	Reason Reason
}

func (*Forward) action() {}
func (*FanOut) action()  {}
func (*Report) action()  {}
func (Deliver) action()  {}
func (Answer) action()   {}
func (Refuse) action()   {}
func (*Hold) action()    {}
func (Drop) action()     {}

// Reason says why a packet was refused, dropped, held or passed on.
type Reason uint8

// The reasons.
const (
	// ReasonStarting: no routes or upstreams are known yet.
	ReasonStarting Reason = iota + 1
	// ReasonInvalid: the packet cannot come from this side.
	ReasonInvalid
	// ReasonNoRoute: no route leads to the address.
	ReasonNoRoute
	// ReasonNoUpstream: no upstream of the service can take the flow.
	ReasonNoUpstream
	// ReasonForgotten: the upstream no longer holds a flow that it held.
	ReasonForgotten
	// ReasonUnknownFlow: no reachable upstream holds the flow.
	ReasonUnknownFlow
	// ReasonVisits: the packet was passed on too often.
	ReasonVisits
	// ReasonLost: the sidecar of the flow's upstream is gone.
	ReasonLost

	// ReasonReturned: the upstream returned the packet.
	ReasonReturned
	// ReasonOtherService: the upstream serves another service than the packet is for.
	ReasonOtherService
	// ReasonSilent: the upstream does not react or is gone.
	ReasonSilent
	// ReasonFailing: the upstream resets or does not answer requests.
	ReasonFailing
	// ReasonLeaving: the upstream is draining.
	ReasonLeaving
	// ReasonFull: the upstream has as many flows as it may hold.
	ReasonFull
	// ReasonRoute: the newer routes of the sidecar do not allow the flow at the upstream.
	ReasonRoute
	// ReasonCrowded: requests wait at the upstream, and fewer at another one.
	ReasonCrowded
	// ReasonPassed: the flow's opening was passed on to there.
	ReasonPassed
	// ReasonNotConfirmed: the caller confirmed another upstream's answer to its opening.
	ReasonNotConfirmed

	// ReasonCount is the number of reasons and 1.
	ReasonCount
)

// String returns a short name for logs and metrics.
func (r Reason) String() string {
	switch r {
	case ReasonStarting:
		return "starting"
	case ReasonInvalid:
		return "invalid"
	case ReasonNoRoute:
		return "no_route"
	case ReasonNoUpstream:
		return "no_upstream"
	case ReasonForgotten:
		return "forgotten"
	case ReasonUnknownFlow:
		return "unknown_flow"
	case ReasonVisits:
		return "visits"
	case ReasonLost:
		return "lost"
	case ReasonReturned:
		return "returned"
	case ReasonOtherService:
		return "other_service"
	case ReasonSilent:
		return "silent"
	case ReasonFailing:
		return "failing"
	case ReasonLeaving:
		return "leaving"
	case ReasonFull:
		return "full"
	case ReasonRoute:
		return "route"
	case ReasonCrowded:
		return "crowded"
	case ReasonPassed:
		return "passed"
	case ReasonNotConfirmed:
		return "not_confirmed"
	}
	return "unknown"
}

// Reasons returns all reasons.
func Reasons() []Reason {
	list := make([]Reason, 0, ReasonCount-1)
	for r := Reason(1); r < ReasonCount; r++ {
		list = append(list, r)
	}
	return list
}
