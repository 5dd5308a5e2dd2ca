package bundle_test

import (
	"os"
	"testing"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/shoenig/test/must"
)

// FuzzParse looks for text that ends the process, and for accepted text that cannot be frozen.
func FuzzParse(f *testing.F) {
	valid, err := os.ReadFile("testdata/valid.yaml")
	must.NoError(f, err)
	f.Add(valid)
	f.Fuzz(func(t *testing.T, text []byte) {
		b, err := bundle.Parse("fuzz.yaml", text)
		if err != nil {
			return
		}
		_, err = bundle.Freeze(b)
		must.NoError(t, err)
	})
}

// FuzzUnmarshal looks for bytes that end the process, and for accepted bytes with a second encoding.
func FuzzUnmarshal(f *testing.F) {
	valid, err := frozen(f, sample(1, 2), nil, 1).Marshal()
	must.NoError(f, err)
	f.Add(valid)
	f.Fuzz(func(t *testing.T, raw []byte) {
		got, err := bundle.Unmarshal(raw)
		if err != nil {
			return
		}
		again, err := got.Marshal()
		must.NoError(t, err)
		must.Eq(t, raw, again)
		_, _ = bundle.Accept(bundle.Anchor(policy(1, 1, 2)), got)
	})
}
