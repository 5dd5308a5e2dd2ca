package standin

import (
	"net/netip"

	"github.com/corianderbay/corianderbay/fabric"
)

// Limits of the simplified TCP of this package. It has no options and no
// congestion control, and retransmits from the first unacknowledged byte (go-back-N).
const (
	tcpMaxSegmentSize = 1200  // bytes of payload
	tcpWindow         = 32768 // bytes in flight
	tcpMaxOutOfOrder  = 64    // buffered out-of-order segments
)

type tcpState uint8

const (
	tcpSynSent tcpState = iota + 1
	tcpSynReceived
	tcpEstablished
)

// tcpSegment is one received segment.
type tcpSegment struct {
	flags    fabric.Flags
	seq, ack uint32
	payload  []byte
}

// tcpConn is the state machine of one end of a TCP connection: its methods take
// received segments and return those to send. It uses no clock and is not safe
// for concurrent use.
type tcpConn struct {
	local, remote netip.AddrPort
	state         tcpState
	iss           uint32 // the initial sequence number of this end
	una           uint32 // the oldest unacknowledged sequence number
	nxt           uint32 // the next sequence number to send
	maxSent       uint32 // the highest nxt so far
	sendBuffer    []byte // sendBuffer[0] has the sequence number una once established
	finQueued     bool   // a FIN follows sendBuffer
	finAcked      bool   // the peer acknowledged the FIN
	irs           uint32 // the peer's initial sequence number
	rcvNxt        uint32 // the next expected sequence number
	outOfOrder    map[uint32]tcpSegment
	finReceived   bool // the peer's FIN has been received
}

// dialTCP returns a connection and its SYN.
func dialTCP(local, remote netip.AddrPort, iss uint32) (*tcpConn, fabric.Segment) {
	c := &tcpConn{local: local, remote: remote, state: tcpSynSent, iss: iss, una: iss, nxt: iss + 1, maxSent: iss + 1}
	return c, c.handshake()
}

// acceptTCP returns the connection for a received SYN and the SYN with ACK.
func acceptTCP(local, remote netip.AddrPort, iss, irs uint32) (*tcpConn, fabric.Segment) {
	c := &tcpConn{local: local, remote: remote, state: tcpSynReceived, iss: iss, una: iss, nxt: iss + 1, maxSent: iss + 1}
	c.irs = irs
	c.rcvNxt = irs + 1
	return c, c.handshake()
}

// handshake returns the SYN or the SYN with ACK.
func (c *tcpConn) handshake() fabric.Segment {
	s := c.segment(fabric.SYN, c.iss, nil)
	if c.state == tcpSynReceived {
		s.Flags |= fabric.ACK
		s.Acknowledged = c.rcvNxt
	}
	return s
}

func (c *tcpConn) segment(flags fabric.Flags, seq uint32, payload []byte) fabric.Segment {
	s := fabric.Segment{Source: c.local, Destination: c.remote, Flags: flags, Sequence: seq, Payload: payload}
	if flags.Has(fabric.ACK) {
		s.Acknowledged = c.rcvNxt
	}
	return s
}

// send queues data and returns the segments that the window allows.
func (c *tcpConn) send(data []byte) []fabric.Segment {
	c.sendBuffer = append(c.sendBuffer, data...)
	return c.transmit(nil)
}

// close queues a FIN after the data and returns the segments that the window allows.
func (c *tcpConn) close() []fabric.Segment {
	c.finQueued = true
	return c.transmit(nil)
}

// hasUnacked reports whether sent sequence numbers are unacknowledged.
func (c *tcpConn) hasUnacked() bool {
	return c.una != c.maxSent
}

// done reports whether both ends have closed.
func (c *tcpConn) done() bool {
	return c.finAcked && c.finReceived
}

// retransmit returns the segments to resend after a timeout.
func (c *tcpConn) retransmit() []fabric.Segment {
	if !c.hasUnacked() {
		return nil
	}
	if c.state != tcpEstablished {
		return []fabric.Segment{c.handshake()}
	}
	c.nxt = c.una
	return c.transmit(nil)
}

// acceptsReset reports whether the sequence numbers of a reset are valid in the current state.
func (c *tcpConn) acceptsReset(in tcpSegment) bool {
	if c.state == tcpSynSent {
		return in.flags.Has(fabric.ACK) && in.ack == c.nxt
	}
	return in.seq-c.rcvNxt < tcpWindow
}

