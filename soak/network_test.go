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

// network carries what the processes of the system send each other. Each is
// bound to an address that the others do not know; the network owns the one
// that they know, and sends on from the address of the sender. It is safe for
// concurrent use.
type network struct {
	port  uint16
	wg    conc.WaitGroup
	pends conc.WaitGroup // datagrams that are delayed

	mu     sync.Mutex
	random *rand.Rand
	ends   map[netip.Addr]*end // by the address that a process is bound to
	faults []*linkFault
	closed bool
}

// end is where one process is reached.
type end struct {
	known, bound netip.Addr
	datagrams    *net.UDPConn
	streams      *proxy
}

// linkFault is trouble on some links, from one end to another.
type linkFault struct {
	covers func(from, to *end) bool
	// loss and copies are the shares of datagrams that are lost, or arrive twice.
	loss, copies float64
	// delay is up to how late a datagram arrives; later ones overtake it.
	delay time.Duration
}

func newNetwork(port uint16, seed uint64) *network {
	return &network{port: port, random: rand.New(rand.NewPCG(seed, 2)), ends: make(map[netip.Addr]*end)}
}

// add begins to carry for a process that others know by one address and that is bound to another.
func (n *network) add(known, bound netip.Addr) error {
	at := netip.AddrPortFrom(known, n.port)
	datagrams, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return err
	}
	streams, err := newProxy(at, netip.AddrPortFrom(bound, n.port))
	if err != nil {
		datagrams.Close()
		return err
	}
	e := &end{known: known, bound: bound, datagrams: datagrams, streams: streams}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ends[bound] = e
	n.wg.Go(func() { n.carry(e) })
	return nil
}

// close ends the network and waits for it.
func (n *network) close() {
	n.mu.Lock()
	n.closed = true
	for _, e := range n.ends {
		e.datagrams.Close()
	}
	n.mu.Unlock()
	n.pends.Wait()
	n.wg.Wait()
	for _, e := range n.ends {
		e.streams.close()
	}
}

// carry takes the datagrams for one end.
func (n *network) carry(to *end) {
	buf := make([]byte, 64<<10)
	for {
		size, source, err := to.datagrams.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		for _, delay := range n.fate(source.Addr().Unmap(), to) {
			n.deliver(source.Addr().Unmap(), to, slices.Clone(buf[:size]), delay)
		}
	}
}

// fate returns after which delays copies of a datagram arrive; none when it is lost.
func (n *network) fate(from netip.Addr, to *end) []time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	sender := n.ends[from]
	if sender == nil {
		return nil // nobody of this world
	}
	arrivals := []time.Duration{0}
	for _, f := range n.faults {
		if !f.covers(sender, to) {
			continue
		}
		if n.random.Float64() < f.loss {
			return nil
		}
		if n.random.Float64() < f.copies {
			arrivals = append(arrivals, 0)
		}
		for i := range arrivals {
			arrivals[i] += time.Duration(n.random.Int64N(int64(f.delay) + 1))
		}
	}
	return arrivals
}

func (n *network) deliver(from netip.Addr, to *end, b []byte, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	sender := n.ends[from]
	send := func() {
		// An error is a datagram that is lost, as on any network.
		_, _ = sender.datagrams.WriteToUDPAddrPort(b, netip.AddrPortFrom(to.bound, n.port))
	}
	if delay == 0 || n.closed {
		send()
		return
	}
	n.pends.Go(func() {
		time.Sleep(delay)
		send()
	})
}

// begin starts trouble.
func (n *network) begin(f *linkFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = append(n.faults, f)
}

// over ends trouble.
func (n *network) over(f *linkFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = slices.DeleteFunc(n.faults, func(other *linkFault) bool { return other == f })
}

// harm begins trouble that ends after d.
func (w *world) harm(d time.Duration, f *linkFault) {
	w.network.begin(f)
	w.strike(d, func() { w.network.over(f) })
}

// cutLink loses what one process sends to another, and half of the time what comes back.
func (w *world) cutLink() bool {
	all := w.processes()
	a, b := all[w.random.IntN(len(all))].host, all[w.random.IntN(len(all))].host
	both := w.random.IntN(2) == 0
	d := w.between(200*time.Millisecond, 5*time.Second)
	w.note("the link from %s to %s is cut for %v (both ways: %t)", a.Name, b.Name, d, both)
	w.harm(d, &linkFault{loss: 1, covers: func(from, to *end) bool {
		return from.known == a.Address && to.known == b.Address ||
			both && from.known == b.Address && to.known == a.Address
	}})
	return true
}

// isolate cuts a process off from all others, also for streams.
func (w *world) isolate() bool {
	p := w.anyProcess(w.processes())
	if p == nil {
		return false
	}
	d := w.between(200*time.Millisecond, 5*time.Second)
	w.note("%s is cut off for %v", p.host.Name, d)
	f := &linkFault{loss: 1, covers: func(from, to *end) bool {
		return from.known == p.host.Address || to.known == p.host.Address
	}}
	streams := w.network.streamsOf(p.host.Address)
	streams.set(linkSilent)
	w.network.begin(f)
	w.strike(d, func() {
		w.network.over(f)
		streams.set(linkPass)
	})
	return true
}

// disturb loses, delays, reorders and doubles a part of what a process sends and gets.
func (w *world) disturb() bool {
	all := w.processes()
	p := all[w.random.IntN(len(all))].host
	d := w.between(500*time.Millisecond, 5*time.Second)
	f := &linkFault{
		loss:   w.random.Float64() / 2,
		copies: w.random.Float64() / 2,
		delay:  time.Duration(w.random.IntN(300)) * time.Millisecond,
		covers: func(from, to *end) bool { return from.known == p.Address || to.known == p.Address },
	}
	w.note("the links of %s lose %.2f, double %.2f and delay up to %v for %v", p.Name, f.loss, f.copies, f.delay, d)
	w.harm(d, f)
	return true
}

// divide parts the processes into two groups that do not reach each other.
func (w *world) divide() bool {
	one := make(map[netip.Addr]bool)
	var names []string
	for _, p := range w.processes() {
		if w.random.IntN(2) == 0 {
			one[p.host.Address] = true
			names = append(names, p.host.Name)
		}
	}
	d := w.between(200*time.Millisecond, 5*time.Second)
	w.note("%v are parted from the others for %v", names, d)
	w.harm(d, &linkFault{loss: 1, covers: func(from, to *end) bool { return one[from.known] != one[to.known] }})
	return true
}

// streamsOf returns the proxy for streams to a process.
func (n *network) streamsOf(known netip.Addr) *proxy {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range n.ends {
		if e.known == known {
			return e.streams
		}
	}
	return nil
}
