package peer

import "strconv"

// ConfigError reports a field of Config that is missing or out of range.
type ConfigError struct{ Field string }

// Error implements error.
func (e *ConfigError) Error() string { return "peer: invalid or missing config field " + e.Field }

// FrameError reports a frame whose length is zero or above MaxFrameSize.
type FrameError struct{ Length uint32 }

// Error implements error.
func (e *FrameError) Error() string {
	return "peer: invalid frame length of " + strconv.FormatUint(uint64(e.Length), 10) + " bytes"
}

// MessageError reports a message with an invalid field.
type MessageError struct{ Message, Field string }

// Error implements error.
func (e *MessageError) Error() string { return "peer: " + e.Message + " has an invalid " + e.Field }

// ProtocolError reports a peer that supports none of the protocol versions of
// this process. Oldest and Newest are the versions that the peer supports.
type ProtocolError struct{ Oldest, Newest uint64 }

// Error implements error.
func (e *ProtocolError) Error() string {
	return "peer: no common protocol version, peer supports " + strconv.FormatUint(e.Oldest, 10) +
		" to " + strconv.FormatUint(e.Newest, 10)
}

// NameError reports a peer whose name is not in its certificate, is that of this
// process, or is not the one that was dialled.
type NameError struct{ Name string }

// Error implements error.
func (e *NameError) Error() string {
	return "peer: name is not in the peer's certificate, was not dialled, or is that of this process: " + e.Name
}

// CredentialsError reports keys or certificates that cannot be used.
type CredentialsError struct {
	// What names the file or item.
	What  string
	Cause error // may be nil
}

// Error implements error.
func (e *CredentialsError) Error() string {
	if e.Cause == nil {
		return "peer: invalid " + e.What
	}
	return "peer: invalid " + e.What + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CredentialsError) Unwrap() error { return e.Cause }

// ListenError reports a control address on which the process cannot listen.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return "peer: cannot listen on " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// ContentError reports a document whose content does not match its version, or
// one of its sections that cannot be encoded or decoded.
type ContentError struct{ What string }

// Error implements error.
func (e *ContentError) Error() string { return "peer: content does not match its version: " + e.What }
