package edge_test

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/corianderbay/corianderbay/edge"
	"github.com/corianderbay/corianderbay/exchange"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/timer"
	"github.com/corianderbay/corianderbay/udp"
)

const (
	localDelay  = 20 * time.Microsecond // between a sidecar and its upstream
	nearDelay   = 200 * time.Microsecond
	farDelay    = 4400 * time.Microsecond // between data centres
	linkJitter  = 100 * time.Microsecond
	linkLoss    = 0.0015
	socketQueue = 4096 // datagrams
)

// datagram is a datagram in a receive buffer.
type datagram struct {
	b    []byte
	from netip.AddrPort
	due  time.Time // when the process reads it
}

// network delivers datagrams and connections between hosts in virtual time. Loss and jitter
// of a datagram follow from the seed and from its number on the link, so that they depend
// little on the order in which goroutines run.
type network struct {
	seed uint64
	// receive handles a datagram to an address without a socket, and reports each one.
	receive func(d datagram, to netip.AddrPort)
	observe func(from, to netip.AddrPort, b []byte, lost bool)
	// connects decides on a connection to a port other than the one of the processes.
	connects func(to netip.AddrPort) connectResult

	mu       sync.Mutex
	sockets  map[netip.AddrPort]*socket
	sent     map[[8]byte]uint64 // datagrams by link
	cuts     map[*cut]bool
	impaired map[registry.Host]impairment
	// latePulls has how late connections from and to a host are established.
	latePulls map[registry.Host]time.Duration
	delivered int
}

// connectResult is what happens to a connection to an upstream.
type connectResult int

const (
	connectAccepted connectResult = iota
	connectRefused
	connectLost
)

// cut discards, or delays, the datagrams that it matches.
type cut struct {
	matches func(from, to registry.Host) bool
	delay   time.Duration // 0 discards
}

// impairment is the loss and delay of a link in addition to the usual ones.
type impairment struct {
	loss  float64
	delay time.Duration
}

func newNetwork(seed uint64) *network {
	return &network{
		seed: seed, sockets: make(map[netip.AddrPort]*socket), sent: make(map[[8]byte]uint64),
		cuts: make(map[*cut]bool), impaired: make(map[registry.Host]impairment),
		latePulls: make(map[registry.Host]time.Duration),
	}
}

// draw returns two numbers from 0 to 1 for the next datagram of a link.
func (n *network) draw(from, to registry.Host) (loss, jitter float64) {
	link := [8]byte(append(from[:], to[:]...))
	n.sent[link]++
	var b [24]byte
	copy(b[:], link[:])
	binary.BigEndian.PutUint64(b[8:], n.sent[link])
	binary.BigEndian.PutUint64(b[16:], n.seed)
	h := xxhash.Sum64(b[:])
	return float64(h>>32) / (1 << 32), float64(h&0xffffffff) / (1 << 32)
}

func hostOf(a netip.AddrPort) registry.Host { return registry.Host(a.Addr().As4()) }

// dataCentreOf returns the data centre of a host, which is the second byte of its address,
// or the third one of the address of a caller.
func dataCentreOf(h registry.Host) int {
	if h[0] == callerNet {
		return int(h[2])
	}
	return int(h[1])
}

// blocked reports whether a cut discards datagrams of the link. The caller holds n.mu.
func (n *network) blocked(from, to registry.Host) bool {
	for c := range n.cuts {
		if c.delay == 0 && c.matches(from, to) {
			return true
		}
	}
	return false
}

// cutDelay returns the delay of a datagram by the cuts that match it. The caller holds n.mu.
func (n *network) cutDelay(from, to registry.Host) time.Duration {
	var d time.Duration
	for c := range n.cuts {
		if c.matches(from, to) {
			d = max(d, c.delay)
		}
	}
	return d
}

func (n *network) cut(c *cut) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[c] = true
}

func (n *network) mend(c *cut) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, c)
}

