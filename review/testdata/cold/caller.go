package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/platform"
	"github.com/corianderbay/corianderbay/platform/standin"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
)

const (
	// demand is the number of requests per second, each on a flow of its own. Warm upstreams
	// bear 200.
	demand = 130
	// openTimeout is the time after which an attempt to open a flow ends.
	openTimeout = 1400 * time.Millisecond
	deadline    = 2 * time.Second
)

// retransmissions are the times of the copies of an opening after the first one.
var retransmissions = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

// callers opens flows and sends one request on each. The balancers are in rotation all the
// time; packets are distributed over them by the port, as routers do by a hash.
type callers struct {
	self      registry.Endpoint // without a port
	to        registry.Endpoint
	balancers []standin.Host
	rec       *record
	conn      *net.UDPConn
	done      chan struct{}
	wg        sync.WaitGroup

	mu      sync.Mutex
	waiting map[uint16]chan answer
}

// answer is a packet that a caller received.
type answer struct {
	packet steer.Packet
	data   string
}

func startCallers(h standin.Host, balancers []standin.Host, rec *record) (*callers, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.AddrPort(ports.Packets)))
	if err != nil {
		return nil, err
	}
	c := &callers{
		self: registry.Endpoint{Host: registry.Host(h.Address.As4())}, to: registry.Endpoint{Host: registry.Host(address.Addr().As4()), Port: address.Port()},
		balancers: balancers, rec: rec, conn: conn, done: make(chan struct{}), waiting: make(map[uint16]chan answer),
	}
	go c.receive()
	go c.run()
	return c, nil
}

// stop starts no more requests, and waits for those under way.
func (c *callers) stop() {
	close(c.done)
	time.Sleep(openTimeout + deadline)
	c.conn.Close()
	c.wg.Wait()
}

func (c *callers) receive() {
	buf := make([]byte, 2048)
	for {
		n, err := c.conn.Read(buf)
		if err != nil {
			return
		}
		var p steer.Packet
		if err := (platform.Codec{}).Decode(buf[:n], &p); err != nil {
			continue
		}
		c.mu.Lock()
		w := c.waiting[p.Destination.Port]
		c.mu.Unlock()
		select {
		case w <- answer{p, string(buf[headSize:n])}:
		default:
		}
	}
}

func (c *callers) run() {
	tick := time.NewTicker(time.Second / demand)
	defer tick.Stop()
	for port := uint16(2000); ; port++ {
		select {
		case <-c.done:
			return
		case <-tick.C:
		}
		c.wg.Go(func() { c.request(port) })
	}
}

// request opens a flow, sends a request and closes the flow after the answer.
func (c *callers) request(port uint16) {
	inbox := make(chan answer, 16)
	c.mu.Lock()
	c.waiting[port] = inbox
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waiting, port)
		c.mu.Unlock()
	}()
	self := c.self
	self.Port = port
	id := fmt.Sprintf("req-%d", port)
	p := steer.Packet{Source: self, Destination: c.to, Flags: steer.SYN, Sequence: uint32(port) << 14}
	opened, ok := c.open(p, inbox)
	if !ok {
		c.rec.refused(id)
		return
	}
	p.Flags, p.Sequence, p.Acknowledged = steer.ACK, p.Sequence+1, opened.Sequence+1
	request := fmt.Sprintf("POST /book HTTP/1.1\r\nHost: %s\r\n%s%s\r\nContent-Length: 0\r\n\r\n", address, requestID, id)
	text, ok := c.ask(p, request, inbox)
	c.rec.answer(id, text, ok)
	p.Flags |= steer.FIN
	p.Sequence += uint32(len(request))
	p.Acknowledged += uint32(len(text))
	c.send(p, "")
}

// open sends an opening and its copies until the flow is accepted, refused or given up.
func (c *callers) open(p steer.Packet, inbox <-chan answer) (steer.Packet, bool) {
	begin := time.Now()
	for _, until := range append(retransmissions, openTimeout) {
		c.rec.sent(p.CallerKey())
		c.send(p, "")
		p.Acknowledged++ // counts the copies
		wait := time.After(time.Until(begin.Add(until)))
		for waiting := true; waiting; {
			select {
			case a := <-inbox:
				if a.packet.Flags.Has(steer.RST) {
					return a.packet, false
				}
				if a.packet.Flags.Has(steer.SYN | steer.ACK) {
					return a.packet, true
				}
			case <-wait:
				waiting = false
			}
		}
	}
	return steer.Packet{}, false
}

// ask sends a request, again when no answer arrives, and returns the answer.
func (c *callers) ask(p steer.Packet, request string, inbox <-chan answer) (string, bool) {
	end, delay := time.After(deadline), 200*time.Millisecond
	for {
		c.send(p, request)
		wait := time.After(delay)
		delay = min(2*delay, 1600*time.Millisecond)
		for waiting := true; waiting; {
			select {
			case a := <-inbox:
				if a.packet.Flags.Has(steer.RST) {
					return "reset", false
				}
				if a.data != "" {
					return a.data, strings.HasPrefix(a.data, "HTTP/1.1 200")
				}
			case <-wait:
				waiting = false
			case <-end:
				return "no answer before the deadline", false
			}
		}
	}
}

func (c *callers) send(p steer.Packet, data string) {
	b := c.balancers[int(p.Source.Port)%len(c.balancers)]
	_, _ = c.conn.WriteToUDPAddrPort(standin.Encode(p, []byte(data)), b.AddrPort(ports.Packets))
}

// idOf returns the id of a request.
func idOf(request string) string {
	_, rest, _ := strings.Cut(request, requestID)
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}
