package standin

import (
	"context"
	"time"

	"github.com/corianderbay/corianderbay/fabric"
	"github.com/corianderbay/corianderbay/flow"
)

const inboxSize = 128 // events

// callerPacket is one packet for a flow.
type callerPacket struct {
	segment tcpSegment // the payload of a datagram is in segment.payload too
	refusal *fabric.Refusal
}

// callerFlow is one flow of a Caller.
type callerFlow struct {
	caller *Caller
	key    flow.Key
	iss    uint32            // the initial sequence number of a TCP flow
	inbox  chan callerPacket // events are dropped when it is full
}

// receive keeps a copy of a packet for the flow. It never blocks.
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

// next returns the next packet, or false at the time due or when ctx is done.
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

// outcome is how a wait of a flow or a request ended.
type outcome uint8

const (
	outcomeCompleted outcome = iota + 1
	outcomeRefused
	outcomeShed
	outcomeBroken
	outcomeTimeout
	outcomeStopped
)

// retryDelay is the wait before another attempt when none was asked for.
const retryDelay = 100 * time.Millisecond

// callerSession is what one flow of the run does; after a refusal it goes on from another source.
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

// recordRefusal records a refusal and returns how long to wait before another attempt.
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

// pause waits between requests and attempts. It returns false when ctx is done.
func (s *callerSession) pause(ctx context.Context, d time.Duration) bool {
	if d == 0 {
		return ctx.Err() == nil
	}
	return s.caller.cfg.Timers.Sleep(ctx, d) == nil
}

// checkAnswer judges an answer to r. It returns false for one that does not answer r.
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
