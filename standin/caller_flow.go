package standin

import (
	"context"
	"time"

	"github.com/corianderbay/corianderbay/fabric"
	"github.com/corianderbay/corianderbay/flow"
)

const callerInbox = 128 // events

// callerEvent is one packet for a flow.
type callerEvent struct {
	segment tcpInput // the payload of a datagram is in segment.payload too
	refusal *fabric.Refusal
}

// callerFlow is one flow of a Caller.
type callerFlow struct {
	caller *Caller
	key    flow.Key
	first  uint32           // the initial sequence number of a TCP flow
	inbox  chan callerEvent // events are dropped when it is full
}

// receive keeps a copy of a packet for the flow. It never blocks.
func (f *callerFlow) receive(frame fabric.Frame, flags fabric.Flags) {
	e := callerEvent{refusal: frame.Refusal}
	e.segment = tcpInput{
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

// await returns the next packet, or false at the time due or when ctx is done.
func (f *callerFlow) await(ctx context.Context, due time.Time) (callerEvent, bool) {
	timers := f.caller.cfg.Timers
	sub := timers.After(due.Sub(timers.Now()))
	defer sub.Stop()
	select {
	case <-ctx.Done():
		return callerEvent{}, false
	case <-sub.C:
		return callerEvent{}, false
	case e := <-f.inbox:
		return e, true
	}
}

// outcome is how a wait of a flow or a request ended.
type outcome uint8

const (
	outcomeWhole outcome = iota + 1
	outcomeRefused
	outcomeShed
	outcomeBroken
	outcomeTimeout
	outcomeStopped
)

// retryPause is the wait before another attempt when none was asked for.
const retryPause = 100 * time.Millisecond

// callerSession is what one flow of the run does; after a refusal it goes on from another source.
type callerSession struct {
	caller *Caller
	id     uint64
	target CallerTarget
}

func (s *callerSession) request(id uint64, attempt uint32) Request {
	size := s.caller.cfg.Size
	if s.target.Protocol == flow.UDP {
		size = s.caller.cfg.DatagramSize
	}
	return Request{Caller: s.id, ID: id, Attempt: attempt, Idempotent: s.target.Idempotent, Size: size, MaxWait: s.caller.cfg.MaxWait}
}

// refused records a refusal and returns how long to wait before another attempt.
func (s *callerSession) refused(r Request, opening bool, refusal *fabric.Refusal) time.Duration {
	rec := RefusalRecord{Caller: r.Caller, Request: r.ID, Attempt: r.Attempt, Opening: opening, Reason: "reset"}
	pause := retryPause
	if refusal != nil {
		rec.Reason = refusal.Reason.String()
		rec.NotRun = refusal.NotRun
		rec.RetryAfter = refusal.RetryAfter
		pause = max(pause, refusal.RetryAfter)
	}
	s.caller.tally.refusal(rec)
	return pause
}

// pause waits between requests and attempts. It returns false when ctx is done.
func (s *callerSession) pause(ctx context.Context, d time.Duration) bool {
	if d == 0 {
		return ctx.Err() == nil
	}
	return s.caller.cfg.Timers.Sleep(ctx, d) == nil
}

// check judges an answer to r. It returns false for one that does not answer r.
func (s *callerSession) check(r Request, a Answer, took time.Duration) (outcome, bool) {
	t := s.caller.tally
	if a.Caller != r.Caller || (s.target.Service != "" && a.Service != s.target.Service) {
		t.foreign()
		return 0, false
	}
	if a.ID != r.ID {
		t.late()
		return 0, false
	}
	if a.Status != StatusDone {
		t.shed()
		return outcomeShed, true
	}
	if string(a.Body) != string(body(r)) {
		t.damaged()
		return outcomeBroken, true
	}
	t.whole(a.Upstream, took)
	return outcomeWhole, true
}
