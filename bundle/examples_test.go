package bundle_test

import (
	"os"
	"testing"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/shoenig/test/must"
)

// TestExamplesParseAndFreeze checks that each example is valid and has the
// expected numbers of data centres, services and upstreams.
func TestExamplesParseAndFreeze(t *testing.T) {
	for _, name := range []string{"wiryawan", "rotulos"} {
		t.Run(name, func(t *testing.T) {
			file := "../examples/" + name + "/bundle.yaml"
			text, err := os.ReadFile(file)
			must.NoError(t, err)
			b, err := bundle.Parse(file, text)
			must.NoError(t, err)
			_, err = bundle.Freeze(b)
			must.NoError(t, err)
			must.Len(t, 3, b.DataCentres)
			must.Len(t, 2, b.Services)
			must.Eq(t, []int{7, 3}, []int{upstreamCount(t, b.Services[0]), upstreamCount(t, b.Services[1])})
		})
	}
}

// upstreamCount returns the number of upstreams of a service. It fails the test
// unless each has 2 slots.
func upstreamCount(t *testing.T, s bundle.Service) int {
	t.Helper()
	n := 0
	for _, p := range s.Places {
		for _, u := range p.Upstreams {
			must.Eq(t, 2, u.EffectiveSlots())
			n++
		}
	}
	return n
}
