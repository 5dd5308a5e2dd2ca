package udp

import (
	"fmt"
	"net/netip"
)

// ListenError reports an address that could not be bound.
type ListenError struct {
	Address netip.AddrPort
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("udp: cannot listen on %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error {
	return e.Cause
}
