package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// client is a host that opens flows from one zone.
type client struct {
	lab  *lab
	host netip.Addr
	conn *net.UDPConn

	mu    sync.Mutex
	zone  string
	port  uint16
	flows map[uint16]*flow
}

// flow is one flow of a client.
type flow struct {
	client *client
	key    flowKey
	isn    uint32

	mu       sync.Mutex
	open     bool
	expected uint32 // next byte of the backend
	next     uint32 // next own byte
	got      bytes.Buffer
	wake     chan struct{}
	reset    bool
	finSeen  bool
	closed   bool
	late     map[uint32][]byte
}

var (
	errReset   = errors.New("reset")
	errTimeout = errors.New("no answer")
)

func (l *lab) startClient(host netip.Addr, zone string) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(host, portPackets)))
	if err != nil {
		return nil, err
	}
	c := &client{lab: l, host: host, conn: conn, zone: zone, port: 1024, flows: make(map[uint16]*flow)}
	go c.receive()
	return c, nil
}

// move moves the client to another zone.
func (c *client) move(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zone = zone
	c.lab.rec.line("client %s moves to zone %s", c.host, zone)
}

func (c *client) receive() {
	buf := make([]byte, 2048)
	for {
		n, err := c.conn.Read(buf)
		if err != nil {
			return
		}
		p, sound, reset, ok := decode(buf[:n])
		if !ok || !sound && !reset {
			c.lab.fault("MIXED", "client %s got a packet that its sender didn't write so", c.host)
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if f == nil || f.key.route != p.src || f.key.client != p.dst {
			if reset {
				c.lab.rec.line("client %s gets a reset for port %d, which has no flow", c.host, p.dst.Port())
			}
			continue
		}
		f.take(&p, reset)
	}
}

// take handles a packet of the flow.
func (f *flow) take(p *packet, reset bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.client.lab
	if p.flags&flagRST != 0 {
		inside := !f.open || p.seq-f.expected+window <= 2*window
		l.gotReset(f, p, reset, inside)
		if inside {
			f.reset = true
			f.notify()
		}
		return
	}
	if p.flags&flagSYN != 0 {
		if !f.open && p.ack == f.isn+1 {
			f.open, f.expected, f.next = true, p.seq+1, f.isn+1
			f.transmit(flagACK, f.next, nil)
			f.notify()
		}
		return
	}
	if !f.open {
		return
	}
	fin := p.flags&flagFIN != 0
	if len(p.data) == 0 && !fin {
		f.notify()
		return
	}
	if int32(p.seq-f.expected) > 0 {
		f.late[p.seq] = append(p.data, boolByte(fin))
	}
	for p.seq == f.expected {
		f.got.Write(p.data)
		f.expected += uint32(len(p.data))
		if fin {
			f.finSeen = true
			f.expected++
		}
		next, held := f.late[f.expected]
		if !held {
			break
		}
		delete(f.late, f.expected)
		p = &packet{seq: f.expected, data: next[:len(next)-1]}
		fin = next[len(next)-1] == 1
	}
	f.transmit(flagACK, f.next, nil)
	f.notify()
}

func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}

func (f *flow) notify() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// transmit sends one packet through the balancer that the router selects.
func (f *flow) transmit(flags byte, seq uint32, data []byte) {
	c := f.client
	c.mu.Lock()
	zone := c.zone
	c.mu.Unlock()
	to, name := c.lab.router.pick(f.key, zone)
	ack := f.expected
	if flags&flagSYN != 0 {
		c.lab.rec.line("client opens flow %s > %s through %s", f.key.client, f.key.route, name)
	}
	_, _ = c.conn.WriteToUDPAddrPort(encode(&packet{src: f.key.client, dst: f.key.route, flags: flags, seq: seq, ack: ack, data: data}), to)
}

