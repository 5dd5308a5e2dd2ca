package flow

import (
	"time"

	"github.com/corianderbay/corianderbay/bundle"
)

// maxOfferCandidates is how many candidates an Offer names.
const maxOfferCandidates = 10

// An Offer describes a new flow to the policy that accepts flows.
type Offer struct {
	Now time.Time
	// Hash is the hash of the flow's key.
	Hash uint64
	// PassedCount is how many candidates have passed, and Count how many may take the flow
	// at all: neither leaving, gone nor silent.
	PassedCount, EligibleCount int
	// Candidates are those that may take the flow: the ones that passed, this
	// sidecar's upstream, and the ones that are left, each in their order.
	Candidates [maxOfferCandidates]bundle.UpstreamID
	// Load is the sidecar's own load in thousandths of a slot.
	Load uint32
	// Loads are those of the first candidates that passed, in the order of Candidates; 0 is unknown.
	Loads [4]uint32
	// Flows is how many flows the sidecar owns.
	Flows int
	// Last is true when no other candidate may take the flow.
	Last bool
}

// A Choice is what the policy makes of an offer.
type Choice uint8

// The choices.
const (
	Accept Choice = 1 + iota
	Pass
	Deny
)

// An Admitter is the policy that accepts new flows. It is safe for concurrent use and does not block.
type Admitter interface {
	Admit(o Offer) Verdict
}

// A Verdict is what a policy decides.
type Verdict struct {
	Choice Choice
	// Load is carried to the next candidate with Pass; 0 is unknown.
	Load uint32
	// RetryAfter is what a caller is told with Deny, at least RetryAfter of this package.
	RetryAfter time.Duration
}

// A Threshold accepts below a load, passes above it and denies above a number of flows.
// The zero value selects the defaults.
type Threshold struct {
	// Load is the load in thousandths of a slot from which a flow is passed. Zero selects 4000.
	Load uint32
	// Flows is how many flows are owned at most. Zero selects 2500.
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
