package exchange_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/corianderbay/corianderbay/exchange"
	"github.com/corianderbay/corianderbay/udp"
)

// firstByteOffer is the first byte of offers of versions.
const firstByteOffer = 0x26

// simulatedNet delivers datagrams and connections in the virtual time of a synctest
// bubble. It is safe for concurrent use.
type simulatedNet struct {
	mu        sync.Mutex
	rand      *rand.Rand
	endpoints map[netip.AddrPort]*endpoint
	offerLoss float64 // the share of offers of versions that are lost
}

// endpoint is a bound address. It implements exchange.Socket and net.Listener.
type endpoint struct {
	net   *simulatedNet
	addr  netip.AddrPort
	queue chan simulatedDatagram
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

type simulatedDatagram struct {
	b    []byte
	from netip.AddrPort
}

func newSimulatedNet(seed uint64) *simulatedNet {
	return &simulatedNet{rand: rand.New(rand.NewPCG(seed, 3)), endpoints: make(map[netip.AddrPort]*endpoint)}
}

func (n *simulatedNet) Open(bind netip.AddrPort) (exchange.Socket, net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.endpoints[bind] != nil {
		return nil, nil, &exchange.ListenError{Address: bind, Cause: syscall.EADDRINUSE}
	}
	e := &endpoint{net: n, addr: bind, queue: make(chan simulatedDatagram, 4096), conns: make(chan net.Conn), done: make(chan struct{})}
	n.endpoints[bind] = e
	return e, e, nil
}

// Dial connects to an endpoint.
func (n *simulatedNet) Dial(ctx context.Context, _, to netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	e := n.endpoints[to]
	n.mu.Unlock()
	if e == nil {
		return nil, syscall.ECONNREFUSED
	}
	client, server := net.Pipe()
	select {
	case e.conns <- server:
		return simulatedConn{client}, nil
	case <-e.done:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// simulatedConn returns the errors of a TCP connection whose peer closed it.
type simulatedConn struct{ net.Conn }

func (c simulatedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if errors.Is(err, io.ErrClosedPipe) {
		err = syscall.EPIPE
	}
	return n, err
}

func (e *endpoint) Address() netip.AddrPort { return e.addr }

// Counts returns no totals: no test of this simulation uses them.
func (e *endpoint) Counts() udp.Counts { return udp.Counts{} }

// Send delivers a datagram after a delay of up to 5 ms.
func (e *endpoint) Send(b []byte, to netip.AddrPort) {
	n := e.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if b[0] == firstByteOffer && n.rand.Float64() < n.offerLoss {
		return
	}
	d := simulatedDatagram{b: append([]byte(nil), b...), from: e.addr}
	time.AfterFunc(time.Duration(n.rand.IntN(5000))*time.Microsecond, func() { n.deliver(d, to) })
}

func (n *simulatedNet) deliver(d simulatedDatagram, to netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e := n.endpoints[to]; e != nil {
		select {
		case e.queue <- d:
		default: // the receive buffer is full
		}
	}
}

// Run passes received datagrams to a handler until ctx is done.
func (e *endpoint) Run(ctx context.Context, newHandler func() udp.Handler) {
	h := newHandler()
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-e.queue:
			h(d.b, d.from)
		}
	}
}

// Accept returns the next connection.
func (e *endpoint) Accept() (net.Conn, error) {
	select {
	case c := <-e.conns:
		return c, nil
	case <-e.done:
		return nil, net.ErrClosed
	}
}

// Close frees the address.
func (e *endpoint) Close() error {
	e.once.Do(func() {
		close(e.done)
		e.net.mu.Lock()
		defer e.net.mu.Unlock()
		delete(e.net.endpoints, e.addr)
	})
	return nil
}

func (e *endpoint) Addr() net.Addr { return net.TCPAddrFromAddrPort(e.addr) }
