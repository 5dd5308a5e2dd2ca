package compare

import (
	"time"

	"github.com/corianderbay/corianderbay/load"
)

// flow is one opening of a caller and its outcome.
type flow struct {
	id    uint64
	hash  uint64
	place int // of the caller
	// work is the service time of the request of a short flow; zero for long flows.
	work time.Duration
	// endsAt is when a long flow ends.
	endsAt     time.Duration
	arrived    time.Duration // when the attempt began
	deadline   time.Duration // when the caller times out; zero is never
	started    time.Duration // when the request took its slot
	attempts   int           // openings sent by the caller so far
	visits     int           // sidecars that handled the opening
	candidates []*upstream   // in the order of visits
	current    int           // index in candidates
	loads      [load.MaxCarriedLoads]uint32
	owner      *upstream // nil until the flow is accepted
	done       bool
}

// opening returns the input for the decision of the current candidate's sidecar.
func (f *flow) opening(maxWait time.Duration) load.Opening {
	o := load.Opening{
		Hash:          f.hash,
		PassedCount:   f.current,
		EligibleCount: len(f.candidates),
		Loads:         f.loads,
		MaxWait:       maxWait,
	}
	for i := range min(len(f.candidates), load.MaxListedCandidates) {
		if !f.candidates[i].leaving {
			o.Candidates[i] = f.candidates[i].id
		}
	}
	return o
}
