package setting

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// The exit codes of commands.
const (
	ExitFailure = 1
	// ExitUsage is for invalid flags, settings, arguments and input.
	ExitUsage = 2
)

// ValueError reports one invalid setting.
type ValueError struct {
	// Flag is the flag with its hyphens, and Variable the environment variable.
	// Value comes from either of them.
	Flag     string
	Variable string
	Value    string
	// Want describes valid values, as in "a duration like 10s".
	Want string
	// Range is the allowed range, or empty when there is none.
	Range string
}

func (e *ValueError) Error() string {
	if e.Value == "" {
		return fmt.Sprintf("%s (%s) must be set to %s%s", e.Flag, e.Variable, e.Want, e.rangeSuffix())
	}
	return fmt.Sprintf("%s (%s): %q is not %s%s", e.Flag, e.Variable, e.Value, e.Want, e.rangeSuffix())
}

func (e *ValueError) rangeSuffix() string {
	if e.Range == "" {
		return ""
	}
	return " in the range " + e.Range
}

// FaultsError reports all invalid settings of a command.
type FaultsError struct {
	// Faults has at least one entry, in the order of declaration.
	Faults []*ValueError
}

// Error returns one line per fault.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults for errors.As.
func (e *FaultsError) Unwrap() []error {
	errs := make([]error, len(e.Faults))
	for i, f := range e.Faults {
		errs[i] = f
	}
	return errs
}

// ExitCode returns ExitUsage.
func (e *FaultsError) ExitCode() int { return ExitUsage }

// UsageError reports an invalid command line, such as one with an unknown flag.
type UsageError struct {
	Cause error
}

func (e *UsageError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Cause }

// ExitCode returns ExitUsage.
func (e *UsageError) ExitCode() int { return ExitUsage }

// UnknownCommandError reports an argument that is not the name of a command in the group.
type UnknownCommandError struct {
	Group string
	Name  string
}

func (e *UnknownCommandError) Error() string {
	return fmt.Sprintf("%s has no command %q", e.Group, e.Name)
}

// ExitCode returns 0 for nil, the result of the ExitCode method for errors that
// have one, and ExitFailure for all others.
func ExitCode(err error) int {
	if err == nil {
		return 0
	}
	var exitCoder interface{ ExitCode() int }
	if errors.As(err, &exitCoder) {
		return exitCoder.ExitCode()
	}
	return ExitFailure
}
