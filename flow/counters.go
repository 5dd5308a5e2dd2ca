package flow

import "sync/atomic"

// Counters count decisions. They are safe for concurrent use.
type Counters struct {
	Accepted atomic.Uint64
	// Broken counts packets of flows that no candidate owned.
	Broken atomic.Uint64
	// Passed counts new flows handed to the next candidate.
	Passed atomic.Uint64
	// Searches counts packets that walked the candidates before a flow was accepted.
	Searches atomic.Uint64
	// Detours counts packets sent through the first candidate to keep its memory fresh.
	Detours atomic.Uint64
	Refused atomic.Uint64
	Dropped atomic.Uint64
}

// Counters returns the sidecar's counters.
func (s *Sidecar) Counters() *Counters {
	return &s.counters
}
