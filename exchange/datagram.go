package exchange

import (
	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/corianderbay/corianderbay/wire"
)

// kind is the first byte of each datagram: what it contains in the low 4 bits, and the
// version of its layout in the high 4 bits, where 0 stands for membership.Format1. The
// layouts without a second version are the same in all versions.
type kind byte

const (
	kindHeartbeat  kind = 0x01 // a membership.Heartbeat in msgpack
	kindForward    kind = 0x02 // a steer.Header and a packet
	kindFlows      kind = 0x03 // keys of flows that the upstream of the sender holds
	kindDigest     kind = 0x04 // a membership.Digest in msgpack
	kindMissing    kind = 0x05 // a steer.MissReport
	kindHeartbeat2 kind = 0x21
	kindDigest2    kind = 0x24
	kindOffer2     kind = 0x26 // a membership.FormatOffer in msgpack
)

// format returns the version of the layout.
func (k kind) format() membership.Format {
	return max(membership.Format1, membership.Format(k>>4))
}

// withFormat returns the kind for a version of the layout.
func (k kind) withFormat(f membership.Format) kind {
	if f == membership.Format1 {
		return k & 0x0f
	}
	return k&0x0f | kind(f)<<4
}

// message is *membership.Heartbeat, *membership.Digest or *membership.FormatOffer.
type message interface{ Check() error }

// encodeDatagram returns the datagram of a message in a version.
func encodeDatagram(m message, f membership.Format) ([]byte, error) {
	var k kind
	switch v := m.(type) {
	case *membership.Heartbeat:
		b := v.WithFormat(f)
		k, m = kindHeartbeat, &b
	case *membership.Digest:
		d := v.WithFormat(f)
		k, m = kindDigest, &d
	case *membership.FormatOffer:
		k = kindOffer2
	}
	body, err := wire.Encode(m)
	if err != nil {
		return nil, err
	}
	return append([]byte{byte(k.withFormat(f))}, body...), nil
}

// decodeMessage decodes the body of a datagram of the given version into m and validates it.
func decodeMessage(body []byte, m message, f membership.Format) error {
	if err := wire.Decode(body, m); err != nil {
		return err
	}
	switch v := m.(type) {
	case *membership.Heartbeat:
		v.Format = f
	case *membership.Digest:
		v.Format = f
	}
	return m.Check()
}

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

// parseFlows calls visit for each flow that a datagram lists. It returns *FlowsError, and
// visits none, when the list is empty or cut off.
func parseFlows(body []byte, visit func(steer.Key)) error {
	if len(body) == 0 || len(body)%steer.KeySize != 0 {
		return &FlowsError{Length: len(body)}
	}
	for ; len(body) > 0; body = body[steer.KeySize:] {
		visit(steer.ParseKey(body))
	}
	return nil
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
