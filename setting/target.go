package setting

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// target is the typed destination of a setting's value.
type target interface {
	// typeName returns the type name that follows the flag in the help of a command.
	// It must not be a name for which viper converts the text.
	typeName() string
}

type (
	stringTarget  struct{ v *string }
	stringsTarget struct{ v *[]string }
	choiceTarget  struct {
		v       *string
		choices []string
	}
	addressTarget   struct{ v *netip.AddrPort }
	addressesTarget struct{ v *[]netip.AddrPort }
	durationTarget  struct {
		v         *time.Duration
		low, high time.Duration
	}
	intTarget struct {
		v         *int
		low, high int
	}
	floatTarget struct {
		v         *float64
		low, high float64
	}
	boolTarget struct{ v *bool }
	fileTarget struct{ v *string }
)

func (stringTarget) typeName() string    { return "string" }
func (stringsTarget) typeName() string   { return "list" }
func (choiceTarget) typeName() string    { return "word" }
func (addressTarget) typeName() string   { return "address" }
func (addressesTarget) typeName() string { return "addresses" }
func (durationTarget) typeName() string  { return "duration" }
func (intTarget) typeName() string       { return "number" }
func (floatTarget) typeName() string     { return "number" }
func (boolTarget) typeName() string      { return "boolean" }
func (fileTarget) typeName() string      { return "file" }

// assign parses the text into the target. It returns false when the text is
// malformed or out of range; the target then holds an unspecified value.
func assign(t target, text string) bool {
	switch t := t.(type) {
	case stringTarget:
		*t.v = text
		return true
	case stringsTarget:
		*t.v = splitList(text)
		return true
	case choiceTarget:
		*t.v = text
		return slices.Contains(t.choices, text)
	case addressTarget:
		return assignAddress(t.v, text)
	case addressesTarget:
		return assignAddresses(t.v, text)
	case durationTarget:
		v, err := time.ParseDuration(text)
		*t.v = v
		return err == nil && v >= t.low && v <= t.high
	case intTarget:
		v, err := strconv.Atoi(text)
		*t.v = v
		return err == nil && v >= t.low && v <= t.high
	case floatTarget:
		v, err := strconv.ParseFloat(text, 64)
		*t.v = v
		return err == nil && v >= t.low && v <= t.high
	case boolTarget:
		v, err := strconv.ParseBool(text)
		*t.v = v
		return err == nil
	case fileTarget:
		*t.v = text
		return text == "" || isReadableFile(text)
	}
	return false
}

func assignAddress(v *netip.AddrPort, text string) bool {
	if text == "" {
		*v = netip.AddrPort{}
		return true
	}
	parsed, err := netip.ParseAddrPort(text)
	*v = parsed
	return err == nil
}

func assignAddresses(v *[]netip.AddrPort, text string) bool {
	*v = nil
	for _, part := range splitList(text) {
		parsed, err := netip.ParseAddrPort(part)
		if err != nil {
			return false
		}
		*v = append(*v, parsed)
	}
	return true
}

// splitList splits the text at commas and trims the space around the parts.
func splitList(text string) []string {
	if strings.TrimSpace(text) == "" {
		return nil
	}
	parts := strings.Split(text, ",")
	for i, p := range parts {
		parts[i] = strings.TrimSpace(p)
	}
	return parts
}
