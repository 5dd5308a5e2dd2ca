package lab

import (
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/platform"
	"github.com/corianderbay/corianderbay/platform/standin"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
)

// lapseAfter is the number of heartbeat intervals without a heartbeat after which the store
// removes the entry of a backend.
const lapseAfter = 3

// Opening is a flow that a backend took.
type Opening struct {
	Key  steer.Key
	At   time.Duration // when its first packet arrived
	Cold bool          // the backend was cold
}

// Backend is a server of the users: it takes flows, answers requests and writes to the store.
type Backend struct {
	ID      string
	Host    standin.Host
	lab     *Lab
	updated chan struct{}

	mu       sync.Mutex
	conn     *net.UDPConn
	health   net.Listener
	running  bool
	draining bool
	cutOff   bool // its heartbeats do not reach the store
	born     time.Time
	coldTo   time.Duration // when it stops being cold; 0 when it never was
	seq      int
	lastBeat time.Time
	written  string // content of the entry without seq
	listed   bool
	flows    map[steer.Key]*flow
	active   int
	openings []Opening
	runs     map[string]int
	gen      int
	removed  time.Duration
	drained  time.Duration
}

// Born returns when the backend last started.
func (b *Backend) Born() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.born
}

// DrainedAt returns when the store accepted the report that the backend drains.
func (b *Backend) DrainedAt() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.drained
}

// LastBeat returns when the last heartbeat reached the store.
func (b *Backend) LastBeat() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastBeat
}

// RemovedAt returns when the store last removed the entry; 0 if it never did.
func (b *Backend) RemovedAt() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.removed
}

// flow is a flow at a backend.
type flow struct {
	isn      uint32
	open     bool
	closed   bool
	expected uint32
	next     uint32
	answer   []byte
}

func newBackend(l *Lab, id string, h standin.Host) *Backend {
	return &Backend{ID: id, Host: h, lab: l, runs: make(map[string]int)}
}

// Start starts the backend. It is cold when traffic is running.
func (b *Backend) Start(cold bool) error {
	address := b.Host.AddrPort(b.Host.Ports.Upstream)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return err
	}
	_ = conn.SetReadBuffer(2 << 20)
	health, err := net.Listen("tcp4", address.String())
	if err != nil {
		conn.Close()
		return err
	}
	b.mu.Lock()
	b.conn, b.health, b.running, b.draining = conn, health, true, false
	b.born, b.seq, b.written, b.coldTo = time.Now(), 0, "", 0
	b.flows, b.active = make(map[steer.Key]*flow), 0
	if cold {
		b.coldTo = b.lab.Since() + time.Duration(b.lab.cfg.WarmupSeconds*float64(time.Second))
	}
	b.gen++
	gen := b.gen
	b.mu.Unlock()
	b.lab.Record("backend %s started, cold %v", b.ID, cold)
	go b.receive(conn)
	go func() { _ = http.Serve(health, http.HandlerFunc(b.serveHealth)) }()
	go b.beat(gen)
	return nil
}

// Crash ends the backend at once. It sends nothing, and its flows are lost.
func (b *Backend) Crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.running {
		return
	}
	b.running = false
	b.conn.Close()
	b.health.Close()
	b.lab.Record("backend %s ended", b.ID)
}

// Drain reports that the backend leaves.
func (b *Backend) Drain() {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	b.lab.Record("backend %s drains", b.ID)
	b.writeEntry()
	b.mu.Lock()
	b.drained = b.lab.Since()
	b.mu.Unlock()
}

// CutOff keeps heartbeats from the store, or ends that.
func (b *Backend) CutOff(cut bool) {
	b.mu.Lock()
	b.cutOff = cut
	b.mu.Unlock()
	b.lab.Record("backend %s is cut off from the store: %v", b.ID, cut)
}

// Openings returns the flows that the backend took.
func (b *Backend) Openings() []Opening {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Opening(nil), b.openings...)
}

// Runs returns how often the backend began to work on each request.
func (b *Backend) Runs() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := make(map[string]int)
	for id, n := range b.runs {
		m[id] = n
	}
	return m
}

func (b *Backend) serveHealth(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// beat writes the entry at once and then every heartbeat interval, and removes it in the
// store's name after lapseAfter intervals of silence.
func (b *Backend) beat(gen int) {
	interval := time.Duration(b.lab.cfg.HeartbeatMillis) * time.Millisecond
	b.writeEntry()
	next := time.Now().Add(interval)
	for {
		time.Sleep(20 * time.Millisecond)
		b.mu.Lock()
		current, running, last, listed := b.gen == gen, b.running, b.lastBeat, b.listed
		b.mu.Unlock()
		if !current {
			return
		}
		if listed && time.Since(last) >= lapseAfter*interval {
			b.mu.Lock()
			b.listed, b.written = false, ""
			b.mu.Unlock()
			b.lab.Store.RemoveUpstream(b.ID)
			b.mu.Lock()
			b.removed = b.lab.Since()
			b.mu.Unlock()
			b.lab.Record("store removed servers/%s", b.ID)
		}
		if running && time.Now().After(next) {
			next = next.Add(interval)
			b.writeEntry()
		}
		if !running && !listed {
			return
		}
	}
}

// writeEntry writes the entry. It changes only when more than its seq does.
func (b *Backend) writeEntry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cutOff || !b.running {
		return
	}
	b.lastBeat, b.listed = time.Now(), true
	b.seq++
	state, warmup := "ready", 0.0
	if b.draining {
		state = "draining"
	}
	if left := b.coldTo - b.lab.Since(); left > 0 {
		warmup = float64(left.Milliseconds())
	}
	content := state + "|" + time.Duration(warmup*1e6).String() + "|" + b.born.String()
	if content == b.written {
		return
	}
	b.written = content
	b.lab.Store.Put("servers/"+b.ID, map[string]any{
		"service": b.Host.Service, "address": b.Host.AddrPort(b.Host.Ports.Upstream).String(), "zone": b.Host.DataCentre,
		"version": "v1", "slots": b.lab.cfg.Slots, "state": state, "warmup_left_ms": warmup, "seq": b.seq, "born": b.born.UnixMilli(),
	})
	b.lab.Record("store accepted servers/%s state %s warmup_left_ms %.0f", b.ID, state, warmup)
}