// receive processes a segment that is not a reset. It returns the data that is
// now in order and the segments to send.
func (c *tcpConn) receive(in tcpSegment) ([]byte, []fabric.Segment) {
	if c.state == tcpSynSent {
		return nil, c.receiveSynAck(in)
	}
	if in.flags.Has(fabric.SYN) {
		return nil, c.answerDuplicateSYN()
	}
	if !in.flags.Has(fabric.ACK) {
		return nil, nil
	}
	if !c.acknowledge(in.ack) {
		return nil, nil
	}
	data, answer := c.receivePayload(in)
	out := c.transmit(nil)
	if answer && len(out) == 0 {
		out = append(out, c.segment(fabric.ACK, c.nxt, nil))
	}
	return data, out
}

func (c *tcpConn) receiveSynAck(in tcpSegment) []fabric.Segment {
	if !in.flags.Has(fabric.SYN|fabric.ACK) || in.ack != c.nxt {
		return nil
	}
	c.una = in.ack
	c.irs = in.seq
	c.rcvNxt = in.seq + 1
	c.state = tcpEstablished
	return c.transmit([]fabric.Segment{c.segment(fabric.ACK, c.nxt, nil)})
}

// answerDuplicateSYN returns the response to a retransmitted SYN.
func (c *tcpConn) answerDuplicateSYN() []fabric.Segment {
	if c.state == tcpSynReceived {
		return []fabric.Segment{c.handshake()}
	}
	return []fabric.Segment{c.segment(fabric.ACK, c.nxt, nil)}
}

// acknowledge removes acknowledged data from the send buffer. It returns false
// for an acknowledgement of a sequence number that was not sent.
func (c *tcpConn) acknowledge(ack uint32) bool {
	n := ack - c.una
	if n > c.maxSent-c.una {
		// An old acknowledgement is less than half the sequence space behind una.
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
	if n > uint32(len(c.sendBuffer)) {
		c.finAcked = true
		c.sendBuffer = nil
	} else {
		c.sendBuffer = c.sendBuffer[n:]
	}
	c.una = ack
	if int32(c.nxt-c.una) < 0 {
		c.nxt = c.una
	}
	return true
}

// receivePayload processes the payload and the FIN of a segment. It returns the
// data that is now in order and whether an acknowledgement must be sent.
func (c *tcpConn) receivePayload(in tcpSegment) ([]byte, bool) {
	if len(in.payload) == 0 && !in.flags.Has(fabric.FIN) {
		return nil, false
	}
	if int32(in.seq-c.rcvNxt) > 0 {
		c.bufferOutOfOrder(in)
		return nil, true
	}
	data := c.appendNew(nil, in)
	for {
		in, ok := c.outOfOrder[c.rcvNxt]
		if !ok {
			return data, true
		}
		delete(c.outOfOrder, c.rcvNxt)
		data = c.appendNew(data, in)
	}
}

func (c *tcpConn) bufferOutOfOrder(in tcpSegment) {
	if in.seq-c.rcvNxt >= tcpWindow {
		return
	}
	if len(c.outOfOrder) >= tcpMaxOutOfOrder {
		clear(c.outOfOrder)
	}
	if c.outOfOrder == nil {
		c.outOfOrder = make(map[uint32]tcpSegment)
	}
	in.payload = append([]byte(nil), in.payload...)
	c.outOfOrder[in.seq] = in
}

// appendNew appends the new part of a segment that starts at or before rcvNxt.
func (c *tcpConn) appendNew(data []byte, in tcpSegment) []byte {
	old := c.rcvNxt - in.seq
	if old > uint32(len(in.payload)) {
		return data
	}
	fresh := in.payload[old:]
	c.rcvNxt += uint32(len(fresh))
	if in.flags.Has(fabric.FIN) && !c.finReceived {
		c.finReceived = true
		c.rcvNxt++
	}
	return append(data, fresh...)
}

// transmit appends the segments that the window allows to out.
func (c *tcpConn) transmit(out []fabric.Segment) []fabric.Segment {
	if c.state != tcpEstablished || c.finAcked {
		return out
	}
	for {
		sent := c.nxt - c.una
		if sent > uint32(len(c.sendBuffer)) || sent >= tcpWindow {
			return out
		}
		part := c.sendBuffer[sent:]
		if len(part) > tcpMaxSegmentSize {
			part = part[:tcpMaxSegmentSize]
		}
		last := int(sent)+len(part) == len(c.sendBuffer)
		flags := fabric.ACK | fabric.PSH
		if last && c.finQueued {
			flags |= fabric.FIN
		}
		if len(part) == 0 && !flags.Has(fabric.FIN) {
			return out
		}
		out = append(out, c.segment(flags, c.nxt, part))
		c.nxt += uint32(len(part))
		if flags.Has(fabric.FIN) {
			c.nxt++
		}
		if int32(c.nxt-c.maxSent) > 0 {
			c.maxSent = c.nxt
		}
	}
}
