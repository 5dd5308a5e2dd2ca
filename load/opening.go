package load

import (
	"time"

	"github.com/corianderbay/corianderbay/bundle"
)

const (
	// MaxCarriedLoads is how many loads of earlier candidates take part in a decision.
	MaxCarriedLoads = 4
	// MaxListedCandidates is how many candidates take part in a decision.
	MaxListedCandidates = 10
)

// Opening is what a sidecar knows of an opening that it is asked to accept.
type Opening struct {
	// Hash is the hash of the flow's key.
	Hash uint64
	// PassedCount is the index of this sidecar's upstream among the candidates.
	PassedCount int
	// EligibleCount is the number of candidates, at least 1 and above At.
	EligibleCount int
	// Candidates are the first candidates; zero stands for one that takes no new flows.
	Candidates [MaxListedCandidates]bundle.UpstreamID
	// Loads are those that earlier candidates reported when they passed; zero is unknown.
	Loads [MaxCarriedLoads]uint32
	// MaxWait is how long the opening may wait for a slot; zero sets no bound.
	MaxWait time.Duration
}

// last reports whether no further candidate can be asked.
func (o Opening) last() bool {
	return o.PassedCount+1 >= o.EligibleCount
}

// lowestLoad returns the lowest load of the earlier candidates that compares with
// own, and whether there is one.
func (o Opening) lowestLoad(own Load) (Load, bool) {
	least := Load(0)
	for _, l := range o.Loads[:min(o.PassedCount, MaxCarriedLoads)] {
		if !own.comparable(Load(l)) {
			continue
		}
		if least == 0 || Load(l) < least {
			least = Load(l)
		}
	}
	return least, least != 0
}
