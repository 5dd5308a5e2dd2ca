package configservice

import "strconv"

// UnreachableError reports a call without a complete response.
type UnreachableError struct {
	Path  string
	Cause error
}

// Error returns the path and the cause.
func (e *UnreachableError) Error() string {
	return "platform: no complete response for " + e.Path + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// StatusError reports a response with an unexpected HTTP status code.
type StatusError struct {
	// Path is the name of the value, or the path of the instance list.
	Path string
	Code int
}

// Error returns the path and the status.
func (e *StatusError) Error() string {
	return "platform: unexpected status " + strconv.Itoa(e.Code) + " for " + e.Path
}

// NotFoundError reports a value that does not exist on the platform.
type NotFoundError struct{ Name string }

// Error returns the name of the value.
func (e *NotFoundError) Error() string {
	return "platform: cannot find value " + e.Name
}

// SizeError reports a value or an instance list that exceeds Limit bytes.
type SizeError struct {
	// Name is the path of the request.
	Name  string
	Limit int
}

// Error returns the name of the value and the limit.
func (e *SizeError) Error() string {
	return "platform: value " + e.Name + " exceeds " + strconv.Itoa(e.Limit) + " bytes"
}

// DecodeError reports a malformed response. What names the header or the body.
type DecodeError struct {
	What  string
	Cause error
}

// Error returns what was decoded and the cause.
func (e *DecodeError) Error() string {
	return "platform: malformed " + e.What + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// InstanceError reports an instance with a field that is missing, out of range or not unique.
type InstanceError struct{ Name, Field string }

// Error returns the instance and the field.
func (e *InstanceError) Error() string {
	return "platform: instance " + strconv.Quote(e.Name) + " has an invalid " + e.Field
}

// maxCauseLength is the maximum length in bytes of the cause in a RejectedError, which may
// quote a value of any length.
const maxCauseLength = 200

// RejectedError reports an instance that was left out of a list.
type RejectedError struct {
	// Position is the index in the platform's list.
	Position int
	Cause    error
}

// Error returns the position and the cause.
func (e RejectedError) Error() string {
	cause := e.Cause.Error()
	return "platform: instance at position " + strconv.Itoa(e.Position) + " is left out: " + cause[:min(len(cause), maxCauseLength)]
}

// Unwrap returns the cause.
func (e RejectedError) Unwrap() error { return e.Cause }

// BundleError reports a publication that is not a valid bundle. It is permanent:
// reading the same publication again returns the same error.
type BundleError struct {
	Name  string
	Cause error
}

func (e *BundleError) Error() string {
	return "platform: " + e.Name + " is not a valid bundle: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BundleError) Unwrap() error {
	return e.Cause
}
