package flow

import (
	"fmt"

	"github.com/corianderbay/corianderbay/bundle"
)

const (
	// MaxHints bounds the flows that one OwnerHints lists by key, and those by hash.
	MaxHints = 64
	// maxReportedPeers bounds the upstreams that one PeerReport or SilenceReport lists.
	maxReportedPeers = 64
)

// OwnerHints is the message that reports the owner of some flows to a balancer,
// or to a sidecar that searches for the owner.
type OwnerHints struct {
	Owner bundle.UpstreamID `msgpack:"owner"`
	// Flows lists flows by key, for sidecars: at most MaxHints entries.
	Flows []Key `msgpack:"flows,omitempty"`
	// Hashes lists flows by the hash of the key, for balancers: at most MaxHints
	// entries, and at least one when Flows is empty.
	Hashes []uint64 `msgpack:"hashes,omitempty"`
}

// Check returns *MessageError when a field is out of range.
func (h *OwnerHints) Check() error {
	if len(h.Flows) > MaxHints || len(h.Flows)+len(h.Hashes) == 0 {
		return &MessageError{Field: "flows"}
	}
	if len(h.Hashes) > MaxHints {
		return &MessageError{Field: "hashes"}
	}
	return nil
}

// SilenceReport is the message that reports the upstreams whose sidecars are
// silent to a balancer. The balancer sends no openings to them for SilenceTTL.
type SilenceReport struct {
	// Upstreams has 1 to 64 entries.
	Upstreams []bundle.UpstreamID `msgpack:"upstreams"`
}

// Check returns *MessageError when a field is out of range.
func (s *SilenceReport) Check() error {
	if len(s.Upstreams) == 0 || len(s.Upstreams) > maxReportedPeers {
		return &MessageError{Field: "upstreams"}
	}
	return nil
}

// Check returns *MessageError when a field is out of range.
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

// MessageError reports a message field that is out of range.
type MessageError struct {
	// Field is the name of the field in the encoded message.
	Field string
}

// Error returns a description that names the field.
func (e *MessageError) Error() string {
	return fmt.Sprintf("flow: field %s of a message is out of range", e.Field)
}
