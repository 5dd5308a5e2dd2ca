// Package upstream delivers callers' packets to the upstream beside a sidecar
// and hands back its answers.
//
// An Edge is either a Tunnel, which carries whole IP packets in Geneve, or a
// Datagram, which gives a stock UDP server one connected socket a flow. Start
// with Open and Deliver.
package upstream

import (
	"context"
	"net/netip"

	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/timer"
)

// Config holds the settings of an edge. Address, Heartbeat, Timer and Answer are required.
type Config struct {
	// Mode is ModeTunnel or ModeDatagram. The empty string selects ModeTunnel.
	Mode string
	// Address is the upstream's tunnel endpoint, or the address of its UDP server.
	Address netip.AddrPort
	// Listen is the local address that the edge sends from; port 0 takes a free one.
	// The zero value selects 127.0.0.1:0.
	Listen netip.AddrPort
	// MaxFlows bounds the sockets of a Datagram. Zero selects 10,000.
	MaxFlows int
	// PauseDetector tells when the process was paused.
	PauseDetector *timer.PauseDetector
	// Timer closes idle sockets of a Datagram.
	Timer *timer.Service
	// Answer is called with each IP packet for a caller. The packet is valid until it returns.
	// It is called from several goroutines.
	Answer func(ip []byte)
}

// The modes of an edge.
const (
	ModeTunnel   = "tunnel"
	ModeDatagram = "datagram"
)

// Edge is how packets reach an upstream: *Tunnel or *Datagram.
type Edge interface {
	edge()
}

// Open returns the edge that cfg.Mode names. It reports *ModeError for an
// unknown mode and *udp.ListenError when no socket can be bound.
func Open(cfg Config) (Edge, error) {
	if !cfg.Listen.IsValid() {
		cfg.Listen = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	}
	switch cfg.Mode {
	case "", ModeTunnel:
		return openTunnel(cfg)
	case ModeDatagram:
		return newDatagram(cfg), nil
	}
	return nil, &ModeError{Mode: cfg.Mode}
}

// Packet is one packet for the upstream.
type Packet struct {
	Key flow.Key
	// IP is the caller's whole packet.
	IP []byte
	// Payload is what IP carries behind its UDP or TCP header.
	Payload []byte
}

// Deliver sends a packet to the upstream. It reports *ProtocolError when the
// edge cannot carry the protocol, *FlowsError when a Datagram has no socket
// left, and *SendError when the system does not take the packet.
func Deliver(e Edge, p Packet) error {
	switch e := e.(type) {
	case *Tunnel:
		return e.deliver(p)
	case *Datagram:
		return e.deliver(p)
	}
	return &ModeError{Mode: "none"}
}

// Run receives answers until ctx is done, and then closes the edge.
func Run(ctx context.Context, e Edge) {
	switch e := e.(type) {
	case *Tunnel:
		e.run(ctx)
	case *Datagram:
		e.run(ctx)
	}
}
