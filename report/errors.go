package report

import "fmt"

// SnapshotError reports a field of a snapshot that violates its invariant.
type SnapshotError struct {
	Field string
	// Value is the invalid value or the name of the invalid element; empty if it is missing.
	Value string
}

// Error implements error.
func (e *SnapshotError) Error() string {
	return fmt.Sprintf("snapshot: bad %s %q", e.Field, e.Value)
}

// HistogramError reports a histogram that could not be decoded.
type HistogramError struct{ cause error }

// Error implements error.
func (e *HistogramError) Error() string { return "histogram: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *HistogramError) Unwrap() error { return e.cause }

// FetchError reports a process that could not be read.
type FetchError struct {
	Address string
	// Status is the HTTP status if that is the fault, otherwise 0.
	Status int
	cause  error
}

// Error implements error.
func (e *FetchError) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("%s: status %d", e.Address, e.Status)
	}
	return e.Address + ": " + e.cause.Error()
}

// Unwrap returns the cause; nil if the HTTP status is the fault.
func (e *FetchError) Unwrap() error { return e.cause }

// NoProcessError reports that no process responded.
type NoProcessError struct {
	// Missing holds an error for each address.
	Missing []error
}

// Error implements error.
func (e *NoProcessError) Error() string {
	if len(e.Missing) == 0 {
		return "no addresses given"
	}
	return fmt.Sprintf("none of %d processes responded; first error: %v", len(e.Missing), e.Missing[0])
}

// Unwrap returns the errors of the addresses.
func (e *NoProcessError) Unwrap() []error { return e.Missing }

// FileError reports a file that could not be read or written.
type FileError struct {
	Path  string
	cause error
}

// Error implements error.
func (e *FileError) Error() string { return e.Path + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.cause }

// ConfigError reports a setting that is out of range.
type ConfigError struct {
	Field, Value string
}

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("%s is out of range: %s", e.Field, e.Value)
}
