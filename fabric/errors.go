package fabric

import "fmt"

// TruncatedError reports a datagram that ends before a layer does.
type TruncatedError struct {
	// Layer is "geneve", "ipv4", "ipv6", "tcp" or "udp".
	Layer string
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return "fabric: truncated " + e.Layer + " layer"
}

// MalformedError reports a layer with invalid or inconsistent fields.
type MalformedError struct {
	// Layer is "geneve", "ipv4", "ipv6", "tcp" or "udp".
	Layer string
	// Field names the invalid field. It is empty if Cause is set.
	Field string
	// Cause is the error of the layer's codec, or nil.
	Cause error
}

// Error implements error.
func (e *MalformedError) Error() string {
	if e.Cause != nil {
		return "fabric: malformed " + e.Layer + " layer: " + e.Cause.Error()
	}
	return "fabric: malformed " + e.Layer + " layer: " + e.Field
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error {
	return e.Cause
}

// PanicError is the cause of a MalformedError when a layer's codec panicked.
type PanicError struct {
	Value any
}

// Error implements error.
func (e *PanicError) Error() string {
	return fmt.Sprintf("codec panicked: %v", e.Value)
}

// VersionError reports a Geneve version or an IP version other than the supported one.
type VersionError struct {
	// Layer is "geneve", "ipv4" or "ipv6".
	Layer string
	Got   uint8
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("fabric: version %d in %s layer", e.Got, e.Layer)
}

// ProtocolTypeError reports a Geneve protocol type that is neither IPv4 nor IPv6.
type ProtocolTypeError struct {
	Got uint16
}

// Error implements error.
func (e *ProtocolTypeError) Error() string {
	return fmt.Sprintf("fabric: geneve protocol type %#04x is not IP", e.Got)
}

// OptionError reports a critical Geneve option that this package does not support.
type OptionError struct {
	Class uint16
	Type  uint8
}

// Error implements error.
func (e *OptionError) Error() string {
	return fmt.Sprintf("fabric: unknown critical geneve option %#04x/%#02x", e.Class, e.Type)
}

// FragmentError reports a fragment of an IP packet. Fragments other than the first carry no ports to look up a flow.
type FragmentError struct{}

// Error implements error.
func (e *FragmentError) Error() string {
	return "fabric: fragment of an IP packet"
}

// ProtocolError reports an IP packet that is neither TCP nor UDP.
type ProtocolError struct {
	// Got is the IP protocol number.
	Got uint8
}

// Error implements error.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("fabric: IP protocol %d is neither TCP nor UDP", e.Got)
}

// SizeError reports a packet or option area that exceeds its maximum size.
type SizeError struct {
	// Size and Max are lengths in bytes.
	Size, Max int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("fabric: size of %d bytes exceeds maximum of %d", e.Size, e.Max)
}

// RefusalError reports a refusal option with a value outside its range.
type RefusalError struct {
	// Field is "length", "reason", "flags", "reserved" or "retry-after".
	Field string
	Value uint64
}

// Error implements error.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("fabric: refusal %s %d out of range", e.Field, e.Value)
}

// AddressError reports a packet whose source and destination are of different
// address families or invalid.
type AddressError struct {
	Source, Destination string
}

// Error implements error.
func (e *AddressError) Error() string {
	return "fabric: cannot build packet from " + e.Source + " to " + e.Destination
}

// NoResetError reports a segment that must not be answered with a reset because it is itself a reset.
type NoResetError struct{}

// Error implements error.
func (e *NoResetError) Error() string {
	return "fabric: segment is a reset and must not be answered"
}

// VNIError reports a virtual network identifier of more than 24 bits.
type VNIError struct {
	Got uint32
}

// Error implements error.
func (e *VNIError) Error() string {
	return fmt.Sprintf("fabric: virtual network identifier %d exceeds 24 bits", e.Got)
}
