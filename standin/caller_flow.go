package standin

import (
	"context"
	"time"

	"github.com/corianderbay/corianderbay/fabric"
	"github.com/corianderbay/corianderbay/flow"
)

const inboxSize = 128 // packets

// callerPacket is one received packet of a flow.
type callerPacket struct {
	segment tcpSegment // segment.payload also holds the payload of a UDP datagram
	refusal *fabric.Refusal
}

// callerFlow is one flow of a Caller.
type callerFlow struct {
	caller *Caller
	key    flow.Key
	iss    uint32            // the initial sequence number of a TCP flow
	inbox  chan callerPacket // packets are dropped when it is full
}

// receive queues a copy of a packet. It never blocks.
func (f *callerFlow) receive(frame fabric.Frame, flags fabric.Flags) {
	e := callerPacket{refusal: frame.Refusal}
	e.segment = tcpSegment{
		flags:   flags,
		seq:     frame.Packet.Sequence,
		ack:     frame.Packet.Acknowledged,
		payload: append([]byte(nil), frame.Payload...),
	}
	select {
	case f.inbox <- e:
	default:
	}
}

// next returns the next packet, or false when the deadline passes or ctx is done.
func (f *callerFlow) next(ctx context.Context, deadline time.Time) (callerPacket, bool) {
	timers := f.caller.cfg.Timers
	sub := timers.After(deadline.Sub(timers.Now()))
	defer sub.Stop()
	select {
	case <-ctx.Done():
		return callerPacket{}, false
	case <-sub.C:
		return callerPacket{}, false
	case e := <-f.inbox:
		return e, true
	}
}

// outcome is the result of a wait or a request.
type outcome uint8

const (
	outcomeCompleted outcome = iota + 1
	outcomeRefused
	outcomeShed
	outcomeBroken
	outcomeTimeout
	outcomeStopped
)

// retryDelay is the minimum delay before another attempt.
const retryDelay = 100 * time.Millisecond

// callerSession runs the requests of one flow. After a refused connection it continues from another source.
type callerSession struct {
	caller *Caller
	id     uint64
	target CallerTarget
}

func (s *callerSession) newRequest(id uint64, attempt uint32) Request {
	size := s.caller.cfg.Size
	if s.target.Protocol == flow.UDP {
		size = s.caller.cfg.DatagramSize
	}
	return Request{Caller: s.id, ID: id, Attempt: attempt, Idempotent: s.target.Idempotent, Size: size, MaxWait: s.caller.cfg.MaxWait}
}

// recordRefusal records a refusal and returns the delay before the next attempt.
func (s *callerSession) recordRefusal(r Request, opening bool, refusal *fabric.Refusal) time.Duration {
	rec := RefusalRecord{Caller: r.Caller, Request: r.ID, Attempt: r.Attempt, Opening: opening, Reason: "reset"}
	pause := retryDelay
	if refusal != nil {
		rec.Reason = refusal.Reason.String()
		rec.NotRun = refusal.NotRun
		rec.RetryAfter = refusal.RetryAfter
		pause = max(pause, refusal.RetryAfter)
	}
	s.caller.recorder.addRefusal(rec)
	return pause
}

// pause waits between requests and attempts. It returns false if ctx is done.
func (s *callerSession) pause(ctx context.Context, d time.Duration) bool {
	if d == 0 {
		return ctx.Err() == nil
	}
	return s.caller.cfg.Timers.Sleep(ctx, d) == nil
}

// checkAnswer returns the outcome of an answer to r. It returns false if a is not an answer to r.
func (s *callerSession) checkAnswer(r Request, a Answer, took time.Duration) (outcome, bool) {
	t := s.caller.recorder
	if a.Caller != r.Caller || (s.target.Service != "" && a.Service != s.target.Service) {
		t.addMisrouted()
		return 0, false
	}
	if a.ID != r.ID {
		t.addLate()
		return 0, false
	}
	if a.Status != StatusDone {
		t.addShedAnswer()
		return outcomeShed, true
	}
	if string(a.Body) != string(answerBody(r)) {
		t.addCorrupted()
		return outcomeBroken, true
	}
	t.addAnswer(a.Upstream, took)
	return outcomeCompleted, true
}
