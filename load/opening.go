package load

import (
	"time"

	"github.com/corianderbay/corianderbay/bundle"
)

const (
	// MaxCarriedLoads is the number of earlier candidates whose loads are
	// considered in a decision.
	MaxCarriedLoads = 4
	// MaxListedCandidates is the number of candidates considered in a decision.
	MaxListedCandidates = 10
)

// Opening describes a new flow that is offered to a sidecar.
type Opening struct {
	// Hash is the hash of the flow's key.
	Hash uint64
	// PassedCount is the number of candidates that passed the flow before, and
	// so the index of this sidecar's upstream among the candidates.
	PassedCount int
	// EligibleCount is the number of candidates, at least 1 and greater than
	// PassedCount.
	EligibleCount int
	// Candidates are the first candidates. Zero marks one that accepts no new
	// flows.
	Candidates [MaxListedCandidates]bundle.UpstreamID
	// Loads are the loads that earlier candidates attached when they passed the
	// flow. Zero means unknown.
	Loads [MaxCarriedLoads]uint32
	// MaxWait is how long the opening may wait for a slot. Zero means no limit.
	MaxWait time.Duration
}

// last reports whether no candidate follows.
func (o Opening) last() bool {
	return o.PassedCount+1 >= o.EligibleCount
}

// lowestLoad returns the lowest load among those of earlier candidates that are
// comparable with own, and false when there is none.
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
