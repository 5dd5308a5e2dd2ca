package daemon

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/corianderbay/corianderbay/setting"
)

// KeyFileError reports a file that holds no cluster key.
type KeyFileError struct {
	Path  string
	Cause error
}

// Error returns the flag, the path and the cause.
func (e *KeyFileError) Error() string {
	return fmt.Sprintf("--key-file %s holds no cluster key of 64 hexadecimal digits: %v", e.Path, e.Cause)
}

// Unwrap returns the cause.
func (e *KeyFileError) Unwrap() error {
	return e.Cause
}

// ExitCode returns the code for bad settings.
func (e *KeyFileError) ExitCode() int {
	return setting.ExitUsage
}

// ApproverError reports an entry of --approvers that is not name:key, or fewer approvers than must sign.
type ApproverError struct {
	Entry string
}

// Error returns the flag and the entry.
func (e *ApproverError) Error() string {
	return fmt.Sprintf("--approvers: %q is not name:public-key, or fewer are named than --approvals asks", e.Entry)
}

// ExitCode returns the code for bad settings.
func (e *ApproverError) ExitCode() int {
	return setting.ExitUsage
}

// ViolationError reports that not every caller got its own whole answers.
type ViolationError struct{}

// Error says so.
func (e *ViolationError) Error() string {
	return "not every caller got its own whole answers"
}

// TargetError reports an entry of --targets that cannot be read.
type TargetError struct {
	Entry string
}

// Error returns the flag and the entry.
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

// Error returns the address and the cause.
func (e *ListenError) Error() string {
	return fmt.Sprintf("cannot listen on %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error {
	return e.Cause
}

// SourceError reports a text for --source that is no prefix.
type SourceError struct {
	Value string
}

// Error returns the flag and the text.
func (e *SourceError) Error() string {
	return fmt.Sprintf("--source: %q is not a prefix like 10.0.0.0/24", e.Value)
}

// ExitCode returns the code for bad settings.
func (e *SourceError) ExitCode() int {
	return setting.ExitUsage
}

// NotReadyError reports that the balancers of a load did not become ready in time.
type NotReadyError struct {
	Wait  time.Duration
	Cause error
}

// Error returns how long they had.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("not all balancers became ready within %s: %v", e.Wait, e.Cause)
}

// Unwrap returns the cause.
func (e *NotReadyError) Unwrap() error {
	return e.Cause
}
