package load

import "time"

// Policy selects how new flows are distributed: Hashing, TwoChoices or
// AcceptOrPass.
type Policy interface{ policy() }

// Hashing accepts each opening at the first candidate that is neither leaving
// nor at its flow limit.
type Hashing struct{}

// TwoChoices sends an opening first to the less loaded of its first two
// candidates, by the loads that the balancer last received. Candidates accept
// as with Hashing.
type TwoChoices struct{}

// AcceptOrPass lets each candidate accept or pass an opening, based on its own
// current load and the loads of the candidates that passed before. The zero
// value selects the defaults.
type AcceptOrPass struct {
	// MaxVisits is the number of candidates that the opening of a short flow
	// visits at most: the last one accepts it without comparing loads, or refuses it
	// when its expected wait exceeds Opening.MaxWait. It is from 1 to
	// MaxListedCandidates. Zero selects 7.
	MaxVisits int
	// FillTime is the time in which an upstream far below its fair share of long
	// flows may fill up to that share: its inflow is limited only while it would
	// fill it sooner. It is from 1 s to 1 h. Zero selects 60 s.
	FillTime time.Duration
	// MaxInflow is the limit of that inflow as a multiple of the rate of new flows
	// that hashing alone produces, from 1 to 10. Zero selects 2.
	MaxInflow float64
	// WaitThreshold is the expected wait up to which an opening is queued without
	// visiting another candidate, in mean service times, from 0.01 to 100. Zero
	// selects 0.35.
	WaitThreshold float64
	// Slack is the excess over the fair share of connections at which an upstream
	// passes, as a fraction of that share, from 0.001 to 1. Zero selects 0.003.
	Slack float64
}

const (
	defaultMaxVisits     = 7
	defaultMaxInflow     = 2
	defaultFillTime      = time.Minute
	defaultWaitThreshold = 0.35
	defaultSlack         = 0.003
)

func (Hashing) policy()      {}
func (TwoChoices) policy()   {}
func (AcceptOrPass) policy() {}

func (p AcceptOrPass) withDefaults() AcceptOrPass {
	if p.MaxVisits == 0 {
		p.MaxVisits = defaultMaxVisits
	}
	if p.FillTime == 0 {
		p.FillTime = defaultFillTime
	}
	if p.MaxInflow == 0 {
		p.MaxInflow = defaultMaxInflow
	}
	if p.WaitThreshold == 0 {
		p.WaitThreshold = defaultWaitThreshold
	}
	if p.Slack == 0 {
		p.Slack = defaultSlack
	}
	return p
}

// PreferredCandidate returns the index, 0 or 1, of the candidate to which a
// balancer sends an opening first, given the loads that it last received.
func PreferredCandidate(p Policy, loads [2]Load) int {
	switch p.(type) {
	case TwoChoices:
		if loads[0].comparable(loads[1]) && loads[1] < loads[0] {
			return 1
		}
	}
	return 0
}
