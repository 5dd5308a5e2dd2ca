package configservice

import "strconv"

// UnreachableError reports a call that got no whole answer.
type UnreachableError struct {
	Path  string
	Cause error
}

// Error returns the path and the cause.
func (e *UnreachableError) Error() string {
	return "platform: no answer for " + e.Path + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// StatusError reports an answer with an unexpected HTTP status.
type StatusError struct {
	Path string
	Code int
}

// Error returns the path and the status.
func (e *StatusError) Error() string {
	return "platform: status " + strconv.Itoa(e.Code) + " for " + e.Path
}

// NotFoundError reports a value that the platform does not hold.
type NotFoundError struct{ Name string }

// Error returns the name of the value.
func (e *NotFoundError) Error() string {
	return "platform: no value " + e.Name
}

// SizeError reports a value that is larger than its limit in bytes.
type SizeError struct {
	Name  string
	Limit int
}

// Error returns the name of the value and the limit.
func (e *SizeError) Error() string {
	return "platform: value " + e.Name + " exceeds " + strconv.Itoa(e.Limit) + " bytes"
}

// DecodeError reports an answer that is not well-formed.
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

// InstanceError reports an instance whose field is missing, out of range or not unique.
type InstanceError struct{ Name, Field string }

// Error returns the instance and the field.
func (e *InstanceError) Error() string {
	return "platform: instance " + strconv.Quote(e.Name) + " has a bad " + e.Field
}

// BundleError reports a publication that is no whole bundle, however often it is read.
type BundleError struct {
	Name  string
	Cause error
}

func (e *BundleError) Error() string {
	return "platform: " + e.Name + " is no bundle: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BundleError) Unwrap() error {
	return e.Cause
}
