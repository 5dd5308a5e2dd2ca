package standin

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/fabric"
	"github.com/corianderbay/corianderbay/flow"
)

const (
	retransmitTick  = 50 * time.Millisecond
	firstRetransmit = 200 * time.Millisecond
	lastRetransmit  = 3 * time.Second
	maxRetransmits  = 10
)

// upstreamConn is one TCP connection of an upstream.
type upstreamConn struct {
	tcp    *tcpConn
	via    netip.AddrPort // where the last packet came from
	vni    uint32         // of the last packet
	stream []byte         // received data that is no whole request yet
	open   []Request      // requests that are not answered yet
	retry  retransmission
	seen   time.Time // when the last packet came
}

// retransmission is the timer of one sender. The zero value is at rest.
type retransmission struct {
	due   time.Time // zero when nothing waits for an acknowledgement
	wait  time.Duration
	tries int
}

// arm starts the timer when it is at rest.
func (r *retransmission) arm(now time.Time) {
	if !r.due.IsZero() {
		return
	}
	r.wait = firstRetransmit
	r.due = now.Add(r.wait)
}

// progress restarts the timer after an acknowledgement, or stops it.
func (r *retransmission) progress(now time.Time, waiting bool) {
	*r = retransmission{}
	if waiting {
		r.arm(now)
	}
}

// expire doubles the wait. It returns false when there were too many tries.
func (r *retransmission) expire(now time.Time, limit int) bool {
	r.tries++
	r.wait = min(r.wait*2, lastRetransmit)
	r.due = now.Add(r.wait)
	return r.tries <= limit
}

func (u *Upstream) receiveTunnel() {
	d := fabric.NewDecoder(fabric.DecoderConfig{MaxPacket: fabric.MaxPacket})
	receiveUDP(u.tunnel, func(datagram []byte, from netip.AddrPort) {
		f, err := d.Decode(datagram)
		if err != nil {
			u.malformed.Add(1)
			return
		}
		if f.Packet.Key.Protocol() == flow.UDP {
			u.receiveQuestion(f, from)
			return
		}
		in := tcpInput{flags: d.Flags(), seq: f.Packet.Sequence, ack: f.Packet.Acknowledged, payload: f.Payload}
		u.receiveSegment(f, in, from)
	})
}

// receiveQuestion takes a UDP request.
func (u *Upstream) receiveQuestion(f fabric.Frame, from netip.AddrPort) {
	r, err := DecodeRequest(f.Payload)
	if err != nil {
		u.malformed.Add(1)
		return
	}
	k, vni := f.Packet.Key, f.VNI
	u.submit(r, func(a Answer) {
		payload, err := a.Encode()
		if err != nil {
			return
		}
		if ip, err := fabric.DatagramAnswer(k, payload); err == nil {
			u.write(vni, ip, from)
		}
	})
}

// receiveSegment takes a TCP segment and submits the requests that it completes.
func (u *Upstream) receiveSegment(f fabric.Frame, in tcpInput, from netip.AddrPort) {
	k := f.Packet.Key
	u.mu.Lock()
	c := u.conns[k]
	switch {
	case f.Packet.Reset:
		if c != nil && c.tcp.acceptsReset(in) {
			u.cancel(k, c)
		}
		u.mu.Unlock()
		return
	case f.Packet.Opening && (c == nil || c.tcp.peerFirst != in.seq):
		u.accept(f, in, from)
		u.mu.Unlock()
		return
	case c == nil:
		u.mu.Unlock()
		u.reset(f, from)
		return
	}
	c.via, c.vni, c.seen = from, f.VNI, u.cfg.Timers.Now()
	requests := u.receiveData(k, c, in)
	u.mu.Unlock()
	for _, r := range requests {
		u.submit(r, func(a Answer) { u.reply(k, c, a) })
	}
}

// cancel forgets a connection and its requests that have not started. The caller holds u.mu.
func (u *Upstream) cancel(k flow.Key, c *upstreamConn) {
	delete(u.conns, k)
	for _, r := range c.open {
		u.ledger.cancel(r)
	}
}

