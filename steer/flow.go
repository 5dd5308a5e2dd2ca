package steer

import (
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

// stage is how far a flow at the own upstream has come.
type stage uint8

const (
	// stageAsked: a packet of an unknown flow was delivered, and may come back.
	stageAsked stage = iota + 1
	// stagePassed: an opening was passed on to another sidecar.
	stagePassed
	// stageOpening: an opening was delivered.
	stageOpening
	// stageAnswered: the upstream accepted the opening; the caller has not confirmed it here.
	stageAnswered
	// stageOpen: the upstream holds the flow.
	stageOpen
	// stageEnded: both ends closed the flow, or one reset it.
	stageEnded
)

const (
	// openingLife is how long an opening that is not confirmed is remembered.
	openingLife = 5 * time.Second
	// endedLife is how long a flow that ended is remembered, for packets that are still on their way.
	endedLife = 3 * time.Second
)

// local is what a sidecar remembers of one flow at its upstream.
type local struct {
	stage    stage
	balancer registry.Host // that took the last packet
	// target and service are where an opening was passed on to; valid in stagePassed.
	target  registry.Host
	service registry.ServiceHash
	// confirm is the acknowledgement with which the caller confirms the upstream's answer to the opening.
	confirm uint32
	// next is the sequence number after the caller's last data, or that of the opening.
	next uint32
	// acknowledge is the caller's last acknowledgement.
	acknowledge uint32
	waiting     bool // a request waits for its answer
	callerFin   bool
	ownFin      bool
	last        time.Duration // of the last packet in either direction
	asked       time.Duration // when the opening, or the request that waits, was delivered
}

// live reports whether the flow takes a connection of the upstream.
func (l *local) live() bool {
	return l.stage == stageOpening || l.stage == stageAnswered || l.stage == stageOpen
}

// expired reports whether the flow need not be remembered. maxQuiet is after
// how much silence the upstream itself may forget it.
func (l *local) expired(now, maxQuiet time.Duration) bool {
	quiet := now - l.last
	switch l.stage {
	case stageEnded:
		return quiet >= endedLife
	case stageOpen:
		return quiet >= maxQuiet
	}
	return quiet >= openingLife
}
