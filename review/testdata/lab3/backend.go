package main

import (
	"bufio"
	"bytes"
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

// window is how far sequence numbers of packets of one flow are apart at most.
const window = 76800

// flowKey is a flow by the client's and the route's address.
type flowKey struct{ client, route netip.AddrPort }

// heldFlow is a flow that a backend holds.
type heldFlow struct {
	isn      uint32
	opened   bool // the client has acknowledged isn
	expected uint32
	next     uint32 // sequence number of the next byte to send
	unacked  [][]byte
	lastSent time.Time
	tries    int
	running  bool
	finSent  bool
	finSeen  bool
}

// backend is one start of a backend.
type backend struct {
	lab      *lab
	id       string
	service  string
	host     netip.Addr
	zone     string
	born     time.Time
	conn     *net.UDPConn
	health   net.Listener
	outbound netip.AddrPort

	mu       sync.Mutex
	flows    map[flowKey]*heldFlow
	past     map[flowKey]*heldFlow // flows that have ended here
	draining bool
	seq      int
	ended    bool
	// opening, if not nil, is called for each new flow when its opening has arrived.
	opening func(b *backend, k flowKey)
}

func (l *lab) startBackend(id, service, zone string, host netip.Addr) (*backend, error) {
	b := &backend{
		lab: l, id: id, service: service, host: host, zone: zone, born: time.Now(),
		outbound: netip.AddrPortFrom(host, portOutbound), flows: make(map[flowKey]*heldFlow), past: make(map[flowKey]*heldFlow),
	}
	var err error
	if b.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(host, portApp))); err != nil {
		return nil, err
	}
	if b.health, err = net.Listen("tcp4", netip.AddrPortFrom(host, portApp).String()); err != nil {
		return nil, err
	}
	go http.Serve(b.health, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	go b.receive()
	go b.retransmit()
	b.publish()
	l.rec.line("backend %s of %s starts at %s", id, service, host)
	return b, nil
}

// publish writes the entry of the backend into the store.
func (b *backend) publish() {
	b.mu.Lock()
	state := "ready"
	if b.draining {
		state = "draining"
	}
	b.seq++
	entry := map[string]any{
		"service": b.service, "address": netip.AddrPortFrom(b.host, portApp).String(), "zone": b.zone, "version": "v1",
		"slots": 2, "state": state, "warmup_left_ms": 0, "seq": b.seq, "born": b.born.UnixMilli(),
	}
	b.mu.Unlock()
	b.lab.store.Put("servers/"+b.id, entry)
}

// drain reports that the backend leaves; it closes each flow after its next response.
func (b *backend) drain() {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	b.publish()
	b.lab.rec.line("backend %s is draining, acknowledged", b.id)
}

// exit ends the backend, whose flows end with it, and removes its entry.
func (b *backend) exit() {
	b.mu.Lock()
	b.ended = true
	for k, f := range b.flows {
		if f.opened {
			b.lab.rec.line("backend %s ends with flow %s open", b.id, k.client)
		}
	}
	b.mu.Unlock()
	b.conn.Close()
	b.health.Close()
	b.lab.store.Remove("servers/" + b.id)
	b.lab.rec.line("backend %s has left", b.id)
}

// holds reports whether the backend lives and holds a flow.
func (b *backend) holds(k flowKey) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.flows[k]
	return !b.ended && f != nil && f.opened
}

func (b *backend) receive() {
	buf := make([]byte, 2048)
	for {
		n, err := b.conn.Read(buf)
		if err != nil {
			return
		}
		b.handle(append([]byte(nil), buf[:n]...))
	}
}

func (b *backend) send(raw []byte) { _, _ = b.conn.WriteToUDPAddrPort(raw, b.outbound) }