// accept opens a connection, in place of an earlier one between the same ports. The caller holds u.mu.
func (u *Upstream) accept(f fabric.Frame, in tcpInput, from netip.AddrPort) {
	k := f.Packet.Key
	if u.conns[k] == nil && len(u.conns) >= u.cfg.Connections {
		u.reset(f, from)
		return
	}
	tcp, opening := acceptTCP(k.Address(), k.Caller(), u.rand.Uint32(), in.seq)
	c := &upstreamConn{tcp: tcp, via: from, vni: f.VNI, seen: u.cfg.Timers.Now()}
	u.conns[k] = c
	u.send(c, []fabric.Segment{opening})
}

func (u *Upstream) reset(f fabric.Frame, from netip.AddrPort) {
	u.resets.Add(1)
	if ip, err := fabric.Reset(f.IP); err == nil {
		u.write(f.VNI, ip, from)
	}
}

// receiveData returns the requests that are whole. The caller holds u.mu.
func (u *Upstream) receiveData(k flow.Key, c *upstreamConn, in tcpInput) []Request {
	before := c.tcp.una
	data, out := c.tcp.receive(in)
	if c.tcp.una != before {
		c.retry.progress(u.cfg.Timers.Now(), c.tcp.waiting())
	}
	u.send(c, out)
	c.stream = append(c.stream, data...)
	var requests []Request
	for {
		frame, rest, err := cutMessage(c.stream)
		if err != nil {
			u.malformed.Add(1)
			delete(u.conns, k)
			return requests
		}
		if frame == nil {
			break
		}
		c.stream = rest
		r, err := DecodeRequest(frame)
		if err != nil {
			u.malformed.Add(1)
			continue
		}
		c.open = append(c.open, r)
		requests = append(requests, r)
	}
	u.finish(k, c)
	return requests
}

// finish closes a connection that the caller has closed once all is answered,
// and forgets it when both ends are closed. The caller holds u.mu.
func (u *Upstream) finish(k flow.Key, c *upstreamConn) {
	if c.tcp.peerClosed && len(c.open) == 0 && !c.tcp.closing {
		u.send(c, c.tcp.close())
	}
	if c.tcp.done() && u.conns[k] == c {
		delete(u.conns, k)
	}
}

// reply sends an answer unless the connection has gone.
func (u *Upstream) reply(k flow.Key, c *upstreamConn, a Answer) {
	b, err := a.Encode()
	if err != nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conns[k] != c {
		return
	}
	c.open = slices.DeleteFunc(c.open, func(r Request) bool { return r.ID == a.ID && r.Caller == a.Caller })
	u.send(c, c.tcp.send(b))
	u.finish(k, c)
}

// send writes segments and starts the timer for them. The caller holds u.mu.
func (u *Upstream) send(c *upstreamConn, segments []fabric.Segment) {
	for _, s := range segments {
		if ip, err := s.Encode(); err == nil {
			u.write(c.vni, ip, c.via)
		}
	}
	if c.tcp.waiting() {
		c.retry.arm(u.cfg.Timers.Now())
	}
}

func (u *Upstream) write(vni uint32, ip []byte, to netip.AddrPort) {
	b, err := fabric.Append(make([]byte, 0, len(ip)+fabric.Overhead), vni, ip, nil)
	if err == nil {
		_, _ = u.tunnel.WriteToUDPAddrPort(b, to)
	}
}

// retransmit sends again what is not acknowledged and forgets idle connections, until ctx is done.
func (u *Upstream) retransmit(ctx context.Context) {
	sub := u.cfg.Timers.Every(retransmitTick)
	defer sub.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sub.C:
			u.retransmitDue(u.cfg.Timers.Now())
		}
	}
}

func (u *Upstream) retransmitDue(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for k, c := range u.conns {
		if now.Sub(c.seen) > u.cfg.IdleTimeout {
			u.cancel(k, c)
			continue
		}
		if !c.tcp.waiting() || now.Before(c.retry.due) {
			continue
		}
		if !c.retry.expire(now, maxRetransmits) {
			u.cancel(k, c)
			continue
		}
		u.send(c, c.tcp.retransmit())
	}
}
