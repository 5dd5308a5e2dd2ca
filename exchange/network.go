package exchange

import (
	"context"
	"net"
	"net/netip"

	"github.com/corianderbay/corianderbay/timer"
	"github.com/corianderbay/corianderbay/udp"
)

// socketBuffer is the size of the socket's receive buffer in bytes. It counts as memory of the process.
const socketBuffer = 1 << 20

// socket sends and receives datagrams.
type socket interface {
	Address() netip.AddrPort
	Send(b []byte, to netip.AddrPort)
	Run(ctx context.Context, newHandler func() udp.Handler)
	Counts() udp.Counts
}

// network provides the sockets of a Node. Tests in virtual time replace it.
type network interface {
	// open binds an address for datagrams and connections. It returns *udp.ListenError or
	// *ListenError.
	open(bind netip.AddrPort, d *timer.PauseDetector) (socket, net.Listener, error)
	// dial opens a connection within pullTimeout.
	dial(ctx context.Context, to netip.AddrPort) (net.Conn, error)
}

// hostNetwork is the network of the host.
type hostNetwork struct{}

func (hostNetwork) open(bind netip.AddrPort, d *timer.PauseDetector) (socket, net.Listener, error) {
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

func (hostNetwork) dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: pullTimeout}
	return d.DialContext(ctx, "tcp4", to.String())
}
