package flow

import (
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/forward"
)

// View is what one bundle says to one sidecar. It is immutable and safe for concurrent use.
type View interface {
	// Version returns the sequence of the bundle.
	Version() uint64
	// Self returns what the bundle says of the sidecar's own upstream.
	Self() Self
	// Candidates appends the order of candidates for the key to dst and returns the
	// service that the key's address belongs to. The order is the same for every
	// reader of the bundle, holds leaving upstreams at their rank, and ends with
	// the upstreams that may still hold flows of the address from a former service.
	// It is empty when no service has the address.
	Candidates(dst []forward.Candidate, k Key) (bundle.ServiceID, []forward.Candidate)
	// Members returns the upstreams that may own flows of the service's addresses or
	// of its former ones: its own, leaving ones included, and those of each service
	// that gave it an address or got one from it. Their sidecars report to each other.
	Members(service bundle.ServiceID) []forward.Candidate
	// Fingerprint differs whenever the order of candidates of the service may differ.
	Fingerprint(service bundle.ServiceID) uint64
	// Moved differs whenever other addresses have come to the service from another one; 0 for none.
	Moved(service bundle.ServiceID) uint64
	// Settings returns how flows of the service are kept, and false for an unknown service.
	Settings(service bundle.ServiceID) (Settings, bool)
}

// Self is what a bundle says of one upstream.
type Self struct {
	// Listed is false when the bundle does not name the upstream.
	Listed bool
	// Service is the service that the upstream is to serve; zero when it is not listed.
	Service bundle.ServiceID
	Leaving bool
}

// Settings says how flows of a service are kept.
type Settings struct {
	Idempotent bool
	// Repeat is how long a caller may repeat a request after its first transmission.
	Repeat time.Duration
	// Idle is how long a flow without packets is kept.
	Idle time.Duration
}

// TakeoverDelay returns how long an upstream must be missing from the platform's
// list before others take over its flows.
func (s Settings) TakeoverDelay() time.Duration {
	if s.Idempotent {
		return FenceTimeout
	}
	return takeoverFenceTimeouts*FenceTimeout + s.Repeat
}

// retention returns how long an owned flow is remembered after its last packet.
func (s Settings) retention() time.Duration {
	if s.Idempotent {
		return s.Idle
	}
	return max(s.Idle, s.Repeat)
}

// guardTime returns how long it takes until each live flow of another sidecar has
// been seen by the first candidate.
func (s Settings) guardTime() time.Duration {
	return s.retention() + DetourInterval + DetourGrace + searchSlack
}
