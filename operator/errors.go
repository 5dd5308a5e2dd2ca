package operator

import (
	"fmt"
	"net/netip"
)

// ListenError reports an operator address that could not be bound.
type ListenError struct {
	Address netip.AddrPort
	Cause   error
}

// Error returns the address and the cause.
func (e *ListenError) Error() string {
	return fmt.Sprintf("operator: cannot listen on %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error {
	return e.Cause
}

// FlowKeyError reports a part of a flow's key that cannot be read.
type FlowKeyError struct {
	// Field is "protocol", "caller" or "address".
	Field string
	Value string
}

// Error returns the field, the text and what is wanted.
func (e *FlowKeyError) Error() string {
	if e.Field == paramProtocol {
		return fmt.Sprintf("protocol %q is not tcp or udp", e.Value)
	}
	return fmt.Sprintf("%s %q is not an address and port", e.Field, e.Value)
}
