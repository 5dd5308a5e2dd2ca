// Package forward is the protocol spoken to sidecars: one authenticated UDP
// datagram that carries a small header and a caller's packet untouched, or a
// short control message (hints, load).
//
// Start with Header, and with Sealer and Opener for the authentication.
package forward

import (
	"net/netip"

	"github.com/corianderbay/corianderbay/bundle"
)

// MaxCandidates bounds the candidate list of a header.
const MaxCandidates = 32

// Phase says what a sidecar that does not own the packet's flow may do with it.
type Phase uint8

// The phases of a packet.
const (
	// PhaseAccept lets the sidecar accept the flow, or pass it on.
	PhaseAccept Phase = 1
	// PhaseFind asks the sidecar to deliver the packet when it owns the flow and to hand it on otherwise.
	PhaseFind Phase = 2
)

// Candidate is one upstream that may own the flow of a packet.
type Candidate struct {
	Upstream bundle.UpstreamID
	// Service is the service that the upstream serves in the sender's bundle.
	Service bundle.ServiceID
	// Sidecar is where the sidecar beside the upstream receives.
	Sidecar netip.AddrPort
	// Leaving is true for a candidate that keeps its flows and accepts no new one.
	Leaving bool
}

// Header precedes a caller's packet between a balancer and a sidecar and between two sidecars.
type Header struct {
	// Service is the service that the sender's bundle gives to the packet's address.
	Service bundle.ServiceID
	// Version is the sequence of the bundle that ordered Candidates.
	Version uint64
	Phase   Phase
	// Hops counts the sidecars that have handled the packet.
	Hops uint8
	// Current is the index in Candidates of the sidecar that is asked now.
	Current uint8
	// Initiator is the index in Candidates of the sidecar that started a search for the owner.
	Initiator uint8
	// Passed has bit i set when Candidates[i] said that it neither owns nor takes the flow.
	Passed uint32
	// Uncertain is true when a candidate with its Passed bit set could not say that it never owned the flow.
	Uncertain bool
	// Loads holds the load in thousandths of a slot that passing candidates reported, by index; 0 is unknown.
	Loads [4]uint32
	// Balancer is where the balancer that forwarded the packet receives hints.
	Balancer netip.AddrPort
	// Candidates is the order in which sidecars are asked: at least 1 and at most MaxCandidates entries.
	Candidates []Candidate
}

// Check reports *HeaderError when a field is out of range.
func (h *Header) Check() error {
	if h.Phase != PhaseAccept && h.Phase != PhaseFind {
		return &HeaderError{Field: "phase"}
	}
	if len(h.Candidates) == 0 || len(h.Candidates) > MaxCandidates {
		return &HeaderError{Field: "candidates"}
	}
	if int(h.Current) >= len(h.Candidates) {
		return &HeaderError{Field: "at"}
	}
	if int(h.Initiator) >= len(h.Candidates) {
		return &HeaderError{Field: "asker"}
	}
	for i := range h.Candidates {
		if !h.Candidates[i].Sidecar.IsValid() {
			return &HeaderError{Field: "sidecar"}
		}
	}
	return nil
}
