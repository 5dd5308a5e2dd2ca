package setting

import (
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
	"github.com/spf13/viper"
)

// EnvPrefix is what the names of all environment variables begin with.
const EnvPrefix = "CORIANDERBAY"

// Declaration describes one setting for readers.
type Declaration struct {
	// Name is that of the flag, in lower case with hyphens, unique in a set.
	Name string
	// Kind says what the setting holds, as in "a duration like 10s".
	Kind string
	// Default is the text that selects the default. Empty when there is none.
	Default string
	// Unit is the unit of a number. Empty for others.
	Unit string
	// Range is the allowed range, as in "1 to 1000". Empty for a setting without one.
	Range string
	// Required is true for a setting that must not be empty.
	Required bool
	Help     string
}

// Variable returns the name of the environment variable.
func (d Declaration) Variable() string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(d.Name, "-", "_"))
}

// usage returns the help text with unit and range.
func (d Declaration) usage() string {
	var b strings.Builder
	b.WriteString(d.Help)
	var notes []string
	if d.Unit != "" {
		notes = append(notes, d.Unit)
	}
	if d.Range != "" {
		notes = append(notes, d.Range)
	}
	if d.Required {
		notes = append(notes, "required")
	}
	if len(notes) > 0 {
		b.WriteString(" (" + strings.Join(notes, ", ") + ")")
	}
	return b.String()
}

// Set is the settings of one command. The values that its methods return are
// filled in by Check. A Set is not safe for concurrent use.
type Set struct {
	settings []*setting // in the order of declaration, unique by name
	viper    *viper.Viper
}

// setting is a declaration with the place that its value goes to.
type setting struct {
	Declaration
	target target
}

// NewSet returns an empty set.
func NewSet() *Set {
	v := viper.New()
	v.SetEnvPrefix(EnvPrefix)
	v.SetEnvKeyReplacer(strings.NewReplacer("-", "_"))
	v.AutomaticEnv()
	return &Set{viper: v}
}

// String declares a text.
func (s *Set) String(name, value, help string) *string {
	v := new(string)
	s.declare(Declaration{Name: name, Kind: "a string", Default: value, Help: help}, stringTarget{v})
	return v
}

// Strings declares a list of texts with commas between them.
func (s *Set) Strings(name, value, help string) *[]string {
	v := new([]string)
	s.declare(Declaration{Name: name, Kind: "a list like a,b", Default: value, Help: help}, stringsTarget{v})
	return v
}

// Choice declares a text that is one of choices.
func (s *Set) Choice(name, value string, choices []string, help string) *string {
	v := new(string)
	d := Declaration{Name: name, Kind: "a word", Default: value, Range: strings.Join(choices, ", "), Help: help}
	s.declare(d, choiceTarget{v, choices})
	return v
}

// Address declares an address and port. An empty value leaves the zero AddrPort.
func (s *Set) Address(name, value, help string) *netip.AddrPort {
	v := new(netip.AddrPort)
	s.declare(Declaration{Name: name, Kind: "an address and port", Default: value, Help: help}, addressTarget{v})
	return v
}

// Addresses declares a list of addresses and ports with commas between them.
func (s *Set) Addresses(name, value, help string) *[]netip.AddrPort {
	v := new([]netip.AddrPort)
	s.declare(Declaration{Name: name, Kind: "addresses and ports with commas", Default: value, Help: help}, addressesTarget{v})
	return v
}

// Duration declares a duration from low to high.
func (s *Set) Duration(name string, value, low, high time.Duration, help string) *time.Duration {
	v := new(time.Duration)
	d := Declaration{Name: name, Kind: "a duration like 10s", Default: value.String(), Help: help}
	d.Range = low.String() + " to " + high.String()
	s.declare(d, durationTarget{v, low, high})
	return v
}

