package flow_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain makes runs without flags the same each time.
func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", "0", "1")
	setDefault("rapid.nofailfile", "false", "true")
	os.Exit(m.Run())
}

// setDefault sets a flag that still has its zero value.
func setDefault(name, zero, value string) {
	f := flag.Lookup(name)
	if f != nil && f.Value.String() == zero {
		_ = f.Value.Set(value)
	}
}
