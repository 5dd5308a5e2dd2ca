package demo

import "fmt"

// StartError reports a component of the demo that failed to start.
type StartError struct {
	Component string
	Cause     error
}

// Error returns the component and the cause.
func (e *StartError) Error() string {
	return fmt.Sprintf("demo: %s failed to start: %v", e.Component, e.Cause)
}

// Unwrap returns the cause.
func (e *StartError) Unwrap() error {
	return e.Cause
}

// WriteError reports a failure to write the report.
type WriteError struct {
	Cause error
}

// Error returns the cause.
func (e *WriteError) Error() string {
	return fmt.Sprintf("demo: cannot write the report: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error {
	return e.Cause
}
