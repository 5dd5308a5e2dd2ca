package admit

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// returnWindow is the time after a refusal within which another opening from the
	// same address is a return.
	returnWindow = time.Second
	// callerSlots is the number of callers that refusedCallers records; a power of two.
	callerSlots = 1 << 13
)

// refusedCallers records which callers were refused. Callers return from a new port, so
// they are identified by their whole address and route. The table has a fixed size: a
// caller may be overwritten by another one, and then counts as one that arrives for the
// first time.
type refusedCallers [callerSlots]refusedCaller

type refusedCaller struct {
	hash    uint64
	refused time.Duration // when the caller was last refused; valid while pending > 0
	pending uint32        // refusals after which the caller has not returned
}

func hashCaller(route uint32, caller netip.Addr) uint64 {
	var b [20]byte
	a := caller.As16()
	copy(b[:16], a[:])
	binary.BigEndian.PutUint32(b[16:], route)
	return xxhash.Sum64(b[:])
}

// recordRefusal records that the caller was refused.
func (t *refusedCallers) recordRefusal(now time.Duration, hash uint64) {
	e := &t[hash%callerSlots]
	if e.hash != hash || now-e.refused >= returnWindow {
		*e = refusedCaller{hash: hash}
	}
	e.refused = now
	e.pending++
}

// recordReturn reports whether the opening is a return after a refusal, and counts that
// refusal no longer.
func (t *refusedCallers) recordReturn(now time.Duration, hash uint64) bool {
	e := &t[hash%callerSlots]
	if e.hash != hash || e.pending == 0 || now-e.refused >= returnWindow {
		return false
	}
	e.pending--
	return true
}
