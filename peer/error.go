package peer

import "strconv"

// ConfigError reports a field of Config that is missing or out of its range.
type ConfigError struct{ Field string }

// Error returns the field.
func (e *ConfigError) Error() string { return "peer: config has a bad " + e.Field }

// FrameError reports a frame whose length is out of its range.
type FrameError struct{ Length uint32 }

// Error returns the length.
func (e *FrameError) Error() string {
	return "peer: frame of " + strconv.FormatUint(uint64(e.Length), 10) + " bytes"
}

// MessageError reports a message with a field out of its range.
type MessageError struct{ Message, Field string }

// Error returns the message and the field.
func (e *MessageError) Error() string { return "peer: " + e.Message + " has a bad " + e.Field }

// ProtocolError reports a peer that speaks no version that this process speaks.
type ProtocolError struct{ Oldest, Newest uint64 }

// Error returns the versions that the peer speaks.
func (e *ProtocolError) Error() string {
	return "peer: no common protocol version, peer speaks " + strconv.FormatUint(e.Oldest, 10) +
		" to " + strconv.FormatUint(e.Newest, 10)
}

// NameError reports a peer whose certificate does not speak for its name.
type NameError struct{ Name string }

// Error returns the name.
func (e *NameError) Error() string { return "peer: certificate does not speak for " + e.Name }

// CredentialsError reports certificate files that cannot be used.
type CredentialsError struct {
	What  string
	Cause error // may be nil
}

// Error returns what is wrong and the cause.
func (e *CredentialsError) Error() string {
	if e.Cause == nil {
		return "peer: bad " + e.What
	}
	return "peer: bad " + e.What + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CredentialsError) Unwrap() error { return e.Cause }

// ListenError reports a control address that cannot be listened on.
type ListenError struct {
	Address string
	Cause   error
}

// Error returns the address and the cause.
func (e *ListenError) Error() string {
	return "peer: cannot listen on " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// ContentError reports a document whose content is not that of its version.
type ContentError struct{ What string }

// Error returns what differs.
func (e *ContentError) Error() string { return "peer: content differs from its version: " + e.What }
