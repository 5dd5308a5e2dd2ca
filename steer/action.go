package steer

import "github.com/corianderbay/corianderbay/registry"

// An Action is the decision on one packet: *Forward, *FanOut, *Report, Deliver, Answer,
// Refuse, *Hold or Drop.
type Action interface{ action() }

// Forward sends the packet to the sidecar on Host, prefixed with Header.
type Forward struct {
	Host   registry.Host
	Header Header
	// Reason is why a sidecar passes the packet on. It is not set by a balancer.
	Reason Reason
	// DataCentre is that of Host when a balancer searches for the flow; empty when it is not
	// known, and for other packets.
	DataCentre string
}

// FanOut sends copies of the packet to other data centres, and reports which upstreams
// of the local data centre do not hold its flow.
type FanOut struct {
	Forwards []Forward // may be empty
	Report   *Report   // nil when there is nothing to report
	// Hold, if not nil, also buffers the packet, since more upstreams may be
	// discovered.
	Hold *Hold
}

// Report sends a MissReport to the balancer that received the packet from the caller.
type Report struct {
	Balancer   registry.Host
	MissReport MissReport
}

// Deliver sends the packet to the local upstream, with Tag written into it.
type Deliver struct {
	Tag uint32
	// Found is true when the packet was searched for and the upstream holds its flow: the
	// balancer is to get the notice at once, so that its search ends.
	Found bool
}

// Answer sends the upstream's packet to the caller.
type Answer struct {
	// Searcher is the balancer that searched for the flow, which the packet shows that the
	// upstream holds. It is zero for other packets.
	Searcher registry.Host
}

// Refuse resets the flow towards the caller.
type Refuse struct {
	Reason Reason
	// Evidence is set for ReasonLost, and nil otherwise.
	Evidence *Evidence
}

// Hold buffers the packet for a short time and decides on it again, because missing
// state is about to arrive. This is faster than a retransmission, which callers send
// after 200 ms or more.
type Hold struct {
	// Header is passed to Sidecar.RetryHeld with the packet. It is not set by a
	// balancer.
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

// Reason is why a packet was refused, dropped, held or passed on.
type Reason uint8

// The reasons.
const (
	// ReasonStarting: no routes or upstreams have been received yet.
	ReasonStarting Reason = iota + 1
	// ReasonInvalid: a packet with these flags cannot come from this direction.
	ReasonInvalid
	// ReasonNoRoute: no route exists for the address.
	ReasonNoRoute
	// ReasonNoUpstream: no upstream of the service can accept the flow.
	ReasonNoUpstream
	// ReasonForgotten: the upstream no longer holds a flow that it held.
	ReasonForgotten
	// ReasonUnknownFlow: no reachable upstream holds the flow.
	ReasonUnknownFlow
	// ReasonVisits: the packet was passed on too often.
	ReasonVisits
	// ReasonLost: the sidecar of the flow's upstream is lost.
	ReasonLost

	// ReasonReturned: the upstream returned the packet.
	ReasonReturned
	// ReasonOtherService: the upstream does not serve the service that the packet is
	// for.
	ReasonOtherService
	// ReasonSilent: the upstream does not respond or is down.
	ReasonSilent
	// ReasonFailing: the upstream resets requests or does not answer them.
	ReasonFailing
	// ReasonLeaving: the upstream is draining.
	ReasonLeaving
	// ReasonFull: the upstream is at its limit of flows.
	ReasonFull
	// ReasonRoute: the routes do not allow the flow at the upstream: those of the balancer, or
	// ones that the sidecar has had for SidecarConfig.MaxOutdated.
	ReasonRoute
	// ReasonCrowded: requests are queued at the upstream, and another one has a shorter
	// queue or a free slot.
	ReasonCrowded
	// ReasonPassed: the packet goes to the sidecar that the opening of its flow was
	// passed on to.
	ReasonPassed
	// ReasonEvacuated: the data centre of the upstream, or of all upstreams of the service,
	// is evacuated.
	ReasonEvacuated
	// ReasonCold: the upstream is cold and has received as many new flows as its service's
	// rate permits.
	ReasonCold
	// ReasonHome: the upstream, or each one that would accept the flow, is outside the
	// regions that the route permits.
	ReasonHome
	// ReasonNotConfirmed: the caller confirmed another upstream's answer to its
	// opening.
	ReasonNotConfirmed
	// ReasonTimeout: the answer would come after the route's timeout.
	ReasonTimeout
	// ReasonPriority: the service is overloaded, and more important routes fill it.
	ReasonPriority
	// ReasonShare: the service is overloaded, and the caller's prefix exceeds its fair
	// share of the route.
	ReasonShare
	// ReasonRetry: the service is overloaded, the caller was refused shortly before, and
	// the retry budget of the route is spent.
	ReasonRetry
	// ReasonWindow: the upstream is ramping up and has a window of requests, and another one
	// accepts the flow.
	ReasonWindow
	// ReasonLate: a copy of a searched packet waited while the process stood still.
	ReasonLate

	// ReasonCount is the number of reasons plus 1.
	ReasonCount
)

// String returns the short name that logs and metrics use.
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
	case ReasonEvacuated:
		return "evacuated"
	case ReasonCold:
		return "cold"
	case ReasonHome:
		return "home"
	case ReasonNotConfirmed:
		return "not_confirmed"
	case ReasonTimeout:
		return "timeout"
	case ReasonPriority:
		return "priority"
	case ReasonShare:
		return "share"
	case ReasonRetry:
		return "retry"
	case ReasonWindow:
		return "window"
	case ReasonLate:
		return "late"
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
