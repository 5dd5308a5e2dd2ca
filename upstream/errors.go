package upstream

import (
	"fmt"

	"github.com/corianderbay/corianderbay/flow"
)

// ModeError reports a mode that is neither ModeTunnel nor ModeDatagram.
type ModeError struct {
	Mode string
}

// Error returns the mode and those that are known.
func (e *ModeError) Error() string {
	return fmt.Sprintf("upstream: mode %q is not one of %s, %s", e.Mode, ModeTunnel, ModeDatagram)
}

// ProtocolError reports a packet that the edge cannot carry.
type ProtocolError struct {
	Protocol flow.Protocol
}

// Error returns the protocol.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("upstream: the datagram edge cannot carry %s", e.Protocol)
}

// FlowLimitError reports that a Datagram has as many sockets as it may.
type FlowLimitError struct {
	Max int
}

// Error returns the bound.
func (e *FlowLimitError) Error() string {
	return fmt.Sprintf("upstream: all %d sockets for flows are in use", e.Max)
}

// SendError reports a packet that the system did not take.
type SendError struct {
	Cause error
}

// Error returns the cause.
func (e *SendError) Error() string {
	return fmt.Sprintf("upstream: cannot send: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error {
	return e.Cause
}
