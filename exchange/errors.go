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

// KindError reports a datagram of a kind that its version does not have.
type KindError struct {
	// Kind is the first byte of the datagram.
	Kind byte
}

// Error returns the kind.
func (e *KindError) Error() string {
	return fmt.Sprintf("datagram of unknown kind %#02x", e.Kind)
}

// FlowsError reports a list of flows that is empty or cut off.
type FlowsError struct {
	// Length is the length of the list in bytes.
	Length int
}

// Error returns the length.
func (e *FlowsError) Error() string {
	return fmt.Sprintf("list of flows of %d bytes is not a whole number of flows", e.Length)
}
