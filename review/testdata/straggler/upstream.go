package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/platform"
	"github.com/corianderbay/corianderbay/platform/standin"
	"github.com/corianderbay/corianderbay/steer"
)

const (
	workTime = 15 * time.Millisecond
	// slots is more than the flows of the callers, so that no request waits for one.
	slots = 64

	offFlags    = 18
	bitReturned = 16
	headSize    = 31
	requestID   = "Corianderbay-Request-Id: "
)

// upstream serves flows as the pages describe: it answers openings, returns packets of flows
// that it does not hold, and runs each request once.
type upstream struct {
	id       string
	rec      *record
	conn     *net.UDPConn
	outbound netip.AddrPort

	mu    sync.Mutex
	flows map[steer.Key]*flow
}

// flow is a flow that an upstream holds, or one that is being opened.
type flow struct {
	own    uint32 // next sequence number of the upstream
	caller uint32 // next sequence number of the caller
	open   bool
	answer []byte // to the last request; nil until it has run
}

func startUpstream(ctx context.Context, id string, h standin.Host, rec *record, store *standin.Store) error {
	at := h.AddrPort(ports.Upstream)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return err
	}
	health, err := net.Listen("tcp4", at.String())
	if err != nil {
		return err
	}
	u := &upstream{id: id, rec: rec, conn: conn, outbound: h.AddrPort(ports.Outbound), flows: make(map[steer.Key]*flow)}
	context.AfterFunc(ctx, func() {
		conn.Close()
		health.Close()
	})
	go func() { _ = http.Serve(health, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})) }()
	go u.receive()
	store.Put("servers/"+id, map[string]any{
		"service": h.Service, "address": at.String(), "zone": h.DataCentre, "version": "v1", "slots": slots,
		"state": "ready", "warmup_left_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	return nil
}

func (u *upstream) receive() {
	buf := make([]byte, 2048)
	for {
		n, err := u.conn.Read(buf)
		if err != nil {
			return
		}
		var p steer.Packet
		if err := (platform.Codec{}).Decode(buf[:n], &p); err == nil {
			u.handle(p, buf[:n])
		}
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
		}
		if !f.open {
			u.send(k, steer.SYN|steer.ACK, f.own, p.Sequence+1, nil)
		}
	case f == nil || !f.open && p.Acknowledged != f.own+1:
		u.rec.arrived(k, p.Sequence, u.id, false)
		b[offFlags] |= bitReturned
		_, _ = u.conn.WriteToUDPAddrPort(b, u.outbound)
	default:
		if !f.open {
			f.open, f.own = true, f.own+1
		}
		u.rec.arrived(k, p.Sequence, u.id, true)
		u.handleOpen(k, f, p, string(b[headSize:]))
	}
}

// handleOpen handles a packet of an open flow.
func (u *upstream) handleOpen(k steer.Key, f *flow, p steer.Packet, data string) {
	switch {
	case p.Flags.Has(steer.RST):
		delete(u.flows, k)
	case p.Flags.Has(steer.FIN):
		u.send(k, steer.FIN|steer.ACK, f.own, p.Sequence+1, nil)
		delete(u.flows, k)
	case data == "":
	case p.Sequence == f.caller: // a new request
		f.caller += uint32(len(data))
		f.answer = nil
		time.AfterFunc(workTime, func() { u.answer(k, f, data) })
		u.rec.ran(idOf(data), u.id)
	case f.answer != nil: // a retransmission
		u.send(k, steer.ACK, f.own-uint32(len(f.answer)), f.caller, f.answer)
	}
}

func (u *upstream) answer(k steer.Key, f *flow, request string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	body := "done " + idOf(request)
	f.answer = fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nCorianderbay-Server-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", u.id, len(body), body)
	u.send(k, steer.ACK, f.own, f.caller, f.answer)
	f.own += uint32(len(f.answer))
}

func (u *upstream) send(k steer.Key, flags steer.Flags, seq, ack uint32, data []byte) {
	p := steer.Packet{Source: k.Address, Destination: k.Caller, Flags: flags, Sequence: seq, Acknowledged: ack}
	_, _ = u.conn.WriteToUDPAddrPort(standin.Encode(p, data), u.outbound)
}

// idOf returns the id of a request.
func idOf(request string) string {
	_, rest, _ := strings.Cut(request, requestID)
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}
