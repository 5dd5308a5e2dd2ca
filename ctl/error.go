package ctl

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/setting"
)

// ReadError reports a file, or the response of a process, that cannot be read.
type ReadError struct {
	// File is the file name, or the address of the process.
	File  string
	Cause error
}

func (e *ReadError) Error() string { return "cannot read " + e.File + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// ExitCode returns the code for bad input.
func (e *ReadError) ExitCode() int { return setting.ExitUsage }

// WriteError reports a file that cannot be written.
type WriteError struct {
	File  string
	Cause error
}

func (e *WriteError) Error() string { return "cannot write " + e.File + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Cause }

// InputError reports a file with invalid content.
type InputError struct {
	File  string
	Cause error
}

// Error returns the cause, prefixed with the file unless the cause already begins
// with it.
func (e *InputError) Error() string {
	var faults *bundle.FaultsError
	if errors.As(e.Cause, &faults) && strings.HasPrefix(faults.Error(), e.File+":") {
		return faults.Error()
	}
	return e.File + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *InputError) Unwrap() error { return e.Cause }

// ExitCode returns the code for bad input.
func (e *InputError) ExitCode() int { return setting.ExitUsage }

func inputError(file string, err error) error {
	if err == nil {
		return nil
	}
	return &InputError{File: file, Cause: err}
}

// NotFrozenError reports an authored bundle where a frozen one is required.
type NotFrozenError struct {
	File string
}

func (e *NotFrozenError) Error() string {
	return e.File + " is not a frozen bundle; create one with corianderctl bundle freeze"
}

// ExitCode returns the code for bad input.
func (e *NotFrozenError) ExitCode() int { return setting.ExitUsage }

// PrivateKeyError reports a file without a private key in the format of "key new".
type PrivateKeyError struct {
	File string
}

func (e *PrivateKeyError) Error() string {
	return e.File + " contains no ed25519 private key in PEM format; create one with corianderctl key new"
}

// ExitCode returns the code for bad input.
func (e *PrivateKeyError) ExitCode() int { return setting.ExitUsage }

// KeyExistsError reports a key that was not written because the file exists.
type KeyExistsError struct {
	File string
}

func (e *KeyExistsError) Error() string {
	return e.File + " already exists; keys are never overwritten"
}

// ExitCode returns the code for bad input.
func (e *KeyExistsError) ExitCode() int { return setting.ExitUsage }

// TrustFlagsError reports a verification with both or neither of a running bundle
// and an anchor.
type TrustFlagsError struct{}

func (e *TrustFlagsError) Error() string {
	return "set exactly one of --running (CORIANDERBAY_RUNNING) and --anchor (CORIANDERBAY_ANCHOR)"
}

// ExitCode returns the code for bad usage.
func (e *TrustFlagsError) ExitCode() int { return setting.ExitUsage }

// EncodingError reports a key or certificate that cannot be created.
type EncodingError struct {
	What  string
	Cause error
}

func (e *EncodingError) Error() string { return "cannot create " + e.What + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *EncodingError) Unwrap() error { return e.Cause }

// StatusError reports processes whose status could not be fetched.
type StatusError struct {
	// Addresses has at least one entry.
	Addresses []string
}

func (e *StatusError) Error() string {
	return "no status from " + strings.Join(e.Addresses, ", ")
}

// ResponseError reports a response with an HTTP status other than 200 OK.
type ResponseError struct {
	Address string
	// Status is the HTTP status line, as in "404 Not Found".
	Status string
}

func (e *ResponseError) Error() string {
	return e.Address + " responded with " + e.Status
}
