package exchange

import (
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
)

// kind is the first byte of each datagram.
type kind byte

const (
	kindHeartbeat kind = 1 // a membership.Beat in msgpack
	kindForward   kind = 2 // a steer.Header and a packet
	kindFlows     kind = 3 // keys of flows that the sender's upstream holds
	kindDigest    kind = 4 // a membership.Digest in msgpack
	kindMissing   kind = 5 // a steer.Missing
)

// ForwardOverhead is how many bytes a packet must leave free before it for a
// forward to a first sidecar.
const ForwardOverhead = 64

// maxFlowKeys is how many keys fit into one datagram.
const maxFlowKeys = 100

// AppendForward appends the head of a forwarded packet to b; the packet follows.
func AppendForward(b []byte, h *steer.Header) []byte {
	return h.Append(append(b, byte(kindForward)))
}

// appendFlows appends a datagram that names flows; at most maxFlowKeys are given.
func appendFlows(b []byte, keys []steer.Key) []byte {
	b = append(b, byte(kindFlows))
	for _, k := range keys {
		b = k.Append(b)
	}
	return b
}

// parseFlows calls learn with each flow that a datagram names.
func parseFlows(body []byte, visit func(steer.Key)) {
	for len(body) >= steer.KeySize {
		visit(steer.ParseKey(body))
		body = body[steer.KeySize:]
	}
}

// flowBatches splits keys into lists that fit into one datagram each.
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

// Handler receives what other processes send. Its methods but LoadUpdated are called by one goroutine.
type Handler interface {
	// Forwarded is called with a packet and its header; b is valid until it returns.
	Forwarded(h *steer.Header, b []byte)
	// FlowHeld is called for each flow that the upstream on a host holds.
	FlowHeld(k steer.Key, host registry.Host)
	// FlowMissing is called when a sidecar tells that upstreams do not hold a flow.
	FlowMissing(m *steer.Missing)
	// BalancerStarted is called when a balancer has started.
	BalancerStarted(balancer registry.Host)
	// LoadUpdated is called when the newest view has what a sidecar told of its load. It
	// may be called at any time.
	LoadUpdated(sidecar registry.Host)
}
