package capacity_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/capacity"
	"github.com/corianderbay/corianderbay/route"
)

const upstreamsPerService = 2

// freeze returns a signed bundle with the given number of services.
func freeze(t testing.TB, services int) *bundle.Frozen {
	t.Helper()
	return sign(t, capacity.Size{Services: services, Upstreams: upstreamsPerService}.Bundle(1, approvers()), nil)
}

func sign(t testing.TB, b *bundle.Bundle, previous *bundle.Frozen) *bundle.Frozen {
	t.Helper()
	f, err := bundle.Freeze(b)
	must.NoError(t, err)
	if previous != nil {
		f, err = f.WithPrevious(previous)
		must.NoError(t, err)
	}
	f, err = bundle.Sign(f, "a", approverKey())
	must.NoError(t, err)
	return f
}

// BenchmarkBundleSize measures the size of a complete frozen bundle.
func BenchmarkBundleSize(b *testing.B) {
	reportSlope(b, fleetSizes(), "service", "B", measureOnce(func(services int) float64 {
		raw, err := freeze(b, services).Marshal()
		must.NoError(b, err)
		return float64(len(raw))
	}))
}

// BenchmarkManifestSize measures the size of the manifest of a frozen bundle.
func BenchmarkManifestSize(b *testing.B) {
	reportSlope(b, fleetSizes(), "service", "B", measureOnce(func(services int) float64 {
		raw, err := freeze(b, services).Manifest().Marshal()
		must.NoError(b, err)
		return float64(len(raw))
	}))
}

// BenchmarkChangeSize measures the size of the sections that differ after a
// change of one weight, without the manifest.
func BenchmarkChangeSize(b *testing.B) {
	reportSlope(b, fleetSizes(), "service", "B", measureOnce(func(services int) float64 {
		base := freeze(b, services)
		next := changeOneWeight(b, base, services)
		size := 0
		for _, h := range missingSections(base, next.Manifest()) {
			raw, ok := next.Section(h)
			must.True(b, ok)
			size += len(raw)
		}
		return float64(size)
	}))
}

// changeOneWeight returns the successor of base with one changed weight.
func changeOneWeight(t testing.TB, base *bundle.Frozen, services int) *bundle.Frozen {
	t.Helper()
	next := capacity.Size{Services: services, Upstreams: upstreamsPerService}.Bundle(2, approvers())
	next.Services[services/2].Places[0].Upstreams[0].Weight = 50
	return sign(t, next, base)
}

// missingSections returns the hashes of the sections of a manifest that base lacks.
func missingSections(base *bundle.Frozen, m *bundle.Manifest) []bundle.Hash {
	return m.Missing(func(h bundle.Hash) bool {
		_, ok := base.Section(h)
		return ok
	})
}

// BenchmarkViewTime measures the CPU time of route.NewView.
func BenchmarkViewTime(b *testing.B) {
	reportSlope(b, fleetSizes(), "service", "ns", func(services int) func() float64 {
		content := capacity.Size{Services: services, Upstreams: upstreamsPerService}.Bundle(1, approvers())
		return func() float64 {
			return cpuTime(b, func() { route.NewView(content) })
		}
	})
}

// BenchmarkActivationTime measures the CPU time for activating a complete bundle:
// unmarshalling and verifying it, decoding its sections, building the view and
// passing it to the sidecar.
func BenchmarkActivationTime(b *testing.B) {
	reportSlope(b, fleetSizes(), "service", "ns", func(services int) func() float64 {
		raw, err := freeze(b, services).Marshal()
		must.NoError(b, err)
		return func() float64 {
			return cpuTime(b, func() {
				f, err := bundle.Unmarshal(raw)
				must.NoError(b, err)
				activate(b, f, bundle.Anchor(approvers()))
			})
		}
	})
}

// BenchmarkChangeActivationTime measures the CPU time for activating the manifest
// and the section of one changed weight while the previous bundle is in force.
func BenchmarkChangeActivationTime(b *testing.B) {
	reportSlope(b, fleetSizes(), "service", "ns", func(services int) func() float64 {
		base := freeze(b, services)
		_, err := bundle.Accept(bundle.Anchor(approvers()), base)
		must.NoError(b, err)
		next := changeOneWeight(b, base, services)
		raw, err := next.Manifest().Marshal()
		must.NoError(b, err)
		return func() float64 {
			return cpuTime(b, func() {
				m, err := bundle.UnmarshalManifest(raw)
				must.NoError(b, err)
				f, err := bundle.Assemble(m, func(h bundle.Hash) ([]byte, bool) {
					if held, ok := base.Section(h); ok {
						return held, true
					}
					return next.Section(h)
				})
				must.NoError(b, err)
				activate(b, f, base.Trust())
			})
		}
	})
}

func activate(t testing.TB, f *bundle.Frozen, trust bundle.Trust) {
	t.Helper()
	accepted, err := bundle.Accept(trust, f)
	must.NoError(t, err)
	_, err = capacity.NewDataPath(accepted)
	must.NoError(t, err)
}
