package report

import "fmt"

// SnapshotError says which field of a snapshot breaks its invariant.
type SnapshotError struct {
	Field string
	// Value is the name or the value at fault, or empty when it is missing.
	Value string
}

// Error implements error.
func (e *SnapshotError) Error() string {
	return fmt.Sprintf("snapshot: bad %s %q", e.Field, e.Value)
}

// HistogramError says that a histogram could not be decoded.
type HistogramError struct{ cause error }

// Error implements error.
func (e *HistogramError) Error() string { return "histogram: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *HistogramError) Unwrap() error { return e.cause }

// FetchError says that a process could not be read.
type FetchError struct {
	Address string
	// Status is the HTTP status, or 0 when there was no answer.
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

// Unwrap returns the cause; nil when the process answered with a status.
func (e *FetchError) Unwrap() error { return e.cause }

// NoProcessError says that none of the addresses answered.
type NoProcessError struct {
	// Missing holds an error for each address.
	Missing []error
}

// Error implements error.
func (e *NoProcessError) Error() string {
	if len(e.Missing) == 0 {
		return "no address was given"
	}
	return fmt.Sprintf("none of %d processes answered, the first: %v", len(e.Missing), e.Missing[0])
}

// Unwrap returns the errors of the addresses.
func (e *NoProcessError) Unwrap() []error { return e.Missing }

// FileError says that a file could not be read or written.
type FileError struct {
	Path  string
	cause error
}

// Error implements error.
func (e *FileError) Error() string { return e.Path + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.cause }

// ConfigError says which setting is out of its range.
type ConfigError struct {
	Field, Value string
}

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("%s is out of its range: %s", e.Field, e.Value)
}
