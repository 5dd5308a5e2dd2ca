package steer

import "github.com/corianderbay/corianderbay/registry"

// An Action is what is done with one packet: *Forward, Deliver, Answer, Refuse, *Hold or Drop.
type Action interface{ action() }

// Forward sends the packet to the sidecar on Host, behind Header.
type Forward struct {
	Host   registry.Host
	Header Header
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
func (Deliver) action()  {}
func (Answer) action()   {}
func (Refuse) action()   {}
func (*Hold) action()    {}
func (Drop) action()     {}

// Reason says why a packet was refused or dropped.
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

	reasons // the number of reasons and 1
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
	}
	return "unknown"
}

// Reasons returns all reasons.
func Reasons() []Reason {
	list := make([]Reason, 0, reasons-1)
	for r := Reason(1); r < reasons; r++ {
		list = append(list, r)
	}
	return list
}
