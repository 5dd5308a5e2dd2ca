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

// EnvPrefix is the prefix of the names of all environment variables.
const EnvPrefix = "CORIANDERBAY"

// Declaration describes one setting for help texts and documentation.
type Declaration struct {
	// Name is the name of the flag, in lower case with hyphens, unique in a set.
	Name string
	// Kind describes valid values, as in "a duration like 10s".
	Kind string
	// Default is the default value as text, or empty when there is none.
	Default string
	// Unit is the unit of a number, or empty.
	Unit string
	// Range is the allowed range, as in "1 to 1000", or empty when there is none.
	Range string
	// Required is true when the setting must not be empty.
	Required bool
	Help     string
}

// Variable returns the name of the setting's environment variable.
func (d Declaration) Variable() string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(d.Name, "-", "_"))
}

// usage returns the help text with the unit and the range.
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

// Set holds the settings of one command. The declaring methods return pointers to
// values that Check sets. A Set is not safe for concurrent use.
type Set struct {
	settings []*setting // in order of declaration, unique by name
	viper    *viper.Viper
}

// setting is a declaration with the destination of its value.
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

// String declares a string.
func (s *Set) String(name, value, help string) *string {
	v := new(string)
	s.declare(Declaration{Name: name, Kind: "a string", Default: value, Help: help}, stringTarget{v})
	return v
}

// Strings declares a comma-separated list of strings.
func (s *Set) Strings(name, value, help string) *[]string {
	v := new([]string)
	s.declare(Declaration{Name: name, Kind: "a list like a,b", Default: value, Help: help}, stringsTarget{v})
	return v
}

// Choice declares a string that is one of choices.
func (s *Set) Choice(name, value string, choices []string, help string) *string {
	v := new(string)
	d := Declaration{Name: name, Kind: "a word", Default: value, Range: strings.Join(choices, ", "), Help: help}
	s.declare(d, choiceTarget{v, choices})
	return v
}

// Address declares an address and port. The empty string is the zero AddrPort.
func (s *Set) Address(name, value, help string) *netip.AddrPort {
	v := new(netip.AddrPort)
	s.declare(Declaration{Name: name, Kind: "an address and port", Default: value, Help: help}, addressTarget{v})
	return v
}

// Addresses declares a comma-separated list of addresses with ports.
func (s *Set) Addresses(name, value, help string) *[]netip.AddrPort {
	v := new([]netip.AddrPort)
	s.declare(Declaration{Name: name, Kind: "comma-separated addresses and ports", Default: value, Help: help}, addressesTarget{v})
	return v
}

// Duration declares a duration from low to high, inclusive.
func (s *Set) Duration(name string, value, low, high time.Duration, help string) *time.Duration {
	v := new(time.Duration)
	d := Declaration{Name: name, Kind: "a duration like 10s", Default: value.String(), Help: help}
	d.Range = low.String() + " to " + high.String()
	s.declare(d, durationTarget{v, low, high})
	return v
}

// Int declares an integer from low to high, inclusive, in the given unit.
func (s *Set) Int(name string, value, low, high int, unit, help string) *int {
	v := new(int)
	d := Declaration{Name: name, Kind: "a whole number", Default: strconv.Itoa(value), Unit: unit, Help: help}
	d.Range = strconv.Itoa(low) + " to " + strconv.Itoa(high)
	s.declare(d, intTarget{v, low, high})
	return v
}

// Float declares a number from low to high, inclusive, in the given unit.
func (s *Set) Float(name string, value, low, high float64, unit, help string) *float64 {
	v := new(float64)
	d := Declaration{Name: name, Kind: "a number", Default: formatFloat(value), Unit: unit, Help: help}
	d.Range = formatFloat(low) + " to " + formatFloat(high)
	s.declare(d, floatTarget{v, low, high})
	return v
}

// Bool declares a boolean. The flag without a value means true.
func (s *Set) Bool(name string, value bool, help string) *bool {
	v := new(bool)
	s.declare(Declaration{Name: name, Kind: "true or false", Default: strconv.FormatBool(value), Help: help}, boolTarget{v})
	return v
}

// File declares the path of a file that must be readable when Check is called. The
// empty string means no file.
func (s *Set) File(name, value, help string) *string {
	v := new(string)
	s.declare(Declaration{Name: name, Kind: "a readable file", Default: value, Help: help}, fileTarget{v})
	return v
}

// Require marks the settings as required, so that they must not be empty. It
// ignores names that are not declared.
func (s *Set) Require(names ...string) {
	for _, st := range s.settings {
		for _, name := range names {
			st.Required = st.Required || st.Name == name
		}
	}
}

// Declarations returns the declared settings in order of declaration.
func (s *Set) Declarations() []Declaration {
	list := make([]Declaration, len(s.settings))
	for i, st := range s.settings {
		list[i] = st.Declaration
	}
	return list
}

// Bind adds a flag for every setting to the command, and makes the command return
// *UsageError for flag errors. It returns *UsageError when a flag cannot be bound.
func (s *Set) Bind(cmd *cobra.Command) error {
	for _, st := range s.settings {
		f := cmd.Flags().VarPF(&flagValue{typeName: st.target.typeName(), text: st.Default}, st.Name, "", st.usage())
		if _, ok := st.target.(boolTarget); ok {
			f.NoOptDefVal = "true"
		}
		if err := s.viper.BindPFlag(st.Name, f); err != nil {
			return &UsageError{Cause: err}
		}
	}
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return &UsageError{Cause: err}
	})
	return nil
}

// Check reads all settings, validates them and sets their values. It returns
// *FaultsError with all invalid settings.
func (s *Set) Check() error {
	var faults []*ValueError
	for _, st := range s.settings {
		text := s.viper.GetString(st.Name)
		if text == "" && st.Required {
			faults = append(faults, s.valueError(st, text))
			continue
		}
		if !assign(st.target, text) {
			faults = append(faults, s.valueError(st, text))
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

func (s *Set) valueError(st *setting, text string) *ValueError {
	return &ValueError{
		Flag:     "--" + st.Name,
		Variable: st.Variable(),
		Value:    text,
		Want:     st.Kind,
		Range:    st.Range,
	}
}

// flagValue stores the text of a flag until Check reads it, so that all invalid
// settings are reported together.
type flagValue struct {
	typeName string
	text     string
}

var _ pflag.Value = (*flagValue)(nil)

func (v *flagValue) String() string { return v.text }

func (v *flagValue) Type() string { return v.typeName }

// Set stores the text. It never returns an error.
func (v *flagValue) Set(text string) error {
	v.text = text
	return nil
}

func formatFloat(v float64) string {
	return strconv.FormatFloat(v, 'f', -1, 64)
}

// isReadableFile reports whether the path can be opened and is not a directory.
func isReadableFile(path string) bool {
	f, err := os.Open(path)
	if err != nil {
		return false
	}
	info, err := f.Stat()
	return f.Close() == nil && err == nil && !info.IsDir()
}
