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
	retransmitInterval = 50 * time.Millisecond
	initialRTO         = 200 * time.Millisecond
	maxRTO             = 3 * time.Second
	maxRetransmits     = 10
)

// upstreamConn is one TCP connection of an upstream.
type upstreamConn struct {
	tcp      *tcpConn
	lastHop  netip.AddrPort // the tunnel source of the last packet
	vni      uint32         // of the last packet
	partial  []byte         // received data of an incomplete request
	pending  []Request      // requests without an answer
	rto      retransmitTimer
	lastSeen time.Time // the time of the last packet
}

// retransmitTimer is the retransmission timer of one sender. The zero value is stopped.
type retransmitTimer struct {
	due     time.Time // zero if no data is unacknowledged
	timeout time.Duration
	retries int
}

// arm starts the timer if it is stopped.
func (r *retransmitTimer) arm(now time.Time) {
	if !r.due.IsZero() {
		return
	}
	r.timeout = initialRTO
	r.due = now.Add(r.timeout)
}

// acknowledged restarts the timer after an acknowledgement, or stops it if nothing is outstanding.
func (r *retransmitTimer) acknowledged(now time.Time, outstanding bool) {
	*r = retransmitTimer{}
	if outstanding {
		r.arm(now)
	}
}

// expire doubles the timeout up to maxRTO. It returns false if maxRetries is exceeded.
func (r *retransmitTimer) expire(now time.Time, maxRetries int) bool {
	r.retries++
	r.timeout = min(r.timeout*2, maxRTO)
	r.due = now.Add(r.timeout)
	return r.retries <= maxRetries
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
			u.receiveRequest(f, from)
			return
		}
		in := tcpSegment{flags: d.Flags(), seq: f.Packet.Sequence, ack: f.Packet.Acknowledged, payload: f.Payload}
		u.receiveSegment(f, in, from)
	})
}

// receiveRequest submits a UDP request.
func (u *Upstream) receiveRequest(f fabric.Frame, from netip.AddrPort) {
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

// receiveSegment processes a TCP segment and submits the requests that it completes.
func (u *Upstream) receiveSegment(f fabric.Frame, in tcpSegment, from netip.AddrPort) {
	k := f.Packet.Key
	u.mu.Lock()
	c := u.conns[k]
	switch {
	case f.Packet.Reset:
		if c != nil && c.tcp.acceptsReset(in) {
			u.dropConn(k, c)
		}
		u.mu.Unlock()
		return
	case f.Packet.Opening && (c == nil || c.tcp.irs != in.seq):
		u.accept(f, in, from)
		u.mu.Unlock()
		return
	case c == nil:
		u.mu.Unlock()
		u.sendReset(f, from)
		return
	}
	c.lastHop, c.vni, c.lastSeen = from, f.VNI, u.cfg.Timers.Now()
	requests := u.receiveData(k, c, in)
	u.mu.Unlock()
	for _, r := range requests {
		u.submit(r, func(a Answer) { u.reply(k, c, a) })
	}
}

// dropConn removes a connection and cancels its requests that have not started. The caller holds u.mu.
func (u *Upstream) dropConn(k flow.Key, c *upstreamConn) {
	delete(u.conns, k)
	for _, r := range c.pending {
		u.runs.cancel(r)
	}
}

// accept opens a connection and replaces an earlier one with the same key. The caller holds u.mu.
func (u *Upstream) accept(f fabric.Frame, in tcpSegment, from netip.AddrPort) {
	k := f.Packet.Key
	if u.conns[k] == nil && len(u.conns) >= u.cfg.Connections {
		u.sendReset(f, from)
		return
	}
	tcp, synAck := acceptTCP(k.Address(), k.Caller(), u.rand.Uint32(), in.seq)
	c := &upstreamConn{tcp: tcp, lastHop: from, vni: f.VNI, lastSeen: u.cfg.Timers.Now()}
	u.conns[k] = c
	u.send(c, []fabric.Segment{synAck})
}

func (u *Upstream) sendReset(f fabric.Frame, from netip.AddrPort) {
	u.resets.Add(1)
	if ip, err := fabric.Reset(f.IP); err == nil {
		u.write(f.VNI, ip, from)
	}
}

// receiveData returns the requests that the segment completes. The caller holds u.mu.
func (u *Upstream) receiveData(k flow.Key, c *upstreamConn, in tcpSegment) []Request {
	before := c.tcp.una
	data, out := c.tcp.receive(in)
	if c.tcp.una != before {
		c.rto.acknowledged(u.cfg.Timers.Now(), c.tcp.hasUnacked())
	}
	u.send(c, out)
	c.partial = append(c.partial, data...)
	var requests []Request
	for {
		frame, rest, err := splitMessage(c.partial)
		if err != nil {
			u.malformed.Add(1)
			delete(u.conns, k)
			return requests
		}
		if frame == nil {
			break
		}
		c.partial = rest
		r, err := DecodeRequest(frame)
		if err != nil {
			u.malformed.Add(1)
			continue
		}
		c.pending = append(c.pending, r)
		requests = append(requests, r)
	}
	u.closeAnswered(k, c)
	return requests
}

// closeAnswered closes a connection that the caller has closed when all requests
// are answered, and removes it when both ends are closed. The caller holds u.mu.
func (u *Upstream) closeAnswered(k flow.Key, c *upstreamConn) {
	if c.tcp.finReceived && len(c.pending) == 0 && !c.tcp.finQueued {
		u.send(c, c.tcp.close())
	}
	if c.tcp.done() && u.conns[k] == c {
		delete(u.conns, k)
	}
}

// reply sends an answer unless the connection has been removed.
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
	c.pending = slices.DeleteFunc(c.pending, func(r Request) bool { return r.ID == a.ID && r.Caller == a.Caller })
	u.send(c, c.tcp.send(b))
	u.closeAnswered(k, c)
}

// send writes segments and arms the retransmission timer. The caller holds u.mu.
func (u *Upstream) send(c *upstreamConn, segments []fabric.Segment) {
	for _, s := range segments {
		if ip, err := s.Encode(); err == nil {
			u.write(c.vni, ip, c.lastHop)
		}
	}
	if c.tcp.hasUnacked() {
		c.rto.arm(u.cfg.Timers.Now())
	}
}

func (u *Upstream) write(vni uint32, ip []byte, to netip.AddrPort) {
	b, err := fabric.Append(make([]byte, 0, len(ip)+fabric.Overhead), vni, ip, nil)
	if err == nil {
		_, _ = u.tunnel.WriteToUDPAddrPort(b, to)
	}
}

// retransmit resends unacknowledged data and removes idle connections until ctx is done.
func (u *Upstream) retransmit(ctx context.Context) {
	sub := u.cfg.Timers.Every(retransmitInterval)
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
		if now.Sub(c.lastSeen) > u.cfg.IdleTimeout {
			u.dropConn(k, c)
			continue
		}
		if !c.tcp.hasUnacked() || now.Before(c.rto.due) {
			continue
		}
		if !c.rto.expire(now, maxRetransmits) {
			u.dropConn(k, c)
			continue
		}
		u.send(c, c.tcp.retransmit())
	}
}
