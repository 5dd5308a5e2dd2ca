package standin

import (
	"context"
	"time"

	"github.com/corianderbay/corianderbay/fabric"
)

// runDatagrams runs a UDP flow with sequential requests from one source.
func (s *callerSession) runDatagrams(ctx context.Context) {
	f := s.caller.newFlow(s.target)
	defer s.caller.removeFlow(f)
	answered, broken := false, false
	for id := range uint64(s.caller.cfg.Requests) {
		if id > 0 && !s.pause(ctx, s.caller.cfg.ThinkTime) {
			return
		}
		switch s.requestDatagram(ctx, f, id) {
		case outcomeCompleted:
			answered = true
		case outcomeTimeout:
			broken = broken || answered
		case outcomeStopped:
			return
		}
	}
	if broken {
		s.caller.recorder.addClosed(outcomeBroken)
	}
}

// requestDatagram sends one request until it is answered. It retries after a shed
// answer, and after a refusal only if the request did not run or is idempotent.
func (s *callerSession) requestDatagram(ctx context.Context, f *callerFlow, id uint64) outcome {
	s.caller.recorder.addRequest()
	var o outcome
	for attempt := range uint32(s.caller.cfg.Attempts) {
		r := s.newRequest(id, attempt)
		var refusal *fabric.Refusal
		o, refusal = s.attemptDatagram(ctx, f, r)
		if o != outcomeShed && o != outcomeRefused {
			break
		}
		pause := retryDelay
		if o == outcomeRefused {
			pause = s.recordRefusal(r, false, refusal)
			if !refusal.NotRun && !s.target.Idempotent {
				break
			}
		}
		if !s.pause(ctx, pause) {
			break
		}
	}
	s.caller.recorder.addOutcome(o)
	return o
}

func (s *callerSession) attemptDatagram(ctx context.Context, f *callerFlow, r Request) (outcome, *fabric.Refusal) {
	payload, err := r.Encode()
	if err != nil {
		return outcomeBroken, nil
	}
	ip, err := fabric.Datagram{Source: f.key.Caller(), Destination: f.key.Address(), Payload: payload}.Encode()
	if err != nil {
		return outcomeBroken, nil
	}
	timers := s.caller.cfg.Timers
	begin := timers.Now()
	deadline := begin.Add(s.caller.cfg.Timeout)
	s.caller.transmit(ip)
	var rto retransmitTimer
	rto.arm(begin)
	for {
		e, ok := f.next(ctx, earlier(rto.due, deadline))
		now := timers.Now()
		switch {
		case ok:
			if o, refusal := s.classify(r, e, now.Sub(begin)); o != 0 {
				return o, refusal
			}
		case ctx.Err() != nil:
			return outcomeStopped, nil
		case !now.Before(deadline) || !rto.expire(now, maxRetransmits):
			return outcomeTimeout, nil
		default:
			s.caller.recorder.addRetransmission()
			s.caller.transmit(ip)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// classify returns the outcome of a request if the packet determines it, or else 0.
func (s *callerSession) classify(r Request, e callerPacket, took time.Duration) (outcome, *fabric.Refusal) {
	if e.refusal != nil {
		refused, err := DecodeRequest(e.segment.payload)
		if err != nil || refused != r {
			s.caller.recorder.addLate()
			return 0, nil
		}
		return outcomeRefused, e.refusal
	}
	a, err := DecodeAnswer(e.segment.payload)
	if err != nil {
		s.caller.recorder.addCorrupted()
		return 0, nil
	}
	o, ok := s.checkAnswer(r, a, took)
	if !ok {
		return 0, nil
	}
	return o, nil
}
