package bundle_test

import (
	"os"
	"testing"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/shoenig/test/must"
)

// FuzzParse checks that no text makes Parse panic and that every accepted text
// can be frozen.
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

// FuzzUnmarshal checks that no bytes make decoding panic and that accepted bytes
// are the only encoding of their value. It decodes the same bytes as a whole
// bundle and as an index.
func FuzzUnmarshal(f *testing.F) {
	base := freezeAndSign(f, sample(1, 2), nil, 1)
	next := freezeAndSign(f, sample(2, 3), base, 1)
	whole, err := base.Marshal()
	must.NoError(f, err)
	f.Add(whole)
	published, err := bundle.Publish(next, bundle.PublishConfig{})
	must.NoError(f, err)
	f.Add(published.Index)
	trust := bundle.Anchor(policy(1, 1, 2))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if got, err := bundle.Unmarshal(raw); err == nil {
			again, err := got.Marshal()
			must.NoError(t, err)
			must.Eq(t, raw, again)
			_, _ = bundle.Accept(trust, got)
		}
		if x, err := bundle.UnmarshalIndex(raw); err == nil {
			_ = x.Verify(trust)
			_, _ = x.Assemble(base, nil)
		}
	})
}
