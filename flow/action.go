package flow

import "time"

// An Action is what a sidecar does with one packet: Deliver, Forward, Refuse or Drop.
type Action interface{ action() }

// Deliver passes the packet to the upstream, or an answer to the caller.
type Deliver struct{}

// Forward sends the packet with its updated header to the candidate at Header.Current.
type Forward struct{}

// Refuse answers the caller in place of the upstream.
type Refuse struct {
	Reason Reason
	// NotRun is true only when no upstream has run the request in the packet and
	// none will run a copy of it. When false, the outcome is unknown.
	NotRun bool
	// RetryAfter is the delay before the caller may retry; zero when a retry does not help.
	RetryAfter time.Duration
}

// Drop discards the packet without an answer; the caller may retransmit it.
type Drop struct {
	Reason Reason
}

func (Deliver) action() {}
func (Forward) action() {}
func (Refuse) action()  {}
func (Drop) action()    {}

// Reason is the cause of a Refuse or Drop.
type Reason uint8

// The reasons of Refuse and Drop.
const (
	// ReasonFull means that no candidate has room for a new flow.
	ReasonFull Reason = 1 + iota
	// ReasonNoUpstream means that every candidate is leaving.
	ReasonNoUpstream
	// ReasonBroken means that no candidate owns the flow of a packet that opens no flow.
	ReasonBroken
	// ReasonBacklog means that the packet was queued while the process was paused.
	ReasonBacklog
	// ReasonHops means that the packet visited too many sidecars.
	ReasonHops
	// ReasonFenced means that the sidecar is fenced: another one may have taken over the flow.
	ReasonFenced
	// ReasonRestarted means that the upstream may have run the request before its restart.
	ReasonRestarted
	// ReasonUnsure means that a candidate whose answer is missing or uncertain may own the flow.
	ReasonUnsure
	// ReasonService means that the packet belongs to another service.
	ReasonService
	// ReasonHeader means that the header is inconsistent.
	ReasonHeader
	// ReasonStale means that an answer belongs to no flow that the sidecar owns.
	ReasonStale
)

// String returns the reason in one or two words.
func (r Reason) String() string {
	switch r {
	case ReasonFull:
		return "full"
	case ReasonNoUpstream:
		return "no upstream"
	case ReasonBroken:
		return "broken flow"
	case ReasonBacklog:
		return "backlog"
	case ReasonHops:
		return "hop limit"
	case ReasonFenced:
		return "fenced"
	case ReasonRestarted:
		return "restarted"
	case ReasonUnsure:
		return "unsure"
	case ReasonService:
		return "other service"
	case ReasonHeader:
		return "bad header"
	case ReasonStale:
		return "stale answer"
	}
	return "unknown"
}
