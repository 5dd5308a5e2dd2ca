package steer

import "github.com/corianderbay/corianderbay/registry"

// Reset is an open flow that a balancer resets towards the caller, with the evidence.
type Reset struct {
	// Packet has the endpoints of the flow and the caller's last acknowledgement number.
	Packet
	Reason Reason
	// Evidence is what shows that no upstream holds the flow. It is not nil.
	Evidence *Evidence
}

// Evidence is what a balancer knows about the upstreams of a flow that it resets.
type Evidence struct {
	// Upstream is the lost upstream that the balancer remembered for the flow. It is zero
	// after a search.
	Upstream registry.Host
	// Status is that of the sidecar of Upstream.
	Status SidecarStatus
	// Returned holds the upstreams that returned a packet of the flow, after a search.
	Returned []registry.Host
	// Gone holds the upstreams that did not, and that count as gone, after a search.
	Gone []registry.Host
}

// lossOf returns the evidence that the upstream on a host is lost.
func (f *Fleet) lossOf(h registry.Host) *Evidence {
	return &Evidence{Upstream: h, Status: f.Sidecars[h]}
}