func (b *backend) handle(raw []byte) {
	p, sound, _, ok := decode(raw)
	if !ok || !sound || p.flags&(flagSYN|flagACK) == flagSYN|flagACK {
		b.lab.fault("UNASKED", "backend %s got a packet that its sender didn't write so", b.id)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	k := flowKey{p.src, p.dst}
	f := b.flows[k]
	if p.flags&flagSYN != 0 {
		if f == nil {
			f = &heldFlow{isn: rand.Uint32(), expected: p.seq + 1}
			f.next = f.isn + 1
			b.flows[k] = f
			delete(b.past, k)
			if b.opening != nil {
				b.opening(b, k)
			}
		}
		b.send(encode(&packet{src: k.route, dst: k.client, flags: flagSYN | flagACK, seq: f.isn, ack: f.expected}))
		return
	}
	if ended := b.past[k]; f == nil && ended != nil && p.seq-ended.expected+window <= 2*window {
		b.answerEnded(k, ended, &p)
		return
	}
	if f == nil || !f.opened && p.ack != f.isn+1 {
		raw[18] |= flagBounced
		b.send(raw)
		return
	}
	if !f.opened {
		f.opened = true
		b.lab.rec.line("backend %s of %s holds flow %s > %s", b.id, b.service, k.client, k.route)
	}
	if p.flags&flagRST != 0 {
		b.end(k, f)
		return
	}
	b.acknowledge(f, p.ack)
	if len(p.data) > 0 && p.seq == f.expected && !f.running {
		f.expected += uint32(len(p.data))
		f.running = true
		go b.run(k, f, p.data)
	}
	if p.flags&flagFIN != 0 && p.seq+uint32(len(p.data)) == f.expected && !f.finSeen {
		f.finSeen = true
		f.expected++
		b.queue(k, f, flagFIN, nil)
	}
	if len(p.data) > 0 || p.flags&flagFIN != 0 {
		b.send(encode(&packet{src: k.route, dst: k.client, flags: flagACK, seq: f.next, ack: f.expected}))
	}
	if f.finSeen && f.finSent && len(f.unacked) == 0 {
		b.end(k, f)
	}
}

// end ends a flow.
func (b *backend) end(k flowKey, f *heldFlow) {
	delete(b.flows, k)
	b.past[k] = f
}

// answerEnded answers a packet of a flow that has ended here: a FIN with an ACK, data with an RST.
func (b *backend) answerEnded(k flowKey, f *heldFlow, p *packet) {
	switch {
	case len(p.data) > 0:
		b.send(encode(&packet{src: k.route, dst: k.client, flags: flagRST, seq: f.next, ack: f.expected}))
	case p.flags&flagFIN != 0:
		b.send(encode(&packet{src: k.route, dst: k.client, flags: flagACK, seq: f.next, ack: f.expected}))
	}
}

// acknowledge removes what the client has received.
func (b *backend) acknowledge(f *heldFlow, ack uint32) {
	for len(f.unacked) > 0 {
		p, _, _, _ := decode(f.unacked[0])
		end := p.seq + uint32(len(p.data))
		if p.flags&flagFIN != 0 {
			end++
		}
		if int32(ack-end) < 0 {
			return
		}
		f.unacked = f.unacked[1:]
		f.lastSent, f.tries = time.Now(), 0
	}
}

// queue sends a packet that is repeated until it is acknowledged.
func (b *backend) queue(k flowKey, f *heldFlow, flags byte, data []byte) {
	if f.finSent {
		return
	}
	raw := encode(&packet{src: k.route, dst: k.client, flags: flags | flagACK, seq: f.next, ack: f.expected, data: data})
	f.next += uint32(len(data))
	if flags&flagFIN != 0 {
		f.next++
		f.finSent = true
	}
	f.unacked, f.lastSent, f.tries = append(f.unacked, raw), time.Now(), 0
	b.send(raw)
}

// run runs one request, whose head names its id, how long it takes and how long the answer is.
func (b *backend) run(k flowKey, f *heldFlow, head []byte) {
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		b.lab.fault("UNASKED", "backend %s got a request that cannot be read: %v", b.id, err)
		return
	}
	id := req.Header.Get("Corianderbay-Request-Id")
	b.lab.ran(b, id, k)
	work, _ := strconv.Atoi(req.URL.Query().Get("work"))
	size, _ := strconv.Atoi(req.URL.Query().Get("size"))
	time.Sleep(time.Duration(work) * time.Millisecond)
	body := strings.Repeat("x", size) + id
	answer := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nCorianderbay-Server-Signature: %s\r\n\r\n%s", len(body), b.id, body))
	b.mu.Lock()
	defer b.mu.Unlock()
	f.running = false
	for len(answer) > 0 {
		n := min(len(answer), 1200)
		flags := byte(0)
		if n == len(answer) && b.draining {
			flags = flagFIN
		}
		b.queue(k, f, flags, answer[:n])
		answer = answer[n:]
	}
}

// retransmit repeats packets after 200 ms, and then after twice as long up to 1.6 s.
func (b *backend) retransmit() {
	for range time.Tick(20 * time.Millisecond) {
		b.mu.Lock()
		if b.ended {
			b.mu.Unlock()
			return
		}
		for k, f := range b.flows {
			if len(f.unacked) == 0 || time.Since(f.lastSent) < min(200*time.Millisecond<<f.tries, 1600*time.Millisecond) {
				continue
			}
			f.tries++
			f.lastSent = time.Now()
			if f.tries > 8 {
				b.end(k, f)
				continue
			}
			for _, raw := range f.unacked[:min(16, len(f.unacked))] {
				b.send(raw)
			}
		}
		b.mu.Unlock()
	}
}
