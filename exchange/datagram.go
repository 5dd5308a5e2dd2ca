package exchange

import (
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
)

// kind is the first byte of each datagram.
type kind byte

const (
	kindHeartbeat kind = 1 // a membership.Heartbeat in msgpack
	kindForward   kind = 2 // a steer.Header and a packet
	kindFlows     kind = 3 // keys of flows that the upstream of the sender holds
	kindDigest    kind = 4 // a membership.Digest in msgpack
	kindMissing   kind = 5 // a steer.MissReport
)

// ForwardOverhead is the number of bytes to reserve for the header that a balancer puts
// before a forwarded packet. The header lists no visited hosts yet.
const ForwardOverhead = 64

// maxFlowKeys is the maximum number of flow keys in one datagram.
const maxFlowKeys = 100

// AppendForward appends the header of a forwarded packet to b. The caller appends the packet.
func AppendForward(b []byte, h *steer.Header) []byte {
	return h.Append(append(b, byte(kindForward)))
}

// appendFlows appends a datagram that lists flows. keys has at most maxFlowKeys entries.
func appendFlows(b []byte, keys []steer.Key) []byte {
	b = append(b, byte(kindFlows))
	for _, k := range keys {
		b = k.Append(b)
	}
	return b
}

// parseFlows calls visit for each flow that a datagram lists.
func parseFlows(body []byte, visit func(steer.Key)) {
	for len(body) >= steer.KeySize {
		visit(steer.ParseKey(body))
		body = body[steer.KeySize:]
	}
}

// flowBatches splits keys into batches that fit into one datagram each.
func flowBatches(keys []steer.Key) [][]steer.Key {
	var batches [][]steer.Key
	for len(keys) > maxFlowKeys {
		batches = append(batches, keys[:maxFlowKeys])
		keys = keys[maxFlowKeys:]
	}
	if len(keys) > 0 {
		batches = append(batches, keys)
	}
	return batches
}

// Handler receives packets and reports from other processes. All methods but
// LoadUpdated are called by a single goroutine.
type Handler interface {
	// Forwarded is called with a packet and its header; b is valid until it returns.
	Forwarded(h *steer.Header, b []byte)
	// FlowHeld is called for each flow that host reports its upstream to hold.
	FlowHeld(k steer.Key, host registry.Host)
	// FlowMissing is called when a sidecar reports that upstreams do not hold a flow.
	FlowMissing(m *steer.MissReport)
	// BalancerStarted is called when a balancer has begun a new incarnation.
	BalancerStarted(balancer registry.Host)
	// LoadUpdated is called after a view with a newly reported load of a sidecar was
	// published. It may be called from any goroutine.
	LoadUpdated(sidecar registry.Host)
}
