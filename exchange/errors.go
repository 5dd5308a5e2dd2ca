package exchange

import (
	"fmt"
	"net/netip"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
)

// ListenError reports a TCP address that could not be bound.
type ListenError struct {
	Address netip.AddrPort
	Cause   error
}

// Error returns the address and the cause.
func (e *ListenError) Error() string {
	return fmt.Sprintf("exchange: cannot listen on %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error {
	return e.Cause
}

// NoUpdateError reports a peer that announced a newer version or state and then sent no update.
type NoUpdateError struct {
	Host registry.Host
}

// Error returns the host.
func (e *NoUpdateError) Error() string {
	return fmt.Sprintf("peer %s sent no newer routes or upstreams", e.Host)
}

// VersionError reports a message of a version that this process does not read.
type VersionError struct {
	// Have is the newest version that this process reads.
	Have membership.Format
	Got  membership.Format
}

// Error returns both versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("message of version %d, but version %d is the newest that this process reads", e.Got, e.Have)
}
