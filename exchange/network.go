package exchange

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/corianderbay/corianderbay/timer"
	"github.com/corianderbay/corianderbay/udp"
)

// socketBuffer is the size of the socket's receive buffer in bytes. It counts as memory of the process.
const socketBuffer = 1 << 20

// Socket sends and receives datagrams.
type Socket interface {
	// Address returns the address to which the socket is bound.
	Address() netip.AddrPort
	// Send sends one datagram, which may be lost.
	Send(b []byte, to netip.AddrPort)
	// Run passes received datagrams to handlers until ctx is done and then closes the socket.
	Run(ctx context.Context, newHandler func() udp.Handler)
	// Counts returns the current totals.
	Counts() udp.Counts
}

// Network provides the sockets of a Node. Tests in virtual time replace it.
type Network interface {
	// Open binds an address for datagrams and connections. It returns *udp.ListenError or
	// *ListenError.
	Open(bind netip.AddrPort, d *timer.PauseDetector) (Socket, net.Listener, error)
	// Dial opens a connection within timeout. It returns the error of package net.
	Dial(ctx context.Context, to netip.AddrPort, timeout time.Duration) (net.Conn, error)
}

// HostNetwork is the network of the host.
type HostNetwork struct{}

// Open binds an address for datagrams and connections.
func (HostNetwork) Open(bind netip.AddrPort, d *timer.PauseDetector) (Socket, net.Listener, error) {
	s, err := udp.Open(udp.Config{
		Listen:        bind,
		Workers:       1,
		BufferSize:    socketBuffer,
		PauseDetector: d,
	})
	if err != nil {
		return nil, nil, err
	}
	l, err := net.Listen("tcp4", s.Address().String())
	if err != nil {
		s.Close()
		return nil, nil, &ListenError{Address: bind, Cause: err}
	}
	return s, l, nil
}

// Dial opens a TCP connection.
func (HostNetwork) Dial(ctx context.Context, to netip.AddrPort, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	return d.DialContext(ctx, "tcp4", to.String())
}
