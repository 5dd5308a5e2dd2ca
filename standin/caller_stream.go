package standin

import (
	"context"
	"time"

	"github.com/corianderbay/corianderbay/fabric"
)

// runStream opens a TCP flow, sends its requests and closes it.
func (s *callerSession) runStream(ctx context.Context) {
	st, o := s.open(ctx)
	if o != outcomeCompleted {
		s.caller.recorder.addUnopened(o, s.caller.cfg.Requests)
		return
	}
	defer s.caller.removeFlow(st.flow)
	for id := range uint64(s.caller.cfg.Requests) {
		if id > 0 && !s.pause(ctx, s.caller.cfg.ThinkTime) {
			break
		}
		if o := s.requestStream(ctx, st, id); o == outcomeBroken || o == outcomeStopped {
			s.caller.recorder.addClosed(o)
			break
		}
	}
	st.close(ctx)
}

// open opens a connection. It uses a new source after each refusal.
func (s *callerSession) open(ctx context.Context) (*callerStream, outcome) {
	var o outcome
	for attempt := range uint32(s.caller.cfg.Attempts) {
		st := s.dial()
		o = st.waitFor(ctx, func() bool { return st.tcp.state == tcpEstablished })
		if o == outcomeCompleted {
			return st, o
		}
		s.caller.removeFlow(st.flow)
		if !st.reset {
			return nil, o
		}
		pause := s.recordRefusal(s.newRequest(0, attempt), true, st.refusal)
		if !s.pause(ctx, pause) {
			return nil, outcomeStopped
		}
	}
	return nil, outcomeRefused
}

func (s *callerSession) dial() *callerStream {
	f := s.caller.newFlow(s.target)
	tcp, syn := dialTCP(f.key.Caller(), f.key.Address(), f.iss)
	st := &callerStream{flow: f, tcp: tcp}
	st.send([]fabric.Segment{syn})
	return st
}

// requestStream sends one request until it is answered, and retries shed attempts.
func (s *callerSession) requestStream(ctx context.Context, st *callerStream, id uint64) outcome {
	s.caller.recorder.addRequest()
	var o outcome
	for attempt := range uint32(s.caller.cfg.Attempts) {
		o = s.attemptStream(ctx, st, s.newRequest(id, attempt))
		if o != outcomeShed || !s.pause(ctx, retryDelay) {
			break
		}
	}
	s.caller.recorder.addOutcome(o)
	return o
}

func (s *callerSession) attemptStream(ctx context.Context, st *callerStream, r Request) outcome {
	b, err := r.Encode()
	if err != nil {
		return outcomeBroken
	}
	begin := s.caller.cfg.Timers.Now()
	st.send(st.tcp.send(b))
	for {
		var frame []byte
		o := st.waitFor(ctx, func() bool {
			frame, st.partial, err = splitMessage(st.partial)
			return frame != nil || err != nil
		})
		if o != outcomeCompleted {
			if st.reset {
				s.recordRefusal(r, false, st.refusal)
			}
			return o
		}
		a, decodeErr := DecodeAnswer(frame)
		if err != nil || decodeErr != nil {
			s.caller.recorder.addCorrupted()
			return outcomeBroken
		}
		if o, ok := s.checkAnswer(r, a, s.caller.cfg.Timers.Since(begin)); ok {
			return o
		}
	}
}

// callerStream is one TCP connection of a caller.
type callerStream struct {
	flow    *callerFlow
	tcp     *tcpConn
	rto     retransmitTimer
	partial []byte          // received data of an incomplete answer
	reset   bool            // a valid reset was received
	refusal *fabric.Refusal // the refusal in the reset, or nil
}

// waitFor processes packets and retransmits until done returns true, the flow is
// reset, the timeout elapses or ctx is done.
func (st *callerStream) waitFor(ctx context.Context, done func() bool) outcome {
	timers := st.flow.caller.cfg.Timers
	deadline := timers.Now().Add(st.flow.caller.cfg.Timeout)
	for !done() {
		if st.reset {
			return outcomeBroken
		}
		due := deadline
		if !st.rto.due.IsZero() && st.rto.due.Before(deadline) {
			due = st.rto.due
		}
		e, ok := st.flow.next(ctx, due)
		switch {
		case ok:
			st.receive(e)
		case ctx.Err() != nil:
			return outcomeStopped
		case !timers.Now().Before(deadline):
			return outcomeTimeout
		case !st.retransmit():
			return outcomeBroken
		}
	}
	return outcomeCompleted
}

func (st *callerStream) receive(e callerPacket) {
	if e.segment.flags.Has(fabric.RST) {
		if st.tcp.acceptsReset(e.segment) {
			st.reset = true
			st.refusal = e.refusal
		}
		return
	}
	before := st.tcp.una
	data, out := st.tcp.receive(e.segment)
	st.partial = append(st.partial, data...)
	if st.tcp.una != before {
		st.rto.acknowledged(st.now(), st.tcp.hasUnacked())
	}
	st.send(out)
}

// retransmit resends unacknowledged data if the timer has expired. It returns false after maxRetransmits.
func (st *callerStream) retransmit() bool {
	now := st.now()
	if st.rto.due.IsZero() || now.Before(st.rto.due) {
		return true
	}
	if !st.rto.expire(now, maxRetransmits) {
		return false
	}
	st.flow.caller.recorder.addRetransmission()
	st.send(st.tcp.retransmit())
	return true
}

func (st *callerStream) send(segments []fabric.Segment) {
	for _, s := range segments {
		if ip, err := s.Encode(); err == nil {
			st.flow.caller.transmit(ip)
		}
	}
	if st.tcp.hasUnacked() {
		st.rto.arm(st.now())
	}
}

func (st *callerStream) now() time.Time {
	return st.flow.caller.cfg.Timers.Now()
}

// close closes the connection and waits for the peer to close it.
func (st *callerStream) close(ctx context.Context) {
	if st.reset || ctx.Err() != nil {
		return
	}
	st.send(st.tcp.close())
	st.waitFor(ctx, st.tcp.done)
}
