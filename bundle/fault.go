package bundle

import (
	"fmt"
	"strconv"
	"strings"
)

// Position is a position in an authored bundle.
type Position struct {
	// File is the file name. It is empty for a bundle that was not read from YAML.
	File string
	// Line is the line number, from 1. It is 0 for a bundle that was not read from
	// YAML.
	Line int
	// Path is the path in the document, such as services[0].places[1].datacentre.
	Path string
}

// String returns the file, line and path as far as they are set, each followed
// by a colon.
func (p Position) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File)
		b.WriteByte(':')
	}
	if p.Line != 0 {
		b.WriteString(strconv.Itoa(p.Line))
		b.WriteByte(':')
	}
	if b.Len() != 0 {
		b.WriteByte(' ')
	}
	if p.Path != "" {
		b.WriteString(p.Path)
		b.WriteString(": ")
	}
	return b.String()
}

// position returns p, so that Parse can set the file and line of any fault.
func (p *Position) position() *Position {
	return p
}

// A Fault is a single validation error of a bundle. Every fault is a pointer to
// one of the error types of this file and embeds Position.
type Fault interface {
	error
	position() *Position
}

// FaultsError holds all faults of one bundle.
type FaultsError struct {
	// Faults has at least one entry. Those of a parsed bundle are sorted by line.
	Faults []Fault
}

// Error returns one line per fault.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults for use by errors.As.
func (e *FaultsError) Unwrap() []error {
	errs := make([]error, len(e.Faults))
	for i, f := range e.Faults {
		errs[i] = f
	}
	return errs
}

// SyntaxError reports text that is not valid YAML or not a single document, or
// that nests too deeply.
type SyntaxError struct {
	Position
	Message string
}

func (e *SyntaxError) Error() string {
	return e.Position.String() + e.Message
}

// UnknownFieldError reports a field that does not exist in bundles.
type UnknownFieldError struct {
	Position
}

func (e *UnknownFieldError) Error() string {
	return e.Position.String() + "unknown field"
}

// DuplicateFieldError reports a field that occurs twice in one mapping.
type DuplicateFieldError struct {
	Position
}

func (e *DuplicateFieldError) Error() string {
	return e.Position.String() + "duplicate field"
}

// TypeError reports a value that cannot be converted to the type of its field.
type TypeError struct {
	Position
	// Got is the quoted text of the value, or a kind such as "a list".
	Got string
	// Want is the required kind, such as "a duration like 10s".
	Want string
}

func (e *TypeError) Error() string {
	return fmt.Sprintf("%s%s is not %s", e.Position, e.Got, e.Want)
}

// MissingError reports a required field that is not set.
type MissingError struct {
	Position
}

func (e *MissingError) Error() string {
	return e.Position.String() + "must be set"
}

// NameError reports a name that does not consist of 1 to MaxName letters,
// digits, hyphens, dots or underscores.
type NameError struct {
	Position
	Name string
}

func (e *NameError) Error() string {
	return fmt.Sprintf("%s%q is not a name of 1 to %d letters, digits, hyphens, dots or underscores",
		e.Position, e.Name, MaxName)
}

// DuplicateError reports a name, key or prefix that must be unique and is not.
type DuplicateError struct {
	Position
	Value string
	// First is the path of the first occurrence.
	First string
}

func (e *DuplicateError) Error() string {
	return fmt.Sprintf("%s%q is already used at %s", e.Position, e.Value, e.First)
}

// DuplicateAddressError reports an address that is listed twice.
type DuplicateAddressError struct {
	Position
	Address string
	// First is the path of the first occurrence.
	First string
}

func (e *DuplicateAddressError) Error() string {
	return fmt.Sprintf("%saddress %s is already used at %s", e.Position, e.Address, e.First)
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

// DuplicatePrefixError reports a caller prefix that data centres list twice.
type DuplicatePrefixError struct {
	Position
	Prefix string
	// First is the path of the first occurrence.
	First string
}

func (e *DuplicatePrefixError) Error() string {
	return fmt.Sprintf("%sprefix %s is already used at %s", e.Position, e.Prefix, e.First)
}

// HostBitsError reports a prefix with bits set beyond its length.
type HostBitsError struct {
	Position
	Prefix string
	// Masked is the prefix without those bits.
	Masked string
}

func (e *HostBitsError) Error() string {
	return fmt.Sprintf("%sprefix %s has bits set beyond its length; the masked prefix is %s", e.Position, e.Prefix, e.Masked)
}

// RangeError reports a number or duration that is out of range.
type RangeError struct {
	Position
	Value string
	// Range is the allowed range, such as "1 to 1000".
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
	return fmt.Sprintf("%s%d entries exceed the limit of %d", e.Position, e.Count, e.Max)
}

// ChoiceError reports a value that is not one of the allowed ones.
type ChoiceError struct {
	Position
	Value   string
	Choices []string
}

func (e *ChoiceError) Error() string {
	return fmt.Sprintf("%s%q is not one of %s", e.Position, e.Value, strings.Join(e.Choices, ", "))
}

// KeyError reports an approver's key that is not 32 bytes in standard base64,
// or a private key of the wrong length.
type KeyError struct {
	Position
	Key string
}

func (e *KeyError) Error() string {
	return fmt.Sprintf("%s%q is not an ed25519 public key of 32 bytes in standard base64", e.Position, e.Key)
}

// UnknownDataCentreError reports a data centre that the bundle does not define.
type UnknownDataCentreError struct {
	Position
	Name string
}

func (e *UnknownDataCentreError) Error() string {
	return fmt.Sprintf("%sthe bundle has no data centre %q", e.Position, e.Name)
}

// UnknownServiceError reports a former service that the bundle does not define.
type UnknownServiceError struct {
	Position
	Name string
}

func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("%sthe bundle has no service %q", e.Position, e.Name)
}

// SelfReferenceError reports a service or data centre that refers to itself.
type SelfReferenceError struct {
	Position
	Name string
}

func (e *SelfReferenceError) Error() string {
	return fmt.Sprintf("%s%q refers to itself", e.Position, e.Name)
}

// CollisionError reports two names with the same ID on the wire.
type CollisionError struct {
	Position
	ID    uint32
	Name  string
	First string
}

func (e *CollisionError) Error() string {
	return fmt.Sprintf("%s%q has the same ID %#x as %q; choose another name", e.Position, e.Name, e.ID, e.First)
}

// DuplicateSidecarError reports a sidecar address that two upstreams share.
type DuplicateSidecarError struct {
	Position
	Sidecar string
	// First is the path of the first occurrence.
	First string
}

func (e *DuplicateSidecarError) Error() string {
	return fmt.Sprintf("%ssidecar %s is already used at %s", e.Position, e.Sidecar, e.First)
}