// impair sets the additional loss and delay of the link of a host.
func (n *network) impair(h registry.Host, i impairment) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.impaired[h] = i
}

// send delivers a datagram after the delay of the link, unless it is lost.
func (n *network) send(from, to netip.AddrPort, b []byte) {
	n.mu.Lock()
	a, z := hostOf(from), hostOf(to)
	lost, delay := false, localDelay
	if a != z {
		loss, jitter := n.draw(a, z)
		delay = nearDelay
		if dataCentreOf(a) != dataCentreOf(z) {
			delay = farDelay
		}
		delay += time.Duration(jitter * float64(linkJitter))
		delay += n.impaired[a].delay + n.impaired[z].delay + n.cutDelay(a, z)
		lost = n.blocked(a, z) || loss < linkLoss+n.impaired[a].loss+n.impaired[z].loss
	}
	n.mu.Unlock()
	n.observe(from, to, b, lost)
	if lost {
		return
	}
	d := datagram{b: append([]byte(nil), b...), from: from}
	time.AfterFunc(delay, func() { n.deliver(d, to) })
}

func (n *network) deliver(d datagram, to netip.AddrPort) {
	n.receive(d, to)
	n.mu.Lock()
	s := n.sockets[to]
	n.delivered++
	n.mu.Unlock()
	if s == nil {
		return
	}
	d.due = time.Now().Add(s.host.state.delay())
	select {
	case s.queue <- d:
	default: // the receive buffer is full
	}
}

// processState is the state of one run of a process. The network of a process that was killed or is frozen
// neither sends nor receives.
type processState struct {
	mu      sync.Mutex
	dead    bool
	lag     time.Duration // of datagrams and ticks
	resumed chan struct{} // closed when a frozen process continues; nil while it runs
	gates   int           // goroutines that a freeze stops
	wakes   int           // freezes that ended
}

// wakeStep is the delay between two goroutines of a process that continue after a freeze,
// and wakeSteps the number of such delays.
const (
	wakeStep  = 5 * time.Millisecond
	wakeSteps = 4
)

func (p *processState) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead = true
}

// freeze stops the process until thaw is called.
func (p *processState) freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resumed = make(chan struct{})
}

func (p *processState) thaw() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.resumed)
	p.resumed = nil
	p.wakes++
}

// addGate returns the number of one more goroutine that a freeze stops.
func (p *processState) addGate() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gates++
	return p.gates
}

// wakeDelay returns how long after a freeze a goroutine continues. The order of goroutines
// differs from one freeze to the next.
func (p *processState) wakeDelay(number int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration((number*7+p.wakes*3)%wakeSteps) * wakeStep
}

func (p *processState) frozen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resumed != nil
}

func (p *processState) setLag(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lag = d
}

func (p *processState) delay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lag
}

// gate blocks while the process is frozen, and reports whether it was.
func (p *processState) gate() (blocked bool) {
	p.mu.Lock()
	resumed := p.resumed
	p.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
	return resumed != nil
}

// gateInOrder is gate for one of several goroutines that continue one after the other.
func (p *processState) gateInOrder(ctx context.Context, number int) {
	if p.gate() {
		sleep(ctx, p.wakeDelay(number))
	}
}

// delayTicks returns a channel that delivers the ticks of in, but none while the process is frozen.
func (p *processState) delayTicks(in <-chan time.Time) (<-chan time.Time, func()) {
	out := make(chan time.Time, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go p.passTicks(ctx, in, out)
	return out, cancel
}

// passTicks forwards ticks until ctx is done.
func (p *processState) passTicks(ctx context.Context, in <-chan time.Time, out chan<- time.Time) {
	number := p.addGate()
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-in:
			if lag := p.delay(); lag > 0 {
				sleep(ctx, lag)
			}
			p.gateInOrder(ctx, number)
			select {
			case out <- t:
			default: // the receiver is slow
			}
		}
	}
}

