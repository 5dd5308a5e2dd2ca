package forward

import "fmt"

// TruncatedError reports a datagram that ends before its header does.
type TruncatedError struct {
	// Size is the length of the datagram in bytes.
	Size int
}

// Error returns the size of the datagram.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("forward: datagram of %d bytes is truncated", e.Size)
}

// VersionError reports a datagram of a protocol version that this process does not speak.
type VersionError struct {
	Got uint8
}

// Error returns the version that was received.
func (e *VersionError) Error() string {
	return fmt.Sprintf("forward: protocol version %d is not spoken here", e.Got)
}

// ForgedError reports a datagram whose authentication tag does not match.
type ForgedError struct {
	// Sender is what the datagram claims as its sender.
	Sender uint64
}

// Error returns the claimed sender.
func (e *ForgedError) Error() string {
	return fmt.Sprintf("forward: datagram of sender %016x is not authentic", e.Sender)
}

// ReplayError reports a datagram that was received before, or is too old to tell.
type ReplayError struct {
	Sender  uint64
	Counter uint64
}

// Error returns the sender and its counter.
func (e *ReplayError) Error() string {
	return fmt.Sprintf("forward: datagram %d of sender %016x is a replay", e.Counter, e.Sender)
}

// HeaderError reports a field of a header or message that is missing or out of range.
type HeaderError struct {
	// Field names the field in the words of the protocol page.
	Field string
	// Cause is the error of the codec, or nil when the value is out of range.
	Cause error
}

// Error returns the field and the cause.
func (e *HeaderError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("forward: field %s is out of range", e.Field)
	}
	return fmt.Sprintf("forward: field %s: %v", e.Field, e.Cause)
}

// Unwrap returns the cause.
func (e *HeaderError) Unwrap() error {
	return e.Cause
}

// KeyError reports a cluster key of the wrong length.
type KeyError struct {
	// Size is the length of the key in bytes.
	Size int
}

// Error returns the length and the one that is wanted.
func (e *KeyError) Error() string {
	return fmt.Sprintf("forward: cluster key has %d bytes, want %d", e.Size, KeySize)
}
