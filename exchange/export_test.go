package exchange

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/timer"
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

// SimulatedNetwork connects the nodes of a test.
type SimulatedNetwork interface {
	Open(bind netip.AddrPort) (Socket, net.Listener, error)
	Dial(ctx context.Context, from, to netip.AddrPort) (net.Conn, error)
}

// WithNetwork returns the configuration of a node on a simulated network.
func (c Config) WithNetwork(n SimulatedNetwork) Config {
	c.Network = simulatedHost{self: c.Listen, network: n}
	return c
}

// simulatedHost is the network as one host uses it.
type simulatedHost struct {
	self    netip.AddrPort
	network SimulatedNetwork
}

func (s simulatedHost) Open(bind netip.AddrPort, _ *timer.PauseDetector) (Socket, net.Listener, error) {
	return s.network.Open(bind)
}

func (s simulatedHost) Dial(ctx context.Context, to netip.AddrPort, _ time.Duration) (net.Conn, error) {
	return s.network.Dial(ctx, s.self, to)
}
