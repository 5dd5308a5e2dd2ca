package flow

import (
	"time"

	"github.com/corianderbay/corianderbay/bundle"
)

// maxOfferCandidates bounds the candidates that an Offer lists.
const maxOfferCandidates = 10

// An Offer describes a new flow to the admission policy.
type Offer struct {
	Now time.Time
	// Hash is the hash of the flow's key.
	Hash uint64
	// PassedCount is the number of eligible candidates that have passed the flow on.
	// EligibleCount is the number of candidates that may take new flows: PassedCount,
	// this sidecar's upstream, and the remaining candidates that are neither leaving,
	// silent nor due for takeover.
	PassedCount, EligibleCount int
	// Candidates lists the eligible candidates: first those that passed, then this
	// sidecar's upstream, then the remaining ones, each group in candidate order.
	Candidates [maxOfferCandidates]bundle.UpstreamID
	// Load is the sidecar's own load in thousandths of a slot.
	Load uint32
	// Loads holds the loads of the first candidates that passed, in thousandths of a
	// slot and in the order of Candidates; 0 is unknown.
	Loads [4]uint32
	// Flows is the number of flows that the sidecar owns.
	Flows int
	// Last is true when no other candidate may take the flow.
	Last bool
}

// A Choice is the decision of the admission policy on an offer.
type Choice uint8

// Accept takes the flow. Pass passes it on, or refuses it when no candidate remains.
// Deny refuses it.
const (
	Accept Choice = 1 + iota
	Pass
	Deny
)

// An Admitter is the admission policy for new flows. It is safe for concurrent use and does not block.
type Admitter interface {
	Admit(o Offer) Verdict
}

// A Verdict is the result of an admission policy.
type Verdict struct {
	Choice Choice
	// Load is sent to the next candidate with Pass, in thousandths of a slot; 0 is unknown.
	Load uint32
	// RetryAfter is the delay that a refusal of a TCP opening reports to the caller.
	// The sidecar raises it to the constant RetryAfter, and uses that constant for
	// refused datagrams.
	RetryAfter time.Duration
}

// A Threshold passes flows on once the load or the number of owned flows has reached
// its limit. When no other candidate remains, it accepts flows regardless of the load,
// and denies them from the limit on their number.
// The zero value selects the defaults.
type Threshold struct {
	// Load is the load in thousandths of a slot from which flows are passed on. Zero selects 4000.
	Load uint32
	// Flows is the maximum number of owned flows. Zero selects 2500.
	Flows int
}

const (
	defaultThresholdLoad  = 4000
	defaultThresholdFlows = 2500
)

// Admit implements Admitter.
func (t Threshold) Admit(o Offer) Verdict {
	return Verdict{Choice: t.choose(o), Load: o.Load, RetryAfter: RetryAfter}
}

func (t Threshold) choose(o Offer) Choice {
	load, flows := t.Load, t.Flows
	if load == 0 {
		load = defaultThresholdLoad
	}
	if flows == 0 {
		flows = defaultThresholdFlows
	}
	if o.Flows >= flows && o.Last {
		return Deny
	}
	if o.Flows >= flows {
		return Pass
	}
	if o.Load < load || o.Last {
		return Accept
	}
	return Pass
}
