package flow_test

import (
	"flag"
	"os"
	"testing"
)

// withoutFlag is the name of the flag that disables mechanisms in the stateful tests.
const withoutFlag = "without"

// TestMain makes runs without flags deterministic.
func TestMain(m *testing.M) {
	flag.String(withoutFlag, "", "mechanism to disable, see Mechanisms")
	flag.Parse()
	setDefault("rapid.seed", "0", "1")
	setDefault("rapid.nofailfile", "false", "true")
	setDefault("rapid.checks", "100", "400")
	os.Exit(m.Run())
}

// setDefault sets a flag that still has its default.
func setDefault(name, old, value string) {
	f := flag.Lookup(name)
	if f != nil && f.Value.String() == old {
		_ = f.Value.Set(value)
	}
}
