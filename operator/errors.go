package operator

import (
	"fmt"
	"net/netip"
)

// ListenError reports an operator address that cannot be bound.
type ListenError struct {
	Address netip.AddrPort
	Cause   error
}

// Error includes the address and the cause.
func (e *ListenError) Error() string {
	return fmt.Sprintf("operator: cannot listen on %s: %v", e.Address, e.Cause)
}

// Unwrap returns Cause.
func (e *ListenError) Unwrap() error {
	return e.Cause
}

// FlowKeyError reports a part of a flow's key that cannot be parsed.
type FlowKeyError struct {
	// Field is "protocol", "caller" or "address".
	Field string
	Value string
}

// Error includes the field, the value and the expected format.
func (e *FlowKeyError) Error() string {
	if e.Field == paramProtocol {
		return fmt.Sprintf("protocol %q is not tcp or udp", e.Value)
	}
	return fmt.Sprintf("%s %q is not an address and port", e.Field, e.Value)
}
