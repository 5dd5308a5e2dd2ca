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
	// endsAt is when a long flow ends.
	endsAt     time.Duration
	arrived    time.Duration // first arrival at a sidecar
	deadline   time.Duration // when the caller gives up; zero is never
	started    time.Duration // when it took its slot
	attempts   int           // sent by the caller so far
	visits     int           // sidecars that handled the opening
	candidates []*upstream   // candidates
	current    int           // index in order
	loads      [load.Carried]uint32
	owner      *upstream // nil before it was accepted
	done       bool
}

// opening returns what the sidecar at q.at is asked.
func (f *flow) opening(maxWait time.Duration) load.Opening {
	o := load.Opening{
		Hash:     f.hash,
		At:       f.current,
		Count:    len(f.candidates),
		Loads:    f.loads,
		Patience: maxWait,
	}
	for i := range min(len(f.candidates), load.Listed) {
		if !f.candidates[i].leaving {
			o.Candidates[i] = f.candidates[i].id
		}
	}
	return o
}
