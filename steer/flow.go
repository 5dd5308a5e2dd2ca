package steer

import (
	"time"

	"github.com/corianderbay/corianderbay/pace"
	"github.com/corianderbay/corianderbay/registry"
)

// stage is the state of a flow at the local upstream.
type stage uint8

const (
	// stageOffered: a packet of an unknown flow was delivered and may be returned.
	stageOffered stage = iota + 1
	// stageReturned: the upstream returned a later packet. It does not hold the flow and,
	// as long as this sidecar delivers no opening of it, never will.
	stageReturned
	// stagePassedOn: an opening was passed on to another sidecar.
	stagePassedOn
	// stageOpening: an opening was delivered.
	stageOpening
	// stageAnswered: the upstream accepted the opening; the caller's confirmation has
	// not passed here.
	stageAnswered
	// stageOpen: the upstream holds the flow.
	stageOpen
	// stageUncertain: the upstream may hold the flow. No packet passed for longer than the idle
	// timeout, or before it was confirmed, packets came that belong to another flow, or one end
	// reset the flow, which may have been a late packet of the former flow of the port, or a
	// packet was offered and not returned.
	stageUncertain
	// stageClosed: both ends closed the flow, or one of them reset it.
	stageClosed
)

const (
	// openingTTL is how long an opening that is not confirmed is kept.
	openingTTL = 5 * time.Second
	// closedTTL is how long a closed flow is kept, for packets that are still in
	// transit.
	closedTTL = 3 * time.Second
	// maxAcknowledgedGap bounds the difference between the acknowledgement numbers of two
	// packets of one flow in succession.
	maxAcknowledgedGap = 1 << 24
)

// localFlow is the entry for a flow in the table of a sidecar.
type localFlow struct {
	stage    stage
	balancer registry.Host // that received the last packet from the caller
	// target and service are where an opening was passed on to; valid in stagePassedOn.
	target  registry.Host
	service registry.ServiceHash
	// version is that of the routes by which the balancer placed an opening that was passed
	// on; valid in stagePassedOn.
	version uint64
	// answerSequence is the sequence number of the upstream's answer to the opening.
	// The caller confirms the answer with an acknowledgement of this number or the next
	// one.
	answerSequence uint32
	// openingSequence is the sequence number of the opening that was delivered; 0 when none was,
	// for example before the sidecar started.
	openingSequence uint32
	// nextSequence is the sequence number after the caller's last data, or that of the
	// opening.
	nextSequence uint32
	// acknowledged is the caller's last acknowledgement number; 0 when it is not known.
	acknowledged   uint32
	request        pace.Request // the pending request; 0 if there is none or it is not tracked
	requestPending bool         // a request has not been answered
	callerFin      bool
	upstreamFin    bool
	lastPacket     time.Duration // in either direction
	deliveredAt    time.Duration // when the opening, or the pending request, was delivered
}

// continuedBy reports whether a later packet may belong to the flow. The caller may have used
// its port again for a flow of another upstream.
func (l *localFlow) continuedBy(p *Packet) bool {
	if p.Flags.Has(RST) || l.acknowledged == 0 {
		return true
	}
	return p.Acknowledged-l.acknowledged+maxAcknowledgedGap <= 2*maxAcknowledgedGap
}

// openedBy reports whether a packet that opens a flow is a copy of the opening that the upstream
// accepted.
func (l *localFlow) openedBy(p *Packet) bool {
	accepted := l.stage == stageAnswered || l.stage == stageOpen || l.stage == stageClosed
	return accepted && l.openingSequence != 0 && l.openingSequence == p.Sequence
}

// live reports whether the flow counts towards the connections of the upstream.
func (l *localFlow) live() bool {
	return l.stage == stageOpening || l.stage == stageAnswered || l.stage == stageOpen
}

// expired reports whether the flow can be removed. maxFlow is the time without packets after
// which no flow is open any more.
func (l *localFlow) expired(now, maxFlow time.Duration) bool {
	idle := now - l.lastPacket
	switch l.stage {
	case stageClosed:
		return idle >= closedTTL && l.callerFin && l.upstreamFin
	case stageOffered:
		return false
	case stageOpen, stageUncertain:
		return idle >= maxFlow
	}
	return idle >= openingTTL
}

// doubtful reports whether the upstream may or may not hold the flow. idleTimeout is the time
// without packets after which it may drop an open one. A reset may be a late packet of the
// former flow of the port, which the upstream ignores. A packet that was offered and not
// returned may have opened the flow.
func (l *localFlow) doubtful(now, idleTimeout time.Duration) bool {
	idle := now - l.lastPacket
	switch l.stage {
	case stageOpen:
		return idle >= idleTimeout
	case stageClosed:
		return idle >= closedTTL
	case stageOffered:
		return idle >= openingTTL
	}
	return false
}
