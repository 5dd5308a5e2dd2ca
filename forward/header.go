// Package forward implements the protocol between balancers and sidecars. Each
// message is one authenticated UDP datagram that carries either a header and a
// caller's unmodified packet, or a control message such as owner hints or load.
//
// Header describes a forwarded packet; Sealer and Opener authenticate datagrams.
package forward

import (
	"net/netip"

	"github.com/corianderbay/corianderbay/bundle"
)

// MaxCandidates is the maximum length of Header.Candidates.
const MaxCandidates = 32

// Phase determines what a sidecar that does not own the packet's flow may do with the packet.
type Phase uint8

// Phases of a packet.
const (
	// PhaseAccept lets the sidecar accept the flow or pass the packet on to another candidate.
	PhaseAccept Phase = 1
	// PhaseFind marks a search for the owner: the sidecar delivers the packet if it
	// owns the flow and passes it on otherwise.
	PhaseFind Phase = 2
)

// Candidate is one upstream that may own the flow of a packet.
type Candidate struct {
	Upstream bundle.UpstreamID
	// Service is the service that the upstream serves in the sender's bundle.
	Service bundle.ServiceID
	// Sidecar is the address at which the upstream's sidecar receives datagrams.
	Sidecar netip.AddrPort
	// Leaving is true if the upstream is draining: it keeps its flows and accepts no new ones.
	Leaving bool
}

// Header precedes a caller's packet on the way from a balancer to a sidecar and between sidecars.
type Header struct {
	// Service is the service to which the sender's bundle assigns the packet's destination address.
	Service bundle.ServiceID
	// Version is the sequence number of the bundle from which Candidates was computed.
	Version uint64
	Phase   Phase
	// Hops is the number of sidecars that have handled the packet.
	Hops uint8
	// Current is the index in Candidates of the sidecar that the packet is sent to.
	Current uint8
	// Initiator is the index in Candidates of the sidecar that started a search for the owner.
	Initiator uint8
	// Passed has bit i set if Candidates[i] passed the packet on because it neither owns nor accepts the flow.
	Passed uint32
	// Uncertain is true if a candidate with its Passed bit set cannot rule out that it owned the flow earlier.
	Uncertain bool
	// Loads holds the loads, in thousandths of a slot, of those of the first four
	// candidates that passed the packet on, by index in Candidates. 0 means unknown.
	Loads [4]uint32
	// Balancer is the address at which the balancer that forwarded the packet receives owner hints.
	Balancer netip.AddrPort
	// Candidates lists the upstreams in the order in which their sidecars are tried. It
	// has 1 to MaxCandidates entries.
	Candidates []Candidate
}

// Check validates h. It returns a *HeaderError if a field is out of range.
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
