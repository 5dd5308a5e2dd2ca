package standin

import (
	"context"
	"time"

	"github.com/corianderbay/corianderbay/fabric"
)

// runStream runs a TCP flow: open, requests, close.
func (s *callerSession) runStream(ctx context.Context) {
	st, o := s.open(ctx)
	if o != outcomeWhole {
		s.caller.tally.unopened(o, s.caller.cfg.Requests)
		return
	}
	defer s.caller.drop(st.flow)
	for id := range uint64(s.caller.cfg.Requests) {
		if id > 0 && !s.pause(ctx, s.caller.cfg.ThinkTime) {
			break
		}
		if o := s.askStream(ctx, st, id); o == outcomeBroken || o == outcomeStopped {
			s.caller.tally.closed(o)
			break
		}
	}
	st.finish(ctx)
}

// open opens a connection, from a new source after each refusal.
func (s *callerSession) open(ctx context.Context) (*callerStream, outcome) {
	var o outcome
	for attempt := range uint32(s.caller.cfg.Attempts) {
		st := s.dial()
		o = st.await(ctx, func() bool { return st.tcp.state == tcpEstablished })
		if o == outcomeWhole {
			return st, o
		}
		s.caller.drop(st.flow)
		if !st.reset {
			return nil, o
		}
		pause := s.refused(s.request(0, attempt), true, st.refusal)
		if !s.pause(ctx, pause) {
			return nil, outcomeStopped
		}
	}
	return nil, outcomeRefused
}

func (s *callerSession) dial() *callerStream {
	f := s.caller.newFlow(s.target)
	tcp, opening := dialTCP(f.key.Caller(), f.key.Address(), f.first)
	st := &callerStream{flow: f, tcp: tcp}
	st.send([]fabric.Segment{opening})
	return st
}

// askStream sends one request until it has an answer, with a new attempt after each shed one.
func (s *callerSession) askStream(ctx context.Context, st *callerStream, id uint64) outcome {
	s.caller.tally.request()
	var o outcome
	for attempt := range uint32(s.caller.cfg.Attempts) {
		o = s.attemptStream(ctx, st, s.request(id, attempt))
		if o != outcomeShed || !s.pause(ctx, retryPause) {
			break
		}
	}
	s.caller.tally.outcome(o)
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
		o := st.await(ctx, func() bool {
			frame, st.stream, err = cutMessage(st.stream)
			return frame != nil || err != nil
		})
		if o != outcomeWhole {
			if st.reset {
				s.refused(r, false, st.refusal)
			}
			return o
		}
		a, decodeErr := DecodeAnswer(frame)
		if err != nil || decodeErr != nil {
			s.caller.tally.damaged()
			return outcomeBroken
		}
		if o, ok := s.check(r, a, s.caller.cfg.Timers.Since(begin)); ok {
			return o
		}
	}
}

// callerStream is one TCP connection of a caller.
type callerStream struct {
	flow    *callerFlow
	tcp     *tcpConn
	retry   retransmission
	stream  []byte          // received data that is no whole answer yet
	reset   bool            // a valid reset has arrived
	refusal *fabric.Refusal // what the reset carried, or nil
}

// await handles packets until done returns true.
func (st *callerStream) await(ctx context.Context, done func() bool) outcome {
	timers := st.flow.caller.cfg.Timers
	limit := timers.Now().Add(st.flow.caller.cfg.Timeout)
	for !done() {
		if st.reset {
			return outcomeBroken
		}
		due := limit
		if !st.retry.due.IsZero() && st.retry.due.Before(limit) {
			due = st.retry.due
		}
		e, ok := st.flow.await(ctx, due)
		switch {
		case ok:
			st.receive(e)
		case ctx.Err() != nil:
			return outcomeStopped
		case !timers.Now().Before(limit):
			return outcomeTimeout
		case !st.retransmit():
			return outcomeBroken
		}
	}
	return outcomeWhole
}

func (st *callerStream) receive(e callerEvent) {
	if e.segment.flags.Has(fabric.RST) {
		if st.tcp.acceptsReset(e.segment) {
			st.reset = true
			st.refusal = e.refusal
		}
		return
	}
	before := st.tcp.una
	data, out := st.tcp.receive(e.segment)
	st.stream = append(st.stream, data...)
	if st.tcp.una != before {
		st.retry.progress(st.now(), st.tcp.waiting())
	}
	st.send(out)
}

// retransmit sends again what is not acknowledged. It returns false after too many tries.
func (st *callerStream) retransmit() bool {
	now := st.now()
	if st.retry.due.IsZero() || now.Before(st.retry.due) {
		return true
	}
	if !st.retry.expire(now, maxRetransmits) {
		return false
	}
	st.flow.caller.tally.retransmission()
	st.send(st.tcp.retransmit())
	return true
}

func (st *callerStream) send(segments []fabric.Segment) {
	for _, s := range segments {
		if ip, err := s.Encode(); err == nil {
			st.flow.caller.transmit(ip)
		}
	}
	if st.tcp.waiting() {
		st.retry.arm(st.now())
	}
}

func (st *callerStream) now() time.Time {
	return st.flow.caller.cfg.Timers.Now()
}

// finish closes the connection and waits for the other end to close.
func (st *callerStream) finish(ctx context.Context) {
	if st.reset || ctx.Err() != nil {
		return
	}
	st.send(st.tcp.close())
	st.await(ctx, st.tcp.done)
}
