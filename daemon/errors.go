package daemon

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/corianderbay/corianderbay/setting"
)

// KeyFileError reports a file that does not contain a valid cluster key.
type KeyFileError struct {
	Path  string
	Cause error
}

// Error implements error.
func (e *KeyFileError) Error() string {
	return fmt.Sprintf("--key-file %s does not contain a cluster key of 64 hexadecimal digits: %v", e.Path, e.Cause)
}

// Unwrap returns the cause.
func (e *KeyFileError) Unwrap() error {
	return e.Cause
}

// ExitCode returns the code for bad settings.
func (e *KeyFileError) ExitCode() int {
	return setting.ExitUsage
}

// ApproverError reports an entry of --approvers that is not name:public-key, or
// fewer approvers than must sign.
type ApproverError struct {
	Entry string
}

// Error implements error.
func (e *ApproverError) Error() string {
	return fmt.Sprintf("--approvers: %q is not name:public-key, or there are fewer approvers than --approvals requires", e.Entry)
}

// ExitCode returns the code for bad settings.
func (e *ApproverError) ExitCode() int {
	return setting.ExitUsage
}

// ViolationError reports that not every caller received its own complete answers.
type ViolationError struct{}

// Error implements error.
func (e *ViolationError) Error() string {
	return "not every caller received its own complete answers"
}

// TargetError reports an entry of --targets that cannot be parsed.
type TargetError struct {
	Entry string
}

// Error implements error.
func (e *TargetError) Error() string {
	return fmt.Sprintf("--targets: %q is not service=tcp:address:port or service=udp:address:port", e.Entry)
}

// ExitCode returns the code for bad settings.
func (e *TargetError) ExitCode() int {
	return setting.ExitUsage
}

// ListenError reports an address that could not be bound.
type ListenError struct {
	Address netip.AddrPort
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("cannot listen on %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error {
	return e.Cause
}

// SourceError reports a value of --source that is not an IP prefix.
type SourceError struct {
	Value string
}

// Error implements error.
func (e *SourceError) Error() string {
	return fmt.Sprintf("--source: %q is not an IP prefix such as 10.0.0.0/24", e.Value)
}

// ExitCode returns the code for bad settings.
func (e *SourceError) ExitCode() int {
	return setting.ExitUsage
}

// NotReadyError reports that not all balancers became ready before the load of the
// command "platform load" was to start.
type NotReadyError struct {
	Wait  time.Duration
	Cause error
}

// Error implements error.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("not all balancers became ready within %s: %v", e.Wait, e.Cause)
}

// Unwrap returns the cause.
func (e *NotReadyError) Unwrap() error {
	return e.Cause
}

// FindingsError reports a configuration with findings of severity error.
type FindingsError struct {
	Path   string
	Errors int
}

// Error implements error.
func (e *FindingsError) Error() string {
	return fmt.Sprintf("%s must not be sent, errors: %d", e.Path, e.Errors)
}
