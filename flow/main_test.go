package flow_test

import (
	"flag"
	"os"
	"testing"
)

// withoutFlag names the flag that runs the stateful tests without a mechanism.
const withoutFlag = "without"

// TestMain makes runs without flags the same each time.
func TestMain(m *testing.M) {
	flag.String(withoutFlag, "", "a mechanism to switch off, see Mechanisms")
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