// Int declares a whole number from low to high, counted in unit.
func (s *Set) Int(name string, value, low, high int, unit, help string) *int {
	v := new(int)
	d := Declaration{Name: name, Kind: "a whole number", Default: strconv.Itoa(value), Unit: unit, Help: help}
	d.Range = strconv.Itoa(low) + " to " + strconv.Itoa(high)
	s.declare(d, intTarget{v, low, high})
	return v
}

// Float declares a number from low to high, counted in unit.
func (s *Set) Float(name string, value, low, high float64, unit, help string) *float64 {
	v := new(float64)
	d := Declaration{Name: name, Kind: "a number", Default: formatFloat(value), Unit: unit, Help: help}
	d.Range = formatFloat(low) + " to " + formatFloat(high)
	s.declare(d, floatTarget{v, low, high})
	return v
}

// Bool declares a setting that is true or false.
func (s *Set) Bool(name string, value bool, help string) *bool {
	v := new(bool)
	s.declare(Declaration{Name: name, Kind: "true or false", Default: strconv.FormatBool(value), Help: help}, boolTarget{v})
	return v
}

// File declares the path of a file that can be read when Check is called. An empty value names no file.
func (s *Set) File(name, value, help string) *string {
	v := new(string)
	s.declare(Declaration{Name: name, Kind: "a file that can be read", Default: value, Help: help}, fileTarget{v})
	return v
}

// Require says that the settings must not be empty. It ignores names that are not declared.
func (s *Set) Require(names ...string) {
	for _, set := range s.settings {
		for _, name := range names {
			set.Required = set.Required || set.Name == name
		}
	}
}

// Declarations returns what was declared, in that order.
func (s *Set) Declarations() []Declaration {
	list := make([]Declaration, len(s.settings))
	for i, set := range s.settings {
		list[i] = set.Declaration
	}
	return list
}

// Bind adds a flag for every setting to the command, and turns the command's flag errors into *UsageError.
func (s *Set) Bind(cmd *cobra.Command) error {
	for _, set := range s.settings {
		f := cmd.Flags().VarPF(&textValue{kind: set.target.kind(), text: set.Default}, set.Name, "", set.usage())
		if _, ok := set.target.(boolTarget); ok {
			f.NoOptDefVal = "true"
		}
		if err := s.viper.BindPFlag(set.Name, f); err != nil {
			return &UsageError{Cause: err}
		}
	}
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return &UsageError{Cause: err}
	})
	return nil
}

// Check reads every setting and fills in the values. It reports *FaultsError
// with all settings that are wrong.
func (s *Set) Check() error {
	var faults []*ValueError
	for _, set := range s.settings {
		text := s.viper.GetString(set.Name)
		if text == "" && set.Required {
			faults = append(faults, s.fault(set, text))
			continue
		}
		if !assign(set.target, text) {
			faults = append(faults, s.fault(set, text))
		}
	}
	if len(faults) == 0 {
		return nil
	}
	return &FaultsError{Faults: faults}
}

func (s *Set) declare(d Declaration, t target) {
	s.settings = append(s.settings, &setting{Declaration: d, target: t})
}

func (s *Set) fault(set *setting, text string) *ValueError {
	return &ValueError{
		Flag:     "--" + set.Name,
		Variable: set.Variable(),
		Value:    text,
		Want:     set.Kind,
		Range:    set.Range,
	}
}

// textValue keeps the text of a flag until Check reads it, so that all faults are found at once.
type textValue struct {
	kind string
	text string
}

var _ pflag.Value = (*textValue)(nil)

func (v *textValue) String() string { return v.text }

func (v *textValue) Type() string { return v.kind }

// Set keeps the text. It never fails.
func (v *textValue) Set(text string) error {
	v.text = text
	return nil
}

func formatFloat(v float64) string {
	return strconv.FormatFloat(v, 'f', -1, 64)
}

// readable returns true when the path names a regular file that can be opened.
func readable(path string) bool {
	f, err := os.Open(path)
	if err != nil {
		return false
	}
	info, err := f.Stat()
	return f.Close() == nil && err == nil && !info.IsDir()
}
