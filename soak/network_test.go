package soak_test

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// network forwards the traffic between processes and injects link faults. Each
// process is bound to an address that is unknown to the others; the network
// listens on the advertised address, and forwards datagrams with the advertised
// address of the sender as source. It is safe for concurrent use.
type network struct {
	port    uint16
	wg      conc.WaitGroup
	delayed conc.WaitGroup // waits for delayed datagrams

	mu        sync.Mutex
	rand      *rand.Rand
	endpoints map[netip.Addr]*endpoint // by bound address
	faults    []*linkFault
	closed    bool
}

// endpoint holds the addresses and sockets for one process.
type endpoint struct {
	advertised, bound netip.Addr
	datagrams         *net.UDPConn
	streams           *proxy
}

// linkFault is a fault on the links that matches selects.
type linkFault struct {
	matches func(from, to *endpoint) bool
	// loss and duplicate are probabilities from 0 to 1.
	loss, duplicate float64
	// delay is the maximum of the random delay of a datagram. Delayed datagrams are reordered.
	delay time.Duration
}

func newNetwork(port uint16, seed uint64) *network {
	return &network{port: port, rand: rand.New(rand.NewPCG(seed, 2)), endpoints: make(map[netip.Addr]*endpoint)}
}

// add starts forwarding to a process from its advertised to its bound address.
func (n *network) add(advertised, bound netip.Addr) error {
	at := netip.AddrPortFrom(advertised, n.port)
	datagrams, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return err
	}
	streams, err := newProxy(at, netip.AddrPortFrom(bound, n.port))
	if err != nil {
		datagrams.Close()
		return err
	}
	e := &endpoint{advertised: advertised, bound: bound, datagrams: datagrams, streams: streams}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endpoints[bound] = e
	n.wg.Go(func() { n.forward(e) })
	return nil
}

// close stops forwarding and waits for all goroutines.
func (n *network) close() {
	n.mu.Lock()
	n.closed = true
	for _, e := range n.endpoints {
		e.datagrams.Close()
	}
	n.mu.Unlock()
	n.delayed.Wait()
	n.wg.Wait()
	for _, e := range n.endpoints {
		e.streams.close()
	}
}

// forward forwards the datagrams to one endpoint until its socket is closed.
func (n *network) forward(to *endpoint) {
	buf := make([]byte, 64<<10)
	for {
		size, source, err := to.datagrams.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		for _, delay := range n.arrivalDelays(source.Addr().Unmap(), to) {
			n.deliver(source.Addr().Unmap(), to, slices.Clone(buf[:size]), delay)
		}
	}
}

// arrivalDelays returns the delay of each copy of a datagram, or none if it is lost.
func (n *network) arrivalDelays(from netip.Addr, to *endpoint) []time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	sender := n.endpoints[from]
	if sender == nil {
		return nil // not a process of this testbed
	}
	arrivals := []time.Duration{0}
	for _, f := range n.faults {
		if !f.matches(sender, to) {
			continue
		}
		if n.rand.Float64() < f.loss {
			return nil
		}
		if n.rand.Float64() < f.duplicate {
			arrivals = append(arrivals, 0)
		}
		for i := range arrivals {
			arrivals[i] += time.Duration(n.rand.Int64N(int64(f.delay) + 1))
		}
	}
	return arrivals
}

func (n *network) deliver(from netip.Addr, to *endpoint, b []byte, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	sender := n.endpoints[from]
	send := func() {
		// A failed write is a lost datagram.
		_, _ = sender.datagrams.WriteToUDPAddrPort(b, netip.AddrPortFrom(to.bound, n.port))
	}
	if delay == 0 || n.closed {
		send()
		return
	}
	n.delayed.Go(func() {
		time.Sleep(delay)
		send()
	})
}

func (n *network) addFault(f *linkFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = append(n.faults, f)
}

func (n *network) removeFault(f *linkFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = slices.DeleteFunc(n.faults, func(other *linkFault) bool { return other == f })
}

// injectLinkFault adds a link fault and removes it after d.
func (tb *testbed) injectLinkFault(d time.Duration, f *linkFault) {
	tb.network.addFault(f)
	tb.injectFault(d, func() { tb.network.removeFault(f) })
}

