package compare

import (
	"time"

	"github.com/corianderbay/corianderbay/load"
)

// flow is one opening of a caller and what becomes of it.
type flow struct {
	id    uint64
	hash  uint64
	place int // of the caller
	// work is the time in service of the request of a short flow; zero for long ones.
	work time.Duration
	// ends is when a long flow ends.
	ends     time.Duration
	born     time.Duration // first arrival at a sidecar
	deadline time.Duration // when the caller gives up; zero is never
	started  time.Duration // when it took its slot
	tries    int           // sent by the caller so far
	visits   int           // sidecars that handled the opening
	order    []*upstream   // candidates
	at       int           // index in order
	loads    [load.MaxCarriedLoads]uint32
	owner    *upstream // nil before it was accepted
	done     bool
}

// opening returns what the sidecar at q.at is asked.
func (f *flow) opening(patience time.Duration) load.Opening {
	o := load.Opening{
		Hash:     f.hash,
		PassedCount:       f.at,
		EligibleCount:    len(f.order),
		Loads:    f.loads,
		MaxWait: patience,
	}
	for i := range min(len(f.order), load.MaxListedCandidates) {
		if !f.order[i].leaving {
			o.Candidates[i] = f.order[i].id
		}
	}
	return o
}
