package standin

import (
	"net/netip"

	"github.com/corianderbay/corianderbay/fabric"
)

// Sizes of the TCP that the stand-ins speak. It has no options and no
// congestion control, and sends again from the first unacknowledged byte.
const (
	tcpSegmentSize = 1200  // bytes of payload
	tcpWindow      = 32768 // bytes in flight
	tcpMaxAhead    = 64    // segments kept out of order
)

type tcpState uint8

const (
	tcpSynSent tcpState = iota + 1
	tcpSynReceived
	tcpEstablished
)

// tcpInput is one received segment.
type tcpInput struct {
	flags    fabric.Flags
	seq, ack uint32
	payload  []byte
}

// tcpConn is one end of a TCP connection. Segments go in and come out; it
// reads no clock and is not safe for concurrent use.
type tcpConn struct {
	local, remote netip.AddrPort
	state         tcpState
	first         uint32 // the initial sequence number of this end
	una           uint32 // the first sequence number that is not acknowledged
	next          uint32 // the sequence number that is sent next
	top           uint32 // the highest next so far
	out           []byte // out[0] has the sequence number una once established
	closing       bool   // a FIN follows out
	closed        bool   // the peer acknowledged the FIN
	peerFirst     uint32 // the peer's initial sequence number
	recv          uint32 // the sequence number that is expected next
	ahead         map[uint32]tcpInput
	peerClosed    bool // the peer's FIN has been received
}

// dialTCP returns a connection and its opening.
func dialTCP(local, remote netip.AddrPort, first uint32) (*tcpConn, fabric.Segment) {
	c := &tcpConn{local: local, remote: remote, state: tcpSynSent, first: first, una: first, next: first + 1, top: first + 1}
	return c, c.handshake()
}

// acceptTCP returns the connection that an opening asks for and the answer to it.
func acceptTCP(local, remote netip.AddrPort, first, peerFirst uint32) (*tcpConn, fabric.Segment) {
	c := &tcpConn{local: local, remote: remote, state: tcpSynReceived, first: first, una: first, next: first + 1, top: first + 1}
	c.peerFirst = peerFirst
	c.recv = peerFirst + 1
	return c, c.handshake()
}

// handshake returns the SYN or the SYN with ACK.
func (c *tcpConn) handshake() fabric.Segment {
	s := c.segment(fabric.SYN, c.first, nil)
	if c.state == tcpSynReceived {
		s.Flags |= fabric.ACK
		s.Acknowledged = c.recv
	}
	return s
}

func (c *tcpConn) segment(flags fabric.Flags, seq uint32, payload []byte) fabric.Segment {
	s := fabric.Segment{Source: c.local, Destination: c.remote, Flags: flags, Sequence: seq, Payload: payload}
	if flags.Has(fabric.ACK) {
		s.Acknowledged = c.recv
	}
	return s
}

// send queues data and returns the segments that may leave now.
func (c *tcpConn) send(data []byte) []fabric.Segment {
	c.out = append(c.out, data...)
	return c.transmit(nil)
}

// close queues a FIN behind the data and returns the segments that may leave now.
func (c *tcpConn) close() []fabric.Segment {
	c.closing = true
	return c.transmit(nil)
}

// waiting reports whether something that was sent is not acknowledged.
func (c *tcpConn) waiting() bool {
	return c.una != c.top
}

// done reports whether both ends have closed.
func (c *tcpConn) done() bool {
	return c.closed && c.peerClosed
}

// retransmit returns what is sent again after a timeout.
func (c *tcpConn) retransmit() []fabric.Segment {
	if !c.waiting() {
		return nil
	}
	if c.state != tcpEstablished {
		return []fabric.Segment{c.handshake()}
	}
	c.next = c.una
	return c.transmit(nil)
}

// acceptsReset reports whether a reset is for the present state of the connection.
func (c *tcpConn) acceptsReset(in tcpInput) bool {
	if c.state == tcpSynSent {
		return in.flags.Has(fabric.ACK) && in.ack == c.next
	}
	return in.seq-c.recv < tcpWindow
}

