package peer

import (
	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/configservice"
)

// A signal tells the loop of a Node what happened at an edge: opened, closed,
// received, dialFailed, bundleRead, listRead or platformCalled.
type signal interface{ signal() }

// opened is a connection that passed its handshake.
type opened struct{ conn *conn }

// closed is a connection that ended.
type closed struct {
	conn *conn
	// purpose is true when the peer ended it on purpose.
	purpose bool
}

// received is a message from a peer.
type received struct {
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

func (opened) signal()         {}
func (closed) signal()         {}
func (received) signal()       {}
func (dialFailed) signal()     {}
func (bundleRead) signal()     {}
func (listRead) signal()       {}
func (platformCalled) signal() {}