// cutLink drops all datagrams from one process to another, and in half of the cases also in the other direction.
func (tb *testbed) cutLink() bool {
	all := tb.processes()
	a, b := all[tb.rand.IntN(len(all))].host, all[tb.rand.IntN(len(all))].host
	both := tb.rand.IntN(2) == 0
	d := tb.randomDuration(200*time.Millisecond, 5*time.Second)
	tb.logAction("link from %s to %s cut for %v (both directions: %t)", a.Name, b.Name, d, both)
	tb.injectLinkFault(d, &linkFault{loss: 1, matches: func(from, to *endpoint) bool {
		return from.advertised == a.Address && to.advertised == b.Address ||
			both && from.advertised == b.Address && to.advertised == a.Address
	}})
	return true
}

// isolateProcess drops all datagrams from and to a process, and the streams to it.
func (tb *testbed) isolateProcess() bool {
	p := tb.randomProcess(tb.processes())
	if p == nil {
		return false
	}
	d := tb.randomDuration(200*time.Millisecond, 5*time.Second)
	tb.logAction("%s: isolated for %v", p.host.Name, d)
	f := &linkFault{loss: 1, matches: func(from, to *endpoint) bool {
		return from.advertised == p.host.Address || to.advertised == p.host.Address
	}}
	streams := tb.network.streamsOf(p.host.Address)
	streams.setMode(linkDropAll)
	tb.network.addFault(f)
	tb.injectFault(d, func() {
		tb.network.removeFault(f)
		streams.setMode(linkNormal)
	})
	return true
}

// delayPulls drops the data of streams to a random share of the processes, so that others pull
// from them in vain and adopt versions at different times.
func (tb *testbed) delayPulls() bool {
	share := tb.rand.Float64()
	var degraded []*proxy
	for _, p := range tb.processes() {
		if streams := tb.network.streamsOf(p.host.Address); tb.rand.Float64() < share && streams.currentMode() == linkNormal {
			degraded = append(degraded, streams)
		}
	}
	d := tb.randomDuration(500*time.Millisecond, 5*time.Second)
	tb.logAction("streams to %d processes drop data for %v", len(degraded), d)
	for _, streams := range degraded {
		streams.setMode(linkDropAll)
	}
	tb.injectFault(d, func() {
		for _, streams := range degraded {
			streams.setMode(linkNormal)
		}
	})
	return true
}

// degradeLinks drops, delays, reorders and duplicates some datagrams from and to a process.
func (tb *testbed) degradeLinks() bool {
	all := tb.processes()
	p := all[tb.rand.IntN(len(all))].host
	d := tb.randomDuration(500*time.Millisecond, 5*time.Second)
	f := &linkFault{
		loss:      tb.rand.Float64() / 2,
		duplicate: tb.rand.Float64() / 2,
		delay:     time.Duration(tb.rand.IntN(300)) * time.Millisecond,
		matches:   func(from, to *endpoint) bool { return from.advertised == p.Address || to.advertised == p.Address },
	}
	tb.logAction("%s: links lose %.2f, duplicate %.2f and delay up to %v, for %v", p.Name, f.loss, f.duplicate, f.delay, d)
	tb.injectLinkFault(d, f)
	return true
}

// partition divides the processes into two random groups and drops all datagrams between them.
func (tb *testbed) partition() bool {
	group := make(map[netip.Addr]bool)
	var names []string
	for _, p := range tb.processes() {
		if tb.rand.IntN(2) == 0 {
			group[p.host.Address] = true
			names = append(names, p.host.Name)
		}
	}
	d := tb.randomDuration(200*time.Millisecond, 5*time.Second)
	tb.logAction("%v: partitioned from the others for %v", names, d)
	tb.injectLinkFault(d, &linkFault{loss: 1, matches: func(from, to *endpoint) bool { return group[from.advertised] != group[to.advertised] }})
	return true
}

// streamsOf returns the proxy for streams to a process, or nil.
func (n *network) streamsOf(advertised netip.Addr) *proxy {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range n.endpoints {
		if e.advertised == advertised {
			return e.streams
		}
	}
	return nil
}
