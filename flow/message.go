package flow

import (
	"fmt"

	"github.com/corianderbay/corianderbay/bundle"
)

const (
	// MaxHints bounds the flows that one OwnerHints names by key, and those by hash.
	MaxHints = 64
	// maxReportedPeers bounds the peers that one report names.
	maxReportedPeers = 64
)

// OwnerHints tells a balancer, or a sidecar that searches, who owns some flows.
type OwnerHints struct {
	Owner bundle.UpstreamID `msgpack:"owner"`
	// Flows names flows by key, for sidecars: at most MaxHints entries.
	Flows []Key `msgpack:"flows,omitempty"`
	// Hashes names flows by the hash of the key, for balancers: at most MaxHints
	// entries, and at least one when Flows is empty.
	Hashes []uint64 `msgpack:"hashes,omitempty"`
}

// Check reports *MessageError when a field is out of range.
func (h *OwnerHints) Check() error {
	if len(h.Flows) > MaxHints || len(h.Flows)+len(h.Hashes) == 0 {
		return &MessageError{Field: "flows"}
	}
	if len(h.Hashes) > MaxHints {
		return &MessageError{Field: "hashes"}
	}
	return nil
}

// SilenceReport tells a balancer which upstreams' sidecars are silent. Openings are
// not sent to them for SilenceTTL.
type SilenceReport struct {
	// Upstreams has 1 to 64 entries.
	Upstreams []bundle.UpstreamID `msgpack:"upstreams"`
}

// Check reports *MessageError when a field is out of range.
func (s *SilenceReport) Check() error {
	if len(s.Upstreams) == 0 || len(s.Upstreams) > maxReportedPeers {
		return &MessageError{Field: "upstreams"}
	}
	return nil
}

// Check reports *MessageError when a field is out of range.
func (r *PeerReport) Check() error {
	switch {
	case r.Upstream == 0:
		return &MessageError{Field: "u"}
	case r.Oldest > r.Version:
		return &MessageError{Field: "o"}
	case r.Version > r.Highest:
		return &MessageError{Field: "n"}
	case r.Flows < 0:
		return &MessageError{Field: "f"}
	case len(r.LivePeers) > maxReportedPeers:
		return &MessageError{Field: "h"}
	}
	return nil
}

// MessageError reports a field of a message that is out of range.
type MessageError struct {
	// Field is the name of the field on the wire.
	Field string
}

// Error returns the field.
func (e *MessageError) Error() string {
	return fmt.Sprintf("flow: field %s of a message is out of range", e.Field)
}
