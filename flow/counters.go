package flow

import "sync/atomic"

// Counters counts the decisions of a sidecar. It is safe for concurrent use.
type Counters struct {
	Accepted atomic.Uint64
	// Broken counts packets of flows that no candidate owned.
	Broken atomic.Uint64
	// Passed counts new flows passed on to another candidate.
	Passed atomic.Uint64
	// Searches counts UDP packets that were sent to the other candidates to find the owner.
	Searches atomic.Uint64
	// Detours counts packets sent through the flow's home to refresh its entry.
	Detours atomic.Uint64
	Refused atomic.Uint64
	Dropped atomic.Uint64
}

// Counters returns the sidecar's counters.
func (s *Sidecar) Counters() *Counters {
	return &s.counters
}
