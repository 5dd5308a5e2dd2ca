package exchange_test

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/exchange"
	"github.com/corianderbay/corianderbay/membership"
	"github.com/shoenig/test/must"
)

// slowNet is a simulated network whose listeners close slowly.
type slowNet struct {
	*simulatedNet
	closing, closed atomic.Bool
}

func (n *slowNet) Open(bind netip.AddrPort) (exchange.Socket, net.Listener, error) {
	s, l, err := n.simulatedNet.Open(bind)
	return s, &slowListener{Listener: l, net: n}, err
}

type slowListener struct {
	net.Listener
	net *slowNet
}

// Close ends Accept at once, but frees the address later. As with a real listener,
// another call does not wait for the first one.
func (l *slowListener) Close() error {
	if l.net.closing.Swap(true) {
		return net.ErrClosed
	}
	err := l.Listener.Close()
	time.Sleep(200 * time.Millisecond)
	l.net.closed.Store(true)
	return err
}

// TestAddressIsFreeWhenRunReturns guards against a process that cannot bind the address
// of the one that it replaces, since that one returned while its listener was being closed.
func TestAddressIsFreeWhenRunReturns(t *testing.T) {
	n := &slowNet{simulatedNet: newSimulatedNet(1)}
	p := startWith(t, "a", 1, membership.Balancer, &memoryStore{}, 0, func(cfg exchange.Config) exchange.Config { return cfg.WithNetwork(n) })
	p.stop()
	p.wait()
	must.True(t, n.closed.Load())
}
