// Package upstream delivers callers' packets to the upstream of a sidecar and
// receives the upstream's answers.
//
// A Transport is either a Tunnel, which carries whole IP packets in Geneve, or a
// Datagram, which sends the payload to an ordinary UDP server from one connected
// socket per flow. Open creates a Transport, and Deliver and Run use it.
package upstream

import (
	"context"
	"net/netip"

	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/timer"
)

// Config holds the settings of a transport. Address, PauseDetector, Timer and
// Answer are required.
type Config struct {
	// Mode is ModeTunnel or ModeDatagram. The empty string selects ModeTunnel.
	Mode string
	// Address is the upstream's tunnel endpoint, or the address of its UDP server.
	Address netip.AddrPort
	// Listen is the local address that a Tunnel sends from and receives on; port 0 selects a free port.
	// The zero value selects 127.0.0.1:0.
	Listen netip.AddrPort
	// MaxFlows is the maximum number of open sockets of a Datagram. Zero selects 10,000.
	MaxFlows int
	// PauseDetector detects pauses of the process.
	PauseDetector *timer.PauseDetector
	// Timer schedules the closing of idle sockets of a Datagram.
	Timer *timer.Service
	// Answer is called with each IP packet for a caller. The slice is valid until Answer
	// returns. It may be called concurrently.
	Answer func(ip []byte)
}

// Modes of a transport.
const (
	ModeTunnel   = "tunnel"
	ModeDatagram = "datagram"
)

// Transport carries packets to an upstream. It is a *Tunnel or a *Datagram.
type Transport interface {
	transport()
}

// Open returns a transport of the mode cfg.Mode. It returns a *ModeError if the mode
// is unknown and a *udp.ListenError if the socket of a Tunnel cannot be bound.
func Open(cfg Config) (Transport, error) {
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

// Packet is a packet for the upstream.
type Packet struct {
	Key flow.Key
	// IP is the caller's whole packet.
	IP []byte
	// Payload is the part of IP after the UDP or TCP header.
	Payload []byte
}

// Deliver sends a packet to the upstream. A Datagram returns a *ProtocolError if the
// protocol is not UDP, a *FlowLimitError if it is closed or at its maximum number of
// sockets, and a *SendError if the operating system rejects the packet. A Tunnel returns
// the error of fabric.Append.
func Deliver(t Transport, p Packet) error {
	switch t := t.(type) {
	case *Tunnel:
		return t.deliver(p)
	case *Datagram:
		return t.deliver(p)
	}
	return &ModeError{Mode: "none"}
}

// Run receives answers until ctx is done, and then closes the transport.
func Run(ctx context.Context, t Transport) {
	switch t := t.(type) {
	case *Tunnel:
		t.run(ctx)
	case *Datagram:
		t.run(ctx)
	}
}