func (p *processState) killed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

// hostNetwork is the network as one process uses it. It implements edge.Network.
type hostNetwork struct {
	*network
	host  registry.Host
	state *processState
}

// socket is a bound address. It implements edge.PacketSocket.
type socket struct {
	host  hostNetwork
	addr  netip.AddrPort
	pause *timer.PauseDetector
	queue chan datagram
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// listener accepts the connections of a socket.
type listener struct{ *socket }

func (h hostNetwork) bind(addr netip.AddrPort, d *timer.PauseDetector) (*socket, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.sockets[addr]; old != nil && !old.host.state.killed() {
		return nil, &exchange.ListenError{Address: addr, Cause: syscall.EADDRINUSE}
	}
	s := &socket{host: h, addr: addr, pause: d, queue: make(chan datagram, socketQueue), conns: make(chan net.Conn), done: make(chan struct{})}
	h.sockets[addr] = s
	return s, nil
}

func (h hostNetwork) Open(bind netip.AddrPort, d *timer.PauseDetector) (exchange.Socket, net.Listener, error) {
	s, err := h.bind(bind, d)
	if err != nil {
		return nil, nil, err
	}
	return s, listener{s}, nil
}

func (h hostNetwork) OpenPackets(bind netip.AddrPort, d *timer.PauseDetector) (edge.PacketSocket, error) {
	s, err := h.bind(bind, d)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// Dial connects to the exchange port of a process or to an upstream.
func (h hostNetwork) Dial(ctx context.Context, to netip.AddrPort, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	h.mu.Lock()
	s, z := h.sockets[to], hostOf(to)
	lost := h.state.killed() || z != h.host && (h.blocked(h.host, z) || h.blocked(z, h.host))
	late := h.latePulls[h.host] + h.latePulls[z]
	h.mu.Unlock()
	if late > 0 && !sleep(ctx, late) {
		return nil, ctx.Err()
	}
	client, server := net.Pipe()
	if s == nil && !lost {
		switch h.connects(to) {
		case connectAccepted:
			return client, nil
		case connectRefused:
			return nil, syscall.ECONNREFUSED
		case connectLost:
		}
	}
	if s == nil || lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case s.conns <- server:
		return client, nil
	case <-s.done:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (s *socket) Address() netip.AddrPort { return s.addr }

// Counts returns no totals: balancers on links of unknown capacity do not use them.
func (s *socket) Counts() udp.Counts { return udp.Counts{} }

func (s *socket) Send(b []byte, to netip.AddrPort) {
	if !s.host.state.killed() {
		s.host.send(s.addr, to, b)
	}
}

// Run passes received datagrams to a handler until ctx is done. As package udp does, it
// drops those that waited through a pause.
func (s *socket) Run(ctx context.Context, newHandler func() udp.Handler) {
	h := newHandler()
	defer s.Close()
	epoch, number := s.pause.Epoch(), s.host.state.addGate()
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-s.queue:
			if wait := time.Until(d.due); wait > 0 {
				sleep(ctx, wait)
			}
			s.host.state.gateInOrder(ctx, number)
			if current := s.pause.Epoch(); current != epoch {
				epoch = current
				s.discardBacklog()
			} else if !s.host.state.killed() {
				h(d.b, d.from)
			}
		}
	}
}

// discardBacklog drops the datagrams that wait in the socket.
func (s *socket) discardBacklog() {
	for {
		select {
		case <-s.queue:
		default:
			return
		}
	}
}

// Close frees the address.
func (s *socket) Close() {
	s.once.Do(func() {
		close(s.done)
		s.host.mu.Lock()
		defer s.host.mu.Unlock()
		if s.host.sockets[s.addr] == s {
			delete(s.host.sockets, s.addr)
		}
	})
}

func (l listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		l.host.state.gate()
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l listener) Close() error {
	l.socket.Close()
	return nil
}

func (l listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }
