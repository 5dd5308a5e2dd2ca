package bundle_test

import (
	"errors"
	"slices"
	"testing"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestFreezeMarshalDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := drawBundle(t)
		f := freezeAndSign(t, b, nil, 1)
		raw, err := f.Marshal()
		must.NoError(t, err)
		again, err := bundle.Unmarshal(raw)
		must.NoError(t, err)
		must.Eq(t, f.Hash(), again.Hash())
		got, err := again.Decode()
		must.NoError(t, err)
		must.Eq(t, b, got)
	})
}

func TestFreezeIgnoresOrderOfServices(t *testing.T) {
	b := sample(1, 3)
	want := freezeAndSign(t, b, nil).Hash()
	slices.Reverse(b.Services)
	must.Eq(t, want, freezeAndSign(t, b, nil).Hash())
}

func TestAnyFlippedByteIsRejected(t *testing.T) {
	first := freezeAndSign(t, sample(1, 2), nil, 1)
	rotated := sample(2, 2)
	rotated.SignOff = policy(1, 2, 3)
	second := freezeAndSign(t, rotated, first, 2)
	next := sample(3, 2)
	next.SignOff = rotated.SignOff
	raw, err := freezeAndSign(t, next, second, 3).Marshal()
	must.NoError(t, err)
	trusts := []bundle.Trust{first.Trust(), bundle.Anchor(policy(1, 1, 2))}
	for i := range raw {
		bad := slices.Clone(raw)
		bad[i] ^= byte(1 + i%255)
		for _, trust := range trusts {
			f, err := bundle.Unmarshal(bad)
			if err == nil {
				_, err = bundle.Accept(trust, f)
			}
			must.Error(t, err, must.Sprintf("byte %d of %d", i, len(raw)))
		}
	}
}

func TestAssembleFetchesOnlyMissing(t *testing.T) {
	old := freezeAndSign(t, sample(1, 10), nil, 1)
	changed := sample(2, 10)
	changed.Services[4].Places[0].Upstreams[0].Weight = 7
	next := freezeAndSign(t, changed, old, 1)
	have := func(h bundle.Hash) bool {
		_, ok := old.Section(h)
		return ok
	}
	missing := next.Manifest().Missing(have)
	must.Len(t, 1, missing)

	_, err := bundle.Assemble(next.Manifest(), old.Section)
	var missingSection *bundle.MissingSectionError
	must.True(t, errors.As(err, &missingSection))
	must.Eq(t, "service/service-00004", missingSection.Name)

	got, err := bundle.Assemble(next.Manifest(), func(h bundle.Hash) ([]byte, bool) {
		if b, ok := old.Section(h); ok {
			return b, true
		}
		return next.Section(h)
	})
	must.NoError(t, err)
	must.Eq(t, next.Hash(), got.Hash())
}

func TestAssembleRejectsWrongSection(t *testing.T) {
	f := freezeAndSign(t, sample(1, 2), nil, 1)
	_, err := bundle.Assemble(f.Manifest(), func(bundle.Hash) ([]byte, bool) { return []byte("x"), true })
	var wrong *bundle.SectionError
	must.True(t, errors.As(err, &wrong))
}

func TestUnmarshalLimitsSize(t *testing.T) {
	_, err := bundle.Unmarshal(make([]byte, bundle.MaxFrozen+1))
	var large *bundle.TooLargeError
	must.True(t, errors.As(err, &large))
	must.Eq(t, bundle.MaxFrozen, large.Max)
}

// BenchmarkFreeze measures freezing a bundle of 1700 services, the largest one
// that the design provides for, and reports its encoded sizes.
func BenchmarkFreeze(b *testing.B) {
	in := sample(1, 1700)
	var f *bundle.Frozen
	for b.Loop() {
		f = freezeAndSign(b, in, nil, 1)
	}
	whole, err := f.Marshal()
	must.NoError(b, err)
	manifest, err := f.Manifest().Marshal()
	must.NoError(b, err)
	b.ReportMetric(float64(len(whole)), "bytes")
	b.ReportMetric(float64(len(manifest)), "manifest-bytes")
}

// BenchmarkAccept measures verifying and decoding the largest bundle that the
// design provides for.
func BenchmarkAccept(b *testing.B) {
	f := freezeAndSign(b, sample(1, 1700), nil, 1)
	trust := bundle.Anchor(policy(1, 1, 2))
	for b.Loop() {
		_, err := bundle.Accept(trust, f)
		must.NoError(b, err)
	}
}

// BenchmarkAcceptChange measures accepting a change of one weight in the largest
// bundle that the design provides for.
func BenchmarkAcceptChange(b *testing.B) {
	running := freezeAndSign(b, sample(1, 1700), nil, 1)
	_, err := bundle.Accept(bundle.Anchor(policy(1, 1, 2)), running)
	must.NoError(b, err)
	changed := sample(2, 1700)
	changed.Services[50].Places[0].Upstreams[0].Weight = 7
	next := freezeAndSign(b, changed, running, 1)
	for b.Loop() {
		_, err := bundle.Accept(running.Trust(), next)
		must.NoError(b, err)
	}
}
