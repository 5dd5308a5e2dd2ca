package flow

import (
	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/forward"
)

// none is the index of no candidate.
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

// passed reports whether candidate i has passed.
func passed(h *forward.Header, i int) bool {
	return h.Passed&(1<<i) != 0
}

// pass marks candidate i as passed.
func pass(h *forward.Header, i int) {
	h.Passed |= 1 << i
}

// takes reports whether candidate i may take new flows of the packet's service.
func takes(h *forward.Header, i int) bool {
	c := &h.Candidates[i]
	return !c.Leaving && c.Service == h.Service
}

// aim directs the packet at candidate i.
func aim(h *forward.Header, i int) Action {
	h.Current = uint8(i)
	return Forward{}
}

// valid reports whether the header's indices are in range.
func valid(h *forward.Header) bool {
	n := len(h.Candidates)
	return n > 0 && n <= forward.MaxCandidates && int(h.Current) < n && (h.Phase != forward.PhaseFind || int(h.Initiator) < n)
}

// rerank replaces the candidates by those of a newer view and reports whether it did.
// Marks follow their upstreams; a search whose asker is no candidate any more ends.
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
			pass(h, j)
		}
	}
	if old.Phase != forward.PhaseFind {
		return true
	}
	asker := indexOf(h, old.Candidates[old.Initiator].Upstream)
	if asker == none {
		h.Phase = forward.PhaseAccept
		return true
	}
	h.Initiator = uint8(asker)
	return true
}
