package peer

import (
	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/configservice"
)

// A loopEvent tells the loop of a Node what happened at an edge: opened, closed,
// received, dialFailed, bundleRead, listRead or platformCalled.
type loopEvent interface{ loopEvent() }

// connOpened is a connection that passed its handshake.
type connOpened struct{ conn *conn }

// connClosed is a connection that ended.
type connClosed struct {
	conn *conn
	// graceful is true when the peer ended it on purpose.
	graceful bool
}

// messageReceived is a message from a peer.
type messageReceived struct {
	conn    *conn
	message Message
}

// dialFailed is a peer that could not be reached.
type dialFailed struct{ name string }

// bundleRead is a bundle that the platform holds.
type bundleRead struct{ frozen *bundle.Frozen }

// listRead is the instance list that the platform holds.
type listRead struct{ list configservice.InstanceList }

// platformCalled is a call to the platform; err is nil when it answered.
type platformCalled struct{ err error }

func (connOpened) loopEvent()      {}
func (connClosed) loopEvent()      {}
func (messageReceived) loopEvent() {}
func (dialFailed) loopEvent()      {}
func (bundleRead) loopEvent()      {}
func (listRead) loopEvent()        {}
func (platformCalled) loopEvent()  {}
