package flow

import (
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/forward"
)

// View is one bundle from the perspective of one sidecar. It is immutable and safe
// for concurrent use.
type View interface {
	// Version returns the sequence of the bundle.
	Version() uint64
	// Self returns the bundle's entry of the sidecar's own upstream.
	Self() Self
	// Candidates appends the ordered candidates for the key to dst and returns the
	// service that the key's address belongs to. The order is the same for every
	// reader of the bundle. Leaving upstreams keep their rank in it, and it ends with
	// the upstreams that may still own flows of the address from a former service.
	// It is empty when no service has the address.
	Candidates(dst []forward.Candidate, k Key) (bundle.ServiceID, []forward.Candidate)
	// Members returns the upstreams that may own flows of the service's present or
	// former addresses: its own, including leaving ones, and those of each service
	// that an address moved from or to. Their sidecars send reports to each other.
	Members(service bundle.ServiceID) []forward.Candidate
	// Fingerprint returns a hash that changes whenever the order of the service's
	// candidates may change.
	Fingerprint(service bundle.ServiceID) uint64
	// Moved returns a hash of the addresses that moved to the service from another
	// one, or 0 for none.
	Moved(service bundle.ServiceID) uint64
	// Settings returns the flow settings of the service, and false for an unknown service.
	Settings(service bundle.ServiceID) (Settings, bool)
}

// Self is the entry of one upstream in a bundle.
type Self struct {
	// Listed is false when the bundle does not list the upstream.
	Listed bool
	// Service is the service that the bundle assigns to the upstream; zero when it is not listed.
	Service bundle.ServiceID
	Leaving bool
}

// Settings holds the flow settings of a service.
type Settings struct {
	Idempotent bool
	// Repeat is how long a caller may retransmit a request after its first transmission.
	Repeat time.Duration
	// Idle is how long a flow is kept after its last packet.
	Idle time.Duration
}

// TakeoverDelay returns how long an upstream must be absent from the platform's
// list before others take over its flows.
func (s Settings) TakeoverDelay() time.Duration {
	if s.Idempotent {
		return FenceTimeout
	}
	return takeoverFenceTimeouts*FenceTimeout + s.Repeat
}

// retention returns how long the entry of an owned UDP flow is kept after its last packet.
func (s Settings) retention() time.Duration {
	if s.Idempotent {
		return s.Idle
	}
	return max(s.Idle, s.Repeat)
}

// guardTime returns the time after which the home has received a packet of each
// live flow that another sidecar owns.
func (s Settings) guardTime() time.Duration {
	return s.retention() + DetourInterval + DetourGrace + searchSlack
}
