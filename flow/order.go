package flow

import (
	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/forward"
)

// none is returned in place of an index when no candidate qualifies.
const none = -1

// indexOf returns the index of the upstream in the header's candidates, or none.
func indexOf(h *forward.Header, u bundle.UpstreamID) int {
	for i := range h.Candidates {
		if h.Candidates[i].Upstream == u {
			return i
		}
	}
	return none
}

// passed reports whether candidate i has passed the packet on.
func passed(h *forward.Header, i int) bool {
	return h.Passed&(1<<i) != 0
}

// markPassed records that candidate i has passed the packet on.
func markPassed(h *forward.Header, i int) {
	h.Passed |= 1 << i
}

// eligible reports whether candidate i may take new flows of the packet's service.
func eligible(h *forward.Header, i int) bool {
	c := &h.Candidates[i]
	return !c.Leaving && c.Service == h.Service
}

// forwardTo returns the action that forwards the packet to candidate i.
func forwardTo(h *forward.Header, i int) Action {
	h.Current = uint8(i)
	return Forward{}
}

// valid reports whether the header's indices are in range.
func valid(h *forward.Header) bool {
	n := len(h.Candidates)
	return n > 0 && n <= forward.MaxCandidates && int(h.Current) < n && (h.Phase != forward.PhaseFind || int(h.Initiator) < n)
}

// rerank replaces the candidates by those of the view when that is newer, and
// reports whether it did. Passed bits move with their upstreams. A search whose
// initiator is no longer a candidate ends.
func rerank(v View, h *forward.Header, k Key) bool {
	if v.Version() <= h.Version {
		return false
	}
	service, order := v.Candidates(make([]forward.Candidate, 0, forward.MaxCandidates), k)
	if len(order) == 0 {
		return false
	}
	old := *h
	h.Version, h.Service, h.Candidates = v.Version(), service, order
	h.Passed, h.Loads = 0, [4]uint32{}
	for i := range old.Candidates {
		j := indexOf(h, old.Candidates[i].Upstream)
		if j != none && passed(&old, i) {
			markPassed(h, j)
		}
	}
	if old.Phase != forward.PhaseFind {
		return true
	}
	initiator := indexOf(h, old.Candidates[old.Initiator].Upstream)
	if initiator == none {
		h.Phase = forward.PhaseAccept
		return true
	}
	h.Initiator = uint8(initiator)
	return true
}
