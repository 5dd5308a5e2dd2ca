package lab

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/platform"
	"github.com/corianderbay/corianderbay/platform/standin"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
)

const (
	firstRetry  = 200 * time.Millisecond
	maxRetry    = 1600 * time.Millisecond
	openTimeout = 1400 * time.Millisecond
	firstPort   = 10000
)

// Client is a machine of the clients.
type Client struct {
	lab  *Lab
	host standin.Host
	conn *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*ClientFlow
	sent  map[steer.Key]time.Duration
}

// NewClient binds the address of the clients of a zone.
func (l *Lab) NewClient(zone string) (*Client, error) {
	h := l.ClientHost(zone)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.AddrPort(h.Ports.Packets)))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(4 << 20)
	c := &Client{lab: l, host: h, conn: conn, port: firstPort, flows: make(map[uint16]*ClientFlow), sent: make(map[steer.Key]time.Duration)}
	go c.receive()
	return c, nil
}

// Close ends the client.
func (c *Client) Close() { c.conn.Close() }

func (c *Client) receive() {
	buf := make([]byte, 2048)
	for {
		n, err := c.conn.Read(buf)
		if err != nil {
			return
		}
		var p steer.Packet
		if (platform.Codec{}).Decode(buf[:n], &p) != nil {
			continue
		}
		c.mu.Lock()
		f := c.flows[p.Destination.Port]
		c.mu.Unlock()
		if f != nil && f.Key == p.UpstreamKey() {
			select {
			case f.inbox <- received{p, string(buf[headerSize:n])}:
			default:
			}
		}
	}
}

type received struct {
	p    steer.Packet
	data string
}

// ClientFlow is one flow of a client. One goroutine uses it.
type ClientFlow struct {
	Key      steer.Key
	c        *Client
	seq, ack uint32
	inbox    chan received
	Reset    bool // a reset arrived while the flow was open
}

// SentAt returns when the client sent the first opening packet of a flow.
func (c *Client) SentAt(k steer.Key) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.sent[k]
	return at, ok
}

// Open opens a flow: copies of the opening after 200 and 600 ms, an end after 1.4 s.
func (c *Client) Open(route netip.AddrPort) (*ClientFlow, error) {
	c.mu.Lock()
	c.port++
	if c.port < firstPort {
		c.port = firstPort
	}
	key := steer.Key{Caller: registry.Endpoint{Host: registry.Host(c.host.Address.As4()), Port: c.port}, Address: Endpoint(route)}
	f := &ClientFlow{Key: key, c: c, seq: uint32(c.port) * 7919, inbox: make(chan received, 64)}
	c.flows[c.port] = f
	c.sent[key] = c.lab.Since()
	c.mu.Unlock()
	begin := time.Now()
	for copies, at := range []time.Duration{0, firstRetry, 3 * firstRetry} {
		if r, ok := f.await(begin.Add(at), true); ok {
			return f.opened(r)
		}
		f.ack = uint32(copies)
		f.send(steer.SYN, "")
	}
	if r, ok := f.await(begin.Add(openTimeout), true); ok {
		return f.opened(r)
	}
	f.remove()
	return nil, fmt.Errorf("no answer to the opening")
}

func (f *ClientFlow) opened(r received) (*ClientFlow, error) {
	if r.p.Flags.Has(steer.RST) {
		f.remove()
		return nil, fmt.Errorf("the opening was refused")
	}
	f.seq++
	f.ack = r.p.Sequence + 1
	f.send(steer.ACK, "")
	return f, nil
}

// await returns the next answer to an opening, or the next data or reset, before a time.
func (f *ClientFlow) await(until time.Time, opening bool) (received, bool) {
	for {
		select {
		case r := <-f.inbox:
			switch {
			case r.p.Flags.Has(steer.RST):
				return r, true
			case opening && r.p.Flags.Has(steer.SYN|steer.ACK) && r.p.Acknowledged == f.seq+1:
				return r, true
			case !opening && r.data != "" && r.p.Sequence == f.ack:
				return r, true
			}
		case <-time.After(time.Until(until)):
			return received{}, false
		}
	}
}

// Request sends a request and returns the answer of the backend.
func (f *ClientFlow) Request(id string, deadline time.Duration) (string, error) {
	data := "POST / HTTP/1.1\r\nHost: x\r\nCorianderbay-Request-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
	end := time.Now().Add(deadline)
	delay := firstRetry
	for {
		f.send(steer.ACK, data)
		until := time.Now().Add(delay)
		if until.After(end) {
			until = end
		}
		if r, ok := f.await(until, false); ok {
			if r.p.Flags.Has(steer.RST) {
				f.Reset = true
				f.remove()
				return "", fmt.Errorf("the open flow was reset")
			}
			f.seq += uint32(len(data))
			f.ack = r.p.Sequence + uint32(len(r.data))
			f.send(steer.ACK, "")
			return r.data, nil
		}
		if !time.Now().Before(end) {
			return "", fmt.Errorf("no answer within %v", deadline)
		}
		delay = min(2*delay, maxRetry)
	}
}

// PollReset reports whether a reset has arrived since the last request.
func (f *ClientFlow) PollReset() bool {
	for {
		select {
		case r := <-f.inbox:
			if r.p.Flags.Has(steer.RST) {
				f.Reset = true
				return true
			}
		default:
			return f.Reset
		}
	}
}

// Close closes the flow.
func (f *ClientFlow) Close() {
	f.send(steer.FIN|steer.ACK, "")
	f.remove()
}

func (f *ClientFlow) remove() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.Key.Caller.Port)
}

func (f *ClientFlow) send(flags steer.Flags, data string) {
	p := steer.Packet{Source: f.Key.Caller, Destination: f.Key.Address, Flags: flags, Sequence: f.seq, Acknowledged: f.ack}
	to := f.c.lab.Router.Pick(f.Key, f.c.host.DataCentre)
	_, _ = f.c.conn.WriteToUDPAddrPort(standin.Encode(p, []byte(data)), to) // a lost packet is sent again
}

// AnswersTo reports whether an answer belongs to a request.
func AnswersTo(answer, id string) bool {
	return strings.Contains(answer, "Corianderbay-Request-Id: "+id+"\r\n")
}
