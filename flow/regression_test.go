package flow_test

import (
	"os"
	"os/exec"
	"testing"

	"github.com/shoenig/test/must"
)

// TestRegressionSeeds plays the cases that failed once, each in a process of its own
// since the seed is a flag.
func TestRegressionSeeds(t *testing.T) {
	t.Parallel()
	cases := []struct{ test, seed, cause string }{
		{"TestStatefulPlanned", "3114732797", "a refusal said that nothing ran while copies walked under an older order of candidates"},
	}
	self, err := os.Executable()
	must.NoError(t, err)
	for _, c := range cases {
		out, err := exec.CommandContext(t.Context(), self, "-test.run=^"+c.test+"$", "-rapid.seed="+c.seed, "-rapid.checks=1").CombinedOutput()
		must.NoError(t, err, must.Sprintf("%s seed %s: %s\n%.2000s", c.test, c.seed, c.cause, out))
	}
}
