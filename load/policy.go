package load

import "time"

// Policy is how openings are spread: Hashing, TwoChoices or AcceptOrPass.
type Policy interface{ policy() }

// Hashing accepts each opening at its first candidate that is not full.
type Hashing struct{}

// TwoChoices sends an opening to the less loaded of its first two candidates
// by the loads that a balancer heard of; that candidate accepts.
type TwoChoices struct{}

// AcceptOrPass lets each candidate accept or pass by its exact load and by
// those of the candidates that passed before it. The zero value selects the
// defaults.
type AcceptOrPass struct {
	// MaxVisits is how many candidates the opening of a short flow visits before
	// it is accepted wherever it fits, from 1 to Listed. Zero selects 7.
	MaxVisits int
	// FillTime is the time in which an upstream far below its share of long flows
	// may fill up to it, from 1 s to 1 h. Zero selects 60 s.
	FillTime time.Duration
	// MaxInflow bounds the new flows of such an upstream once it fills faster, in
	// multiples of what hashing alone gives it, from 1 to 10. Zero selects 2.
	MaxInflow float64
	// WaitThreshold is the expected wait up to which a queue is joined without asking
	// further, in mean times in service, from 0.01 to 100. Zero selects 0.35.
	WaitThreshold float64
	// Slack is the share above the mean of connections from which an upstream
	// passes, from 0.001 to 1. Zero selects 0.003.
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

// PreferredCandidate returns which of two candidates a balancer asks first, given the
// loads that it heard of.
func PreferredCandidate(p Policy, loads [2]Load) int {
	switch p.(type) {
	case TwoChoices:
		if loads[0].comparable(loads[1]) && loads[1] < loads[0] {
			return 1
		}
	}
	return 0
}
