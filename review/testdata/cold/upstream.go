package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/platform"
	"github.com/corianderbay/corianderbay/platform/standin"
	"github.com/corianderbay/corianderbay/steer"
)

const (
	slots       = 2
	queueLength = 8
	workTime    = 29 * time.Millisecond

	offFlags    = 18
	bitReturned = 16
	headSize    = 31
	requestID   = "Corianderbay-Request-Id: "
)

// upstreams starts and stops the upstreams of the service, all at once.
type upstreams struct {
	rec    *record
	store  *standin.Store
	hosts  []standin.Host
	starts int
	list   []*upstream
}

// start starts an upstream on each host. They stay cold for the given time.
func (u *upstreams) start(cold time.Duration) error {
	u.starts++
	u.list = nil
	for i, h := range u.hosts {
		one, err := startUpstream(fmt.Sprintf("u%d-%d", u.starts, i+1), h, u.rec, u.store, cold)
		if err != nil {
			return err
		}
		u.list = append(u.list, one)
	}
	u.rec.note("upstreams started, cold for %v", cold)
	return nil
}

// stop crashes all upstreams. Their entries expire after three heartbeats.
func (u *upstreams) stop() {
	for _, one := range u.list {
		one.crash()
		time.AfterFunc(3*heartbeat, func() { u.store.Remove("servers/" + one.id) })
	}
	u.rec.note("upstreams ended")
}

// upstream serves flows as the pages describe: it answers openings, returns packets of flows
// that it does not hold, and runs one request on each flow.
type upstream struct {
	id       string
	host     standin.Host
	rec      *record
	store    *standin.Store
	conn     *net.UDPConn
	health   net.Listener
	outbound netip.AddrPort
	born     time.Time
	cold     time.Duration
	slots    chan struct{}
	cancel   context.CancelFunc

	mu     sync.Mutex
	flows  map[steer.Key]*flow
	queued int
}

// flow is a flow that an upstream holds, or one that is being opened.
type flow struct {
	own    uint32 // next sequence number of the upstream
	caller uint32 // next sequence number of the caller
	open   bool
	answer []byte // nil until the request has run
	ran    bool
}

func startUpstream(id string, h standin.Host, rec *record, store *standin.Store, cold time.Duration) (*upstream, error) {
	at := h.AddrPort(ports.Upstream)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	health, err := net.Listen("tcp4", at.String())
	if err != nil {
		conn.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	u := &upstream{
		id: id, host: h, rec: rec, store: store, conn: conn, health: health, cancel: cancel, born: time.Now(), cold: cold,
		outbound: h.AddrPort(ports.Outbound), slots: make(chan struct{}, slots), flows: make(map[steer.Key]*flow),
	}
	go func() { _ = http.Serve(health, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})) }()
	go u.publish(ctx)
	go u.receive()
	return u, nil
}

func (u *upstream) crash() {
	u.cancel()
	u.conn.Close()
	u.health.Close()
}

// publish writes the entry of the upstream until it ends.
func (u *upstream) publish(ctx context.Context) {
	for seq := 1; ctx.Err() == nil; seq++ {
		u.store.Put("servers/"+u.id, map[string]any{
			"service": u.host.Service, "address": u.host.AddrPort(ports.Upstream).String(), "zone": u.host.DataCentre, "version": "v1", "slots": slots,
			"state": "ready", "warmup_left_ms": max(0, u.cold-time.Since(u.born)).Milliseconds(), "seq": seq, "born": u.born.UnixMilli(),
		})
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

func (u *upstream) receive() {
	buf := make([]byte, 2048)
	for {
		n, err := u.conn.Read(buf)
		if err != nil {
			return
		}
		var p steer.Packet
		if err := (platform.Codec{}).Decode(buf[:n], &p); err != nil {
			continue
		}
		u.handle(p, buf[:n])
	}
}

func (u *upstream) handle(p steer.Packet, b []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	k := p.CallerKey()
	f := u.flows[k]
	switch {
	case p.Opens():
		if f == nil {
			f = &flow{own: rand.Uint32(), caller: p.Sequence + 1}
			u.flows[k] = f
			u.rec.took(k, u.id, time.Since(u.born) < u.cold)
		}
		if !f.open {
			u.send(k, steer.SYN|steer.ACK, f.own, p.Sequence+1, nil)
		}
	case f == nil || !f.open && p.Acknowledged != f.own+1:
		b[offFlags] |= bitReturned
		_, _ = u.conn.WriteToUDPAddrPort(b, u.outbound)
	default:
		if !f.open {
			f.open, f.own = true, f.own+1
		}
		u.handleOpen(k, f, p, b[headSize:])
	}
}

// handleOpen handles a packet of an open flow.
func (u *upstream) handleOpen(k steer.Key, f *flow, p steer.Packet, data []byte) {
	switch {
	case p.Flags.Has(steer.RST):
		delete(u.flows, k)
	case p.Flags.Has(steer.FIN):
		u.send(k, steer.FIN|steer.ACK, f.own, p.Sequence+1, nil)
	case len(data) == 0:
	case f.ran:
		if f.answer != nil {
			u.send(k, steer.ACK, f.own, f.caller, f.answer)
		}
	default:
		f.ran, f.caller = true, p.Sequence+uint32(len(data))
		u.serve(k, f, string(bytes.Clone(data)))
	}
}

// serve runs a request when a slot is free, or refuses it when the queue is full.
func (u *upstream) serve(k steer.Key, f *flow, request string) {
	id := idOf(request)
	if u.queued >= slots+queueLength {
		u.answer(k, f, id, "503 Service Unavailable\r\nCorianderbay-Not-Executed: 1")
		return
	}
	u.queued++
	go func() {
		u.slots <- struct{}{}
		u.rec.ran(id, u.id)
		time.Sleep(workTime)
		<-u.slots
		u.mu.Lock()
		defer u.mu.Unlock()
		u.queued--
		u.answer(k, f, id, "200 OK\r\nCorianderbay-Server-Signature: "+u.id)
	}()
}

func (u *upstream) answer(k steer.Key, f *flow, id, status string) {
	body := "done " + id
	f.answer = fmt.Appendf(nil, "HTTP/1.1 %s\r\nCorianderbay-Backend-Id: %s\r\nContent-Length: %d\r\n\r\n%s", status, u.id, len(body), body)
	u.send(k, steer.ACK, f.own, f.caller, f.answer)
}

func (u *upstream) send(k steer.Key, flags steer.Flags, seq, ack uint32, data []byte) {
	p := steer.Packet{Source: k.Address, Destination: k.Caller, Flags: flags, Sequence: seq, Acknowledged: ack}
	_, _ = u.conn.WriteToUDPAddrPort(standin.Encode(p, data), u.outbound)
}
