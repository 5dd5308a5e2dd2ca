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

// MalformedError reports a layer whose fields contradict each other.
type MalformedError struct {
	// Layer is "geneve", "ipv4", "ipv6", "tcp" or "udp".
	Layer string
	// Field names the faulty field. It is empty when Cause says more.
	Field string
	// Cause is what the layer's codec reported, or nil.
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

// OptionError reports a critical Geneve option that this package does not know.
type OptionError struct {
	Class uint16
	Type  uint8
}

// Error implements error.
func (e *OptionError) Error() string {
	return fmt.Sprintf("fabric: unknown critical geneve option %#04x/%#02x", e.Class, e.Type)
}

// FragmentError reports a fragment of an IP packet, which has no ports to find a flow by.
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

// SizeError reports a packet that is longer than allowed.
type SizeError struct {
	// Size and Max are lengths in bytes.
	Size, Max int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("fabric: packet of %d bytes, at most %d allowed", e.Size, e.Max)
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

// AddressError reports a packet to be built between addresses of two families or without one.
type AddressError struct {
	Source, Destination string
}

// Error implements error.
func (e *AddressError) Error() string {
	return "fabric: no packet from " + e.Source + " to " + e.Destination
}

// NoResetError reports a segment that must not be answered by a reset: it is one itself.
type NoResetError struct{}

// Error implements error.
func (e *NoResetError) Error() string {
	return "fabric: a reset is not answered"
}

// VNIError reports a virtual network identifier of more than 24 bits.
type VNIError struct {
	Got uint32
}

// Error implements error.
func (e *VNIError) Error() string {
	return fmt.Sprintf("fabric: virtual network identifier %d exceeds 24 bits", e.Got)
}
