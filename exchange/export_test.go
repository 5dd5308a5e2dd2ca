package exchange

import (
	"context"
	"net"
	"net/netip"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/timer"
	"github.com/corianderbay/corianderbay/udp"
)

// WithNewest returns the configuration of a node that reads and sends no version later
// than f, as that of an older build.
func (c Config) WithNewest(f membership.Format) Config {
	c.newest = f
	return c
}

// PullFrom pulls from a host as one that is recorded as reading a version.
func (n *Node) PullFrom(ctx context.Context, f membership.Format, host registry.Host) error {
	return n.pullFrom(ctx, f, host, query{})
}

// Socket sends and receives the datagrams of a node.
type Socket interface {
	Address() netip.AddrPort
	Send(b []byte, to netip.AddrPort)
	Run(ctx context.Context, newHandler func() udp.Handler)
	Counts() udp.Counts
}

// Network provides the sockets of nodes.
type Network interface {
	Open(bind netip.AddrPort) (Socket, net.Listener, error)
	Dial(ctx context.Context, from, to netip.AddrPort) (net.Conn, error)
}

// WithNetwork returns the configuration of a node on a simulated network.
func (c Config) WithNetwork(n Network) Config {
	c.network = simulatedNetwork{self: c.Listen, network: n}
	return c
}

type simulatedNetwork struct {
	self    netip.AddrPort
	network Network
}

func (s simulatedNetwork) open(bind netip.AddrPort, _ *timer.PauseDetector) (socket, net.Listener, error) {
	return s.network.Open(bind)
}

func (s simulatedNetwork) dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	return s.network.Dial(ctx, s.self, to)
}
