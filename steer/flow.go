package steer

import (
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

// stage is how far a flow at the own upstream has come.
type stage uint8

const (
	// stageAsked: a packet of an unknown flow was delivered, and may come back.
	stageOffered stage = iota + 1
	// stagePassed: an opening was passed on to another sidecar.
	stagePassedOn
	// stageOpening: an opening was delivered.
	stageOpening
	// stageAnswered: the upstream accepted the opening; the caller has not confirmed it here.
	stageAnswered
	// stageOpen: the upstream holds the flow.
	stageOpen
	// stageEnded: both ends closed the flow, or one reset it.
	stageClosed
)

const (
	// openingTTL is how long an opening that is not confirmed is remembered.
	openingTTL = 5 * time.Second
	// closedTTL is how long a flow that ended is remembered, for packets that are still on their way.
	closedTTL = 3 * time.Second
)

// localFlow is what a sidecar remembers of one flow at its upstream.
type localFlow struct {
	stage    stage
	balancer registry.Host // that took the last packet
	// target and service are where an opening was passed on to; valid in stagePassed.
	target  registry.Host
	service registry.ServiceHash
	// confirmAck is the acknowledgement with which the caller confirms the upstream's answer to the opening.
	confirmAck uint32
	// nextSequence is the sequence number after the caller's last data, or that of the opening.
	nextSequence uint32
	// acknowledged is the caller's last acknowledgement.
	acknowledged   uint32
	requestPending bool // a request waits for its answer
	callerFin      bool
	upstreamFin    bool
	lastPacket     time.Duration // of the last packet in either direction
	deliveredAt    time.Duration // when the opening, or the request that waits, was delivered
}

// live reports whether the flow takes a connection of the upstream.
func (l *localFlow) live() bool {
	return l.stage == stageOpening || l.stage == stageAnswered || l.stage == stageOpen
}

// expired reports whether the flow need not be remembered. maxQuiet is after
// how much silence the upstream itself may forget it.
func (l *localFlow) expired(now, idleTimeout time.Duration) bool {
	idle := now - l.lastPacket
	switch l.stage {
	case stageClosed:
		return idle >= closedTTL
	case stageOpen:
		return idle >= idleTimeout
	}
	return idle >= openingTTL
}