func (b *Backend) receive(conn *net.UDPConn) {
	buf := make([]byte, 2048)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		b.handle(conn, buf[:n])
	}
}

const (
	headerSize  = 31
	bitReturned = 16
)

// handle processes one packet.
func (b *Backend) handle(conn *net.UDPConn, d []byte) {
	var p steer.Packet
	if (platform.Codec{}).Decode(d, &p) != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.running {
		return
	}
	k := p.CallerKey()
	f := b.flows[k]
	if p.Opens() {
		if f == nil || f.closed {
			f = &flow{isn: rand.Uint32()}
			b.flows[k] = f
			now := b.lab.Since()
			b.openings = append(b.openings, Opening{Key: k, At: now, Cold: now < b.coldTo})
		}
		b.reply(conn, k, steer.SYN|steer.ACK, f.isn, p.Sequence+1, nil)
		return
	}
	if f != nil && !f.open && p.Acknowledged == f.isn+1 {
		f.open, f.expected, f.next = true, p.Sequence, f.isn+1
	}
	if f == nil || !f.open {
		d[18] |= bitReturned
		b.send(conn, d)
		return
	}
	b.handleOpen(conn, k, f, &p, string(d[headerSize:]))
}

// handleOpen processes a packet of an open flow.
func (b *Backend) handleOpen(conn *net.UDPConn, k steer.Key, f *flow, p *steer.Packet, data string) {
	switch {
	case p.Flags.Has(steer.RST):
		delete(b.flows, k)
	case f.closed && p.Data > 0:
		b.reply(conn, k, steer.RST, f.next, p.Sequence, nil)
	case p.Flags.Has(steer.FIN):
		f.closed = true
		b.reply(conn, k, steer.FIN|steer.ACK, f.next, p.Sequence+1, nil)
	case p.Data == 0:
	case p.Sequence == f.expected:
		f.expected += uint32(len(data))
		f.answer = nil
		b.run(conn, k, f, requestID(data))
	case f.answer != nil:
		b.send(conn, f.answer)
	}
}

// requestID returns the id in a request.
func requestID(data string) string {
	_, rest, _ := strings.Cut(data, "Corianderbay-Request-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

// run works on a request and answers it. The caller holds the lock.
func (b *Backend) run(conn *net.UDPConn, k steer.Key, f *flow, id string) {
	b.runs[id]++
	b.lab.Record("backend %s runs %s", b.ID, id)
	wait := b.lab.cfg.Work
	if over := b.active - b.lab.cfg.Slots + 1; over > 0 { // it waits for a slot
		wait += b.lab.cfg.Work * time.Duration(over) / time.Duration(b.lab.cfg.Slots)
	}
	b.active++
	time.AfterFunc(wait, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.conn != conn || !b.running {
			return
		}
		b.active--
		if b.flows[k] != f || f.closed {
			return
		}
		text := "HTTP/1.1 200 OK\r\nCorianderbay-Server-Signature: " + b.ID + "\r\nCorianderbay-Request-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
		p := steer.Packet{Source: k.Address, Destination: k.Caller, Flags: steer.ACK, Sequence: f.next, Acknowledged: f.expected}
		f.answer = standin.Encode(p, []byte(text))
		f.next += uint32(len(text))
		b.send(conn, f.answer)
	})
}

func (b *Backend) reply(conn *net.UDPConn, k steer.Key, flags steer.Flags, seq, ack uint32, data []byte) {
	p := steer.Packet{Source: k.Address, Destination: k.Caller, Flags: flags, Sequence: seq, Acknowledged: ack}
	b.send(conn, standin.Encode(p, data))
}

func (b *Backend) send(conn *net.UDPConn, d []byte) {
	to := netip.AddrPortFrom(b.Host.Address, b.Host.Ports.Outbound)
	_, _ = conn.WriteToUDPAddrPort(d, to) // a lost packet is sent again
}

// Endpoint returns the address of a route as the project writes it.
func Endpoint(a netip.AddrPort) registry.Endpoint {
	return registry.Endpoint{Host: registry.Host(a.Addr().As4()), Port: a.Port()}
}
