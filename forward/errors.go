package forward

import "fmt"

// TruncatedError reports a datagram that is shorter than its fixed fields or its length field require.
type TruncatedError struct {
	// Size is the length of the datagram in bytes.
	Size int
}

// Error includes the size of the datagram.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("forward: datagram of %d bytes is truncated", e.Size)
}

// VersionError reports a datagram with an unsupported protocol version.
type VersionError struct {
	Got uint8
}

// Error includes the received version.
func (e *VersionError) Error() string {
	return fmt.Sprintf("forward: protocol version %d is not supported", e.Got)
}

// ForgedError reports a datagram whose authentication tag does not match.
type ForgedError struct {
	// Sender is the unauthenticated sender field of the datagram.
	Sender uint64
}

// Error includes the sender field.
func (e *ForgedError) Error() string {
	return fmt.Sprintf("forward: datagram from sender %016x is not authentic", e.Sender)
}

// ReplayError reports a datagram that was received before, or whose counter is older
// than the replay window.
type ReplayError struct {
	Sender  uint64
	Counter uint64
}

// Error includes the sender and the counter.
func (e *ReplayError) Error() string {
	return fmt.Sprintf("forward: datagram %d from sender %016x is a replay", e.Counter, e.Sender)
}

// HeaderError reports a field of a header or control message that is missing or out of range.
type HeaderError struct {
	// Field is the name of the field in the protocol documentation, which may differ
	// from the name in Header: "at" is Header.Current, "asker" is Header.Initiator and
	// "doubt" is Header.Uncertain.
	Field string
	// Cause is the error of the codec, or nil if the value is out of range.
	Cause error
}

// Error includes the field and the cause.
func (e *HeaderError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("forward: field %s is out of range", e.Field)
	}
	return fmt.Sprintf("forward: field %s: %v", e.Field, e.Cause)
}

// Unwrap returns Cause.
func (e *HeaderError) Unwrap() error {
	return e.Cause
}

// KeyError reports a cluster key of the wrong length.
type KeyError struct {
	// Size is the length of the key in bytes.
	Size int
}

// Error includes the actual and the required length.
func (e *KeyError) Error() string {
	return fmt.Sprintf("forward: cluster key has %d bytes, want %d", e.Size, KeySize)
}
