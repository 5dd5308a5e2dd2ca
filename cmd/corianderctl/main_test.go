package main

import (
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/shoenig/test/must"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"corianderctl": main})
}

// TestScripts runs the commands shown on the pages of the examples, each in its own process.
func TestScripts(t *testing.T) {
	examples, err := filepath.Abs("../../examples")
	must.NoError(t, err)
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("EXAMPLES", examples)
			return nil
		},
	})
}
