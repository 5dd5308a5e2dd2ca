package standin

import (
	"context"
	"time"

	"github.com/corianderbay/corianderbay/fabric"
)

// runDatagrams runs a UDP flow: one request after the other from one source.
func (s *callerSession) runDatagrams(ctx context.Context) {
	f := s.caller.newFlow(s.target)
	defer s.caller.drop(f)
	answered, broken := false, false
	for id := range uint64(s.caller.cfg.Requests) {
		if id > 0 && !s.pause(ctx, s.caller.cfg.ThinkTime) {
			return
		}
		switch s.askDatagram(ctx, f, id) {
		case outcomeWhole:
			answered = true
		case outcomeTimeout:
			broken = broken || answered
		case outcomeStopped:
			return
		}
	}
	if broken {
		s.caller.tally.closed(outcomeBroken)
	}
}

// askDatagram sends one request until it has an answer. It tries again after a
// refusal or a shed answer only when the request did not run or may run twice.
func (s *callerSession) askDatagram(ctx context.Context, f *callerFlow, id uint64) outcome {
	s.caller.tally.request()
	var o outcome
	for attempt := range uint32(s.caller.cfg.Attempts) {
		r := s.request(id, attempt)
		var refusal *fabric.Refusal
		o, refusal = s.attemptDatagram(ctx, f, r)
		if o != outcomeShed && o != outcomeRefused {
			break
		}
		pause := retryPause
		if o == outcomeRefused {
			pause = s.refused(r, false, refusal)
			if !refusal.NotRun && !s.target.Idempotent {
				break
			}
		}
		if !s.pause(ctx, pause) {
			break
		}
	}
	s.caller.tally.outcome(o)
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
	limit := begin.Add(s.caller.cfg.Timeout)
	s.caller.transmit(ip)
	var retry retransmission
	retry.arm(begin)
	for {
		e, ok := f.await(ctx, earlier(retry.due, limit))
		now := timers.Now()
		switch {
		case ok:
			if o, refusal := s.judge(r, e, now.Sub(begin)); o != 0 {
				return o, refusal
			}
		case ctx.Err() != nil:
			return outcomeStopped, nil
		case !now.Before(limit) || !retry.expire(now, maxRetransmits):
			return outcomeTimeout, nil
		default:
			s.caller.tally.retransmission()
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

// judge returns the outcome of a request when the packet decides it, and else 0.
func (s *callerSession) judge(r Request, e callerEvent, took time.Duration) (outcome, *fabric.Refusal) {
	if e.refusal != nil {
		refused, err := DecodeRequest(e.segment.payload)
		if err != nil || refused != r {
			s.caller.tally.late()
			return 0, nil
		}
		return outcomeRefused, e.refusal
	}
	a, err := DecodeAnswer(e.segment.payload)
	if err != nil {
		s.caller.tally.damaged()
		return 0, nil
	}
	o, ok := s.check(r, a, took)
	if !ok {
		return 0, nil
	}
	return o, nil
}