// openFlow opens a flow from a new port, or from the given one.
func (c *client) openFlow(route netip.AddrPort, port uint16) (*flow, error) {
	c.mu.Lock()
	if port == 0 {
		c.port++
		port = c.port
	}
	f := &flow{client: c, key: flowKey{netip.AddrPortFrom(c.host, port), route}, isn: rand.Uint32(), wake: make(chan struct{}, 1), late: make(map[uint32][]byte)}
	c.flows[port] = f
	c.mu.Unlock()
	start := time.Now()
	copies := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	for {
		f.mu.Lock()
		if f.reset {
			f.mu.Unlock()
			return f, errReset
		}
		if f.open {
			f.mu.Unlock()
			return f, nil
		}
		age := time.Since(start)
		if len(copies) > 0 && age >= copies[0] {
			copies = copies[1:]
			f.expected = uint32(2 - len(copies)) // counts the copies
			f.transmit(flagSYN, f.isn, nil)
		}
		f.mu.Unlock()
		if age >= 1400*time.Millisecond {
			return f, errTimeout
		}
		wait := 1400*time.Millisecond - age
		if len(copies) > 0 {
			wait = copies[0] - time.Since(start)
		}
		select {
		case <-f.wake:
		case <-time.After(max(wait, time.Millisecond)):
		}
	}
}

// request sends one request and returns the body of the answer.
func (f *flow) request(id string, query string, deadline time.Duration) (string, error) {
	l := f.client.lab
	head := []byte(fmt.Sprintf("POST /work?%s HTTP/1.1\r\nHost: %s\r\nCorianderbay-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", query, f.key.route, id))
	l.sent(id, f)
	f.mu.Lock()
	f.got.Reset()
	seq := f.next
	f.next += uint32(len(head))
	f.mu.Unlock()
	end := time.Now().Add(deadline)
	delay := 200 * time.Millisecond
	due := time.Now()
	for {
		f.mu.Lock()
		if f.reset {
			f.mu.Unlock()
			l.rec.line("request %s on flow %s fails: reset", id, f.key.client)
			return "", errReset
		}
		if body, whole := parseAnswer(f.got.Bytes()); whole {
			f.mu.Unlock()
			l.answered(id, body)
			return body, nil
		}
		if !time.Now().Before(due) {
			f.transmit(flagACK, seq, head)
			due = time.Now().Add(delay)
			delay = min(2*delay, 1600*time.Millisecond)
		}
		f.mu.Unlock()
		if time.Now().After(end) {
			l.rec.line("request %s on flow %s fails: no answer", id, f.key.client)
			return "", errTimeout
		}
		select {
		case <-f.wake:
		case <-time.After(min(time.Until(due), time.Until(end)) + time.Millisecond):
		}
	}
}

// parseAnswer returns the body of a whole answer.
func parseAnswer(b []byte) (string, bool) {
	head, body, found := bytes.Cut(b, []byte("\r\n\r\n"))
	if !found {
		return "", false
	}
	for _, line := range strings.Split(string(head), "\r\n") {
		if name, value, _ := strings.Cut(line, ": "); http.CanonicalHeaderKey(name) == "Content-Length" {
			n, err := strconv.Atoi(value)
			return string(body), err == nil && len(body) == n
		}
	}
	return "", false
}

// awaitFIN waits until the backend has closed the flow.
func (f *flow) awaitFIN(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		f.mu.Lock()
		seen := f.finSeen
		f.mu.Unlock()
		if seen {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

// close sends a FIN, repeats it until the backend has closed too, and frees the port.
func (f *flow) close() {
	f.mu.Lock()
	seq := f.next
	f.next++
	f.mu.Unlock()
	for _, wait := range []time.Duration{100, 100, 200, 400} {
		f.mu.Lock()
		f.transmit(flagFIN|flagACK, seq, nil)
		f.mu.Unlock()
		if f.awaitFIN(wait * time.Millisecond) {
			break
		}
	}
	time.Sleep(100 * time.Millisecond) // the last acknowledgement
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	c := f.client
	c.mu.Lock()
	if c.flows[f.key.client.Port()] == f {
		delete(c.flows, f.key.client.Port())
	}
	c.mu.Unlock()
	c.lab.rec.line("client closed flow %s", f.key.client)
}
