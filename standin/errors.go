package standin

import (
	"fmt"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// ValueError reports a setting that is out of range.
type ValueError struct {
	// Field is the name of the setting.
	Field string
	Value any
	// Range describes the allowed values.
	Range string
}

// Error implements error.
func (e *ValueError) Error() string {
	return fmt.Sprintf("standin: %s is %v, must be %s", e.Field, e.Value, e.Range)
}

// ListenError reports a socket that could not be opened.
type ListenError struct {
	Address netip.AddrPort
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("standin: listen on %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error {
	return e.Cause
}

// MessageError reports bytes that are not a valid request or answer.
type MessageError struct {
	// Part is the invalid part: "length", "checksum", "body" or "fields".
	Part  string
	Cause error
}

// Error implements error.
func (e *MessageError) Error() string {
	if e.Cause != nil {
		return "standin: message " + e.Part + ": " + e.Cause.Error()
	}
	return "standin: message " + e.Part + " is invalid"
}

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error {
	return e.Cause
}

// valueErrors collects the settings that are out of range.
type valueErrors []error

func (v *valueErrors) checkRange(field string, value, low, high float64) {
	if value >= low && value <= high {
		return
	}
	*v = append(*v, &ValueError{Field: field, Value: value, Range: fmt.Sprintf("from %g to %g", low, high)})
}

func (v *valueErrors) checkLoopback(field string, addr netip.AddrPort) {
	if addr == (netip.AddrPort{}) || addr.Addr().IsLoopback() {
		return
	}
	*v = append(*v, &ValueError{Field: field, Value: addr, Range: "a loopback address and port"})
}

func (v valueErrors) join() error {
	return errors.Join(v...)
}
