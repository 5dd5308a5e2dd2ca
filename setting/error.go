package setting

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// The exit codes of commands.
const (
	ExitFailure = 1
	// ExitUsage is for bad flags, settings, arguments and input.
	ExitUsage = 2
)

// ValueError reports one setting that is wrong.
type ValueError struct {
	// Flag is the flag with its hyphens, and Variable the environment variable; either may have set Value.
	Flag     string
	Variable string
	Value    string
	// Want says what the setting holds, as in "a duration like 10s".
	Want string
	// Range is the allowed range. Empty for a setting without one.
	Range string
}

func (e *ValueError) Error() string {
	if e.Value == "" {
		return fmt.Sprintf("%s (%s) must be set to %s%s", e.Flag, e.Variable, e.Want, e.within())
	}
	return fmt.Sprintf("%s (%s): %q is not %s%s", e.Flag, e.Variable, e.Value, e.Want, e.within())
}

func (e *ValueError) within() string {
	if e.Range == "" {
		return ""
	}
	return " in the range " + e.Range
}

// FaultsError holds every setting that is wrong.
type FaultsError struct {
	// Faults has at least one entry, in the order of declaration.
	Faults []*ValueError
}

// Error returns one line a fault.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults, so that errors.As finds one.
func (e *FaultsError) Unwrap() []error {
	errs := make([]error, len(e.Faults))
	for i, f := range e.Faults {
		errs[i] = f
	}
	return errs
}

// ExitCode returns ExitUsage.
func (e *FaultsError) ExitCode() int { return ExitUsage }

// UsageError reports a command line that cannot be run, as for an unknown flag.
type UsageError struct {
	Cause error
}

func (e *UsageError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Cause }

// ExitCode returns ExitUsage.
func (e *UsageError) ExitCode() int { return ExitUsage }

// UnknownCommandError reports a word that names no command of a group.
type UnknownCommandError struct {
	Group string
	Name  string
}

func (e *UnknownCommandError) Error() string {
	return fmt.Sprintf("%s has no command %q", e.Group, e.Name)
}

// ExitCode returns 0 for nil, the code of an error that has a method ExitCode, and ExitFailure for others.
func ExitCode(err error) int {
	if err == nil {
		return 0
	}
	var coded interface{ ExitCode() int }
	if errors.As(err, &coded) {
		return coded.ExitCode()
	}
	return ExitFailure
}
