package peer

import (
	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/configservice"
)

// A loopEvent reports network or platform activity to the loop of a Node:
// connOpened, connClosed, messageReceived, dialFailed, bundleRead, listRead or
// platformCalled.
type loopEvent interface{ loopEvent() }

// connOpened reports a connection whose handshake succeeded.
type connOpened struct{ conn *conn }

// connClosed reports a connection that ended.
type connClosed struct {
	conn *conn
	// graceful is true if the peer sent Close.
	graceful bool
}

// messageReceived reports a message from a peer.
type messageReceived struct {
	conn    *conn
	message Message
}

// dialFailed reports that a connection to a peer could not be established.
type dialFailed struct{ name string }

// bundleRead reports a bundle that was read from the platform.
type bundleRead struct{ frozen *bundle.Frozen }

// listRead reports an instance list that was read from the platform.
type listRead struct{ list configservice.InstanceList }

// platformCalled reports the result of a call to the platform.
type platformCalled struct{ err error }

func (connOpened) loopEvent()      {}
func (connClosed) loopEvent()      {}
func (messageReceived) loopEvent() {}
func (dialFailed) loopEvent()      {}
func (bundleRead) loopEvent()      {}
func (listRead) loopEvent()        {}
func (platformCalled) loopEvent()  {}