// receive takes a segment that is no reset. It returns data that is now in
// order, and the segments to send.
func (c *tcpConn) receive(in tcpInput) ([]byte, []fabric.Segment) {
	if c.state == tcpSynSent {
		return nil, c.receiveSynAck(in)
	}
	if in.flags.Has(fabric.SYN) {
		return nil, c.repeatHandshake()
	}
	if !in.flags.Has(fabric.ACK) {
		return nil, nil
	}
	if !c.acknowledge(in.ack) {
		return nil, nil
	}
	data, answer := c.accept(in)
	out := c.transmit(nil)
	if answer && len(out) == 0 {
		out = append(out, c.segment(fabric.ACK, c.next, nil))
	}
	return data, out
}

func (c *tcpConn) receiveSynAck(in tcpInput) []fabric.Segment {
	if !in.flags.Has(fabric.SYN|fabric.ACK) || in.ack != c.next {
		return nil
	}
	c.una = in.ack
	c.peerFirst = in.seq
	c.recv = in.seq + 1
	c.state = tcpEstablished
	return c.transmit([]fabric.Segment{c.segment(fabric.ACK, c.next, nil)})
}

// repeatHandshake answers a SYN that arrived again.
func (c *tcpConn) repeatHandshake() []fabric.Segment {
	if c.state == tcpSynReceived {
		return []fabric.Segment{c.handshake()}
	}
	return []fabric.Segment{c.segment(fabric.ACK, c.next, nil)}
}

// acknowledge drops what the peer has received. It returns false for a number that was never sent.
func (c *tcpConn) acknowledge(ack uint32) bool {
	n := ack - c.una
	if n > c.top-c.una {
		// An old number is less than half the sequence space behind.
		return int32(n) < 0 && c.state == tcpEstablished
	}
	if n == 0 {
		return c.state == tcpEstablished
	}
	if c.state == tcpSynReceived {
		c.state = tcpEstablished
		c.una++
		n--
	}
	if n > uint32(len(c.out)) {
		c.closed = true
		c.out = nil
	} else {
		c.out = c.out[n:]
	}
	c.una = ack
	if int32(c.next-c.una) < 0 {
		c.next = c.una
	}
	return true
}

// accept takes the payload and the FIN of a segment. It reports whether an acknowledgement is due.
func (c *tcpConn) accept(in tcpInput) ([]byte, bool) {
	if len(in.payload) == 0 && !in.flags.Has(fabric.FIN) {
		return nil, false
	}
	if int32(in.seq-c.recv) > 0 {
		c.keepAhead(in)
		return nil, true
	}
	data := c.take(nil, in)
	for {
		in, ok := c.ahead[c.recv]
		if !ok {
			return data, true
		}
		delete(c.ahead, c.recv)
		data = c.take(data, in)
	}
}

func (c *tcpConn) keepAhead(in tcpInput) {
	if in.seq-c.recv >= tcpWindow {
		return
	}
	if len(c.ahead) >= tcpMaxAhead {
		clear(c.ahead)
	}
	if c.ahead == nil {
		c.ahead = make(map[uint32]tcpInput)
	}
	in.payload = append([]byte(nil), in.payload...)
	c.ahead[in.seq] = in
}

// take appends the new part of a segment that starts at or before the expected number.
func (c *tcpConn) take(data []byte, in tcpInput) []byte {
	old := c.recv - in.seq
	if old > uint32(len(in.payload)) {
		return data
	}
	fresh := in.payload[old:]
	c.recv += uint32(len(fresh))
	if in.flags.Has(fabric.FIN) && !c.peerClosed {
		c.peerClosed = true
		c.recv++
	}
	return append(data, fresh...)
}

// transmit appends the segments that the window allows.
func (c *tcpConn) transmit(out []fabric.Segment) []fabric.Segment {
	if c.state != tcpEstablished || c.closed {
		return out
	}
	for {
		sent := c.next - c.una
		if sent > uint32(len(c.out)) || sent >= tcpWindow {
			return out
		}
		part := c.out[sent:]
		if len(part) > tcpSegmentSize {
			part = part[:tcpSegmentSize]
		}
		last := int(sent)+len(part) == len(c.out)
		flags := fabric.ACK | fabric.PSH
		if last && c.closing {
			flags |= fabric.FIN
		}
		if len(part) == 0 && !flags.Has(fabric.FIN) {
			return out
		}
		out = append(out, c.segment(flags, c.next, part))
		c.next += uint32(len(part))
		if flags.Has(fabric.FIN) {
			c.next++
		}
		if int32(c.next-c.top) > 0 {
			c.top = c.next
		}
	}
}
