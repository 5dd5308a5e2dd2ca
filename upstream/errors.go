package upstream

import (
	"fmt"

	"github.com/corianderbay/corianderbay/flow"
)

// ModeError reports a mode that is neither ModeTunnel nor ModeDatagram.
type ModeError struct {
	Mode string
}

// Error includes the mode and the valid modes.
func (e *ModeError) Error() string {
	return fmt.Sprintf("upstream: mode %q is not one of %s, %s", e.Mode, ModeTunnel, ModeDatagram)
}

// ProtocolError reports a packet whose protocol a Datagram does not support.
type ProtocolError struct {
	Protocol flow.Protocol
}

// Error includes the protocol.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("upstream: the datagram transport does not support %s", e.Protocol)
}

// FlowLimitError reports that a Datagram is closed or has reached its maximum number of sockets.
type FlowLimitError struct {
	Max int
}

// Error includes the maximum.
func (e *FlowLimitError) Error() string {
	return fmt.Sprintf("upstream: all %d sockets for flows are in use", e.Max)
}

// SendError reports that a socket could not be opened or a packet could not be sent.
type SendError struct {
	Cause error
}

// Error includes the cause.
func (e *SendError) Error() string {
	return fmt.Sprintf("upstream: cannot send: %v", e.Cause)
}

// Unwrap returns Cause.
func (e *SendError) Unwrap() error {
	return e.Cause
}
