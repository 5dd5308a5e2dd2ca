package main

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/platform"
	"github.com/corianderbay/corianderbay/platform/standin"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
)

const (
	openTimeout  = 1400 * time.Millisecond
	deadline     = 4 * time.Second
	firstPort    = 2000
	calmRequests = 3 // on each flow before the first move
	maxRetryWait = 1600 * time.Millisecond
)

// callers keep flows open and send requests on them. Their packets go to a balancer of the
// zone that they are in.
type callers struct {
	self    registry.Endpoint // without a port
	to      registry.Endpoint
	routers map[string][]standin.Host
	rec     *record
	conn    *net.UDPConn
	wg      sync.WaitGroup
	moves   []chan struct{} // one for each move, closed at it

	mu      sync.Mutex
	zone    string
	waiting map[uint16]chan answer
}

// answer is a packet that a caller received.
type answer struct {
	packet steer.Packet
	data   string
}

func startCallers(h standin.Host, routers map[string][]standin.Host, rec *record) (*callers, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.AddrPort(ports.Packets)))
	if err != nil {
		return nil, err
	}
	c := &callers{
		self: registry.Endpoint{Host: registry.Host(h.Address.As4())}, to: registry.Endpoint{Host: registry.Host(address.Addr().As4()), Port: address.Port()},
		routers: routers, rec: rec, conn: conn, zone: home, waiting: make(map[uint16]chan answer),
	}
	for range visits {
		c.moves = append(c.moves, make(chan struct{}))
	}
	go c.receive()
	for n := range uint16(flowCount) {
		c.wg.Go(func() { c.use(firstPort + n) })
	}
	return c, nil
}

// moveTo moves the callers to another zone.
func (c *callers) moveTo(zone string) {
	c.mu.Lock()
	c.zone = zone
	c.mu.Unlock()
	c.rec.note("callers move to %s", zone)
	close(c.moves[slices.Index(visits, zone)])
}

// wait waits until all flows are closed.
func (c *callers) wait() {
	c.wg.Wait()
	time.Sleep(200 * time.Millisecond)
	c.conn.Close()
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

// use opens a flow and sends requests on it: some at once, one after each move.
func (c *callers) use(port uint16) {
	inbox := make(chan answer, 16)
	c.mu.Lock()
	c.waiting[port] = inbox
	c.mu.Unlock()
	self := c.self
	self.Port = port
	p := steer.Packet{Source: self, Destination: c.to, Flags: steer.SYN, Sequence: uint32(port) << 14}
	opened, ok := c.exchange(p, "", openTimeout, inbox)
	if !ok {
		c.rec.note("port %d: the flow did not open", port)
		return
	}
	p.Flags, p.Sequence, p.Acknowledged = steer.ACK, p.Sequence+1, opened.packet.Sequence+1
	for n := range calmRequests + len(c.moves) {
		if n >= calmRequests {
			<-c.moves[n-calmRequests]
		}
		id := fmt.Sprintf("req-%d-%d", port, n)
		request := fmt.Sprintf("GET /feed HTTP/1.1\r\nHost: %s\r\n%s%s\r\n\r\n", address, requestID, id)
		c.rec.note("request %s sent", id)
		a, ok := c.exchange(p, request, deadline, inbox)
		c.rec.answer(id, a.data, ok)
		if !ok {
			return
		}
		p.Sequence += uint32(len(request))
		p.Acknowledged += uint32(len(a.data))
		c.send(p, "") // acknowledges the answer
		if n < calmRequests {
			time.Sleep(300 * time.Millisecond)
		}
	}
	p.Flags |= steer.FIN
	c.send(p, "")
}

// exchange sends a packet, again until an answer arrives, and returns the answer.
func (c *callers) exchange(p steer.Packet, data string, timeout time.Duration, inbox <-chan answer) (answer, bool) {
	end, delay := time.After(timeout), 200*time.Millisecond
	for {
		c.send(p, data)
		if p.Opens() {
			p.Acknowledged++ // counts the copies
		}
		wait := time.After(delay)
		delay = min(2*delay, maxRetryWait)
		for waiting := true; waiting; {
			select {
			case a := <-inbox:
				switch {
				case a.packet.Flags.Has(steer.RST):
					return answer{data: "reset"}, false
				case p.Opens() && a.packet.Flags.Has(steer.SYN), a.data != "" && a.packet.Sequence == p.Acknowledged:
					return a, p.Opens() || strings.HasPrefix(a.data, "HTTP/1.1 200")
				}
			case <-wait:
				waiting = false
			case <-end:
				return answer{data: "no answer before the deadline"}, false
			}
		}
	}
}

// send sends a packet to the balancer that the routers select for its flow.
func (c *callers) send(p steer.Packet, data string) {
	c.mu.Lock()
	list := c.routers[c.zone]
	c.mu.Unlock()
	b := list[int(p.Source.Port)%len(list)]
	_, _ = c.conn.WriteToUDPAddrPort(standin.Encode(p, []byte(data)), b.AddrPort(ports.Packets))
}
