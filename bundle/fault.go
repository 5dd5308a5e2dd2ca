package bundle

import (
	"fmt"
	"strconv"
	"strings"
)

// Position says where in an authored bundle something stands.
type Position struct {
	// File is empty for a bundle that was not read from YAML.
	File string
	// Line counts from 1. It is 0 for a bundle that was not read from YAML.
	Line int
	// Path is the place in the document, as in services[0].places[1].datacentre.
	Path string
}

// String returns the file, line and path that are known, each followed by a colon.
func (w Position) String() string {
	var b strings.Builder
	if w.File != "" {
		b.WriteString(w.File)
		b.WriteByte(':')
	}
	if w.Line != 0 {
		b.WriteString(strconv.Itoa(w.Line))
		b.WriteByte(':')
	}
	if b.Len() != 0 {
		b.WriteByte(' ')
	}
	if w.Path != "" {
		b.WriteString(w.Path)
		b.WriteString(": ")
	}
	return b.String()
}

// position lets Parse fill in the file and the line of a fault.
func (w *Position) position() *Position {
	return w
}

// A Fault is one thing that is wrong in a bundle. Every fault is a pointer to
// one of the error types of this file and embeds Where.
type Fault interface {
	error
	position() *Position
}

// FaultsError holds every fault that was found in one bundle.
type FaultsError struct {
	// Faults has at least one entry, in the order of the document where it is known.
	Faults []Fault
}

// Error returns one line a fault.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults, so that errors.As finds each kind.
func (e *FaultsError) Unwrap() []error {
	errs := make([]error, len(e.Faults))
	for i, f := range e.Faults {
		errs[i] = f
	}
	return errs
}

// SyntaxError reports text that is not YAML, or a part of YAML that bundles do not use.
type SyntaxError struct {
	Position
	Message string
}

func (e *SyntaxError) Error() string {
	return e.Position.String() + e.Message
}

// UnknownFieldError reports a field that bundles do not have.
type UnknownFieldError struct {
	Position
}

func (e *UnknownFieldError) Error() string {
	return e.Position.String() + "unknown field"
}

// DuplicateFieldError reports a field that stands twice in one mapping.
type DuplicateFieldError struct {
	Position
}

func (e *DuplicateFieldError) Error() string {
	return e.Position.String() + "the field stands twice"
}

// TypeError reports a value that cannot be read as its field's kind.
type TypeError struct {
	Position
	// Got is the text in quotes, or a kind as in "a list".
	Got string
	// Want names the kind, as in "a duration like 10s".
	Want string
}

func (e *TypeError) Error() string {
	return fmt.Sprintf("%s%s is not %s", e.Position, e.Got, e.Want)
}

// MissingError reports a field that must be set and is not.
type MissingError struct {
	Position
}

func (e *MissingError) Error() string {
	return e.Position.String() + "must be set"
}

// NameError reports a name that is not 1 to MaxName letters, digits, hyphens, dots or underscores.
type NameError struct {
	Position
	Name string
}

func (e *NameError) Error() string {
	return fmt.Sprintf("%s%q is not a name of 1 to %d letters, digits, hyphens, dots or underscores",
		e.Position, e.Name, MaxName)
}

// DuplicateError reports a name, key or prefix that stands twice where it must be unique.
type DuplicateError struct {
	Position
	Value string
	// First is the path of the earlier one.
	First string
}

func (e *DuplicateError) Error() string {
	return fmt.Sprintf("%s%q already stands at %s", e.Position, e.Value, e.First)
}

// DuplicateAddressError reports an address that two services hold.
type DuplicateAddressError struct {
	Position
	Address string
	// First is the path of the earlier one.
	First string
}

func (e *DuplicateAddressError) Error() string {
	return fmt.Sprintf("%saddress %s is already held at %s", e.Position, e.Address, e.First)
}

// AddressError reports an address that cannot be used.
type AddressError struct {
	Position
	Address string
	Reason  string
}

func (e *AddressError) Error() string {
	return fmt.Sprintf("%saddress %s cannot be used: %s", e.Position, e.Address, e.Reason)
}

// DuplicatePrefixError reports a caller prefix that stands in two data centres.
type DuplicatePrefixError struct {
	Position
	Prefix string
	// First is the path of the earlier one.
	First string
}

func (e *DuplicatePrefixError) Error() string {
	return fmt.Sprintf("%sprefix %s already stands at %s", e.Position, e.Prefix, e.First)
}

// HostBitsError reports a prefix with bits set past its length.
type HostBitsError struct {
	Position
	Prefix string
	// Masked is the prefix without those bits.
	Masked string
}

func (e *HostBitsError) Error() string {
	return fmt.Sprintf("%sprefix %s has bits set past its length; %s has none", e.Position, e.Prefix, e.Masked)
}

// RangeError reports a number or a duration outside its range.
type RangeError struct {
	Position
	Value string
	// Range is the allowed range, as in "1 to 1000".
	Range string
}

func (e *RangeError) Error() string {
	return fmt.Sprintf("%s%s is out of range %s", e.Position, e.Value, e.Range)
}

// CountError reports a list with too many entries.
type CountError struct {
	Position
	Count int
	Max   int
}

func (e *CountError) Error() string {
	return fmt.Sprintf("%s%d entries are more than %d", e.Position, e.Count, e.Max)
}

// ChoiceError reports a word that is none of the allowed ones.
type ChoiceError struct {
	Position
	Value   string
	Choices []string
}

func (e *ChoiceError) Error() string {
	return fmt.Sprintf("%s%q is none of %s", e.Position, e.Value, strings.Join(e.Choices, ", "))
}

// KeyError reports an approver's key that is not 32 bytes in standard base64.
type KeyError struct {
	Position
	Key string
}

func (e *KeyError) Error() string {
	return fmt.Sprintf("%s%q is not an ed25519 public key of 32 bytes in standard base64", e.Position, e.Key)
}

// UnknownDataCentreError reports a data centre that the bundle lacks.
type UnknownDataCentreError struct {
	Position
	Name string
}

func (e *UnknownDataCentreError) Error() string {
	return fmt.Sprintf("%sthe bundle has no data centre %q", e.Position, e.Name)
}

// UnknownServiceError reports a former service that the bundle lacks.
type UnknownServiceError struct {
	Position
	Name string
}

func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("%sthe bundle has no service %q", e.Position, e.Name)
}

// SelfReferenceError reports a service or a data centre that names itself.
type SelfReferenceError struct {
	Position
	Name string
}

func (e *SelfReferenceError) Error() string {
	return fmt.Sprintf("%s%q names itself", e.Position, e.Name)
}

// CollisionError reports two names with one identity on the wire.
type CollisionError struct {
	Position
	ID    uint32
	Name  string
	First string
}

func (e *CollisionError) Error() string {
	return fmt.Sprintf("%s%q has the same identity %#x as %q; choose another name", e.Position, e.Name, e.ID, e.First)
}

// DuplicateSidecarError reports a sidecar address that two upstreams share.
type DuplicateSidecarError struct {
	Position
	Sidecar string
	// First is the path of the earlier one.
	First string
}

func (e *DuplicateSidecarError) Error() string {
	return fmt.Sprintf("%ssidecar %s already stands at %s", e.Position, e.Sidecar, e.First)
}
