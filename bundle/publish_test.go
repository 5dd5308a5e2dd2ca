package bundle_test

import (
	"slices"
	"testing"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/shoenig/test/must"
)

func TestPublishInParts(t *testing.T) {
	old := freezeAndSign(t, sample(1, 200), nil, 1)
	cfg := bundle.PublishConfig{MaxPartSize: 8 << 10}
	before, err := bundle.Publish(old, cfg)
	must.NoError(t, err)
	must.Greater(t, 4, len(before.Parts))

	x, err := bundle.UnmarshalIndex(before.Index)
	must.NoError(t, err)
	must.NoError(t, x.Verify(bundle.Anchor(policy(1, 1, 2))))
	all, err := x.Missing(nil)
	must.NoError(t, err)
	must.Len(t, len(before.Parts), all)
	f, err := x.Assemble(nil, before.Parts)
	must.NoError(t, err)
	must.Eq(t, old.Hash(), f.Hash())

	changed := sample(2, 200)
	changed.Services[50].Places[0].Upstreams[0].Weight = 9
	next := freezeAndSign(t, changed, old, 1)
	after, err := bundle.Publish(next, cfg)
	must.NoError(t, err)
	x, err = bundle.UnmarshalIndex(after.Index)
	must.NoError(t, err)
	requireError[*bundle.StaleError](t, x.Verify(next.Trust()))
	missing, err := x.Missing(old)
	must.NoError(t, err)
	must.Len(t, 1, missing)

	// The index is published without its new part, so Assemble fails and the old
	// bundle stays in force.
	_, err = x.Assemble(old, nil)
	requireError[*bundle.MissingPartError](t, err)
	_, err = x.Assemble(old, map[bundle.Hash][]byte{missing[0]: []byte("x")})
	requireError[*bundle.PartError](t, err)
	f, err = x.Assemble(old, map[bundle.Hash][]byte{missing[0]: after.Parts[missing[0]]})
	must.NoError(t, err)
	must.Eq(t, next.Hash(), f.Hash())
}

func TestPublishSmallBundleInOneValue(t *testing.T) {
	f := freezeAndSign(t, sample(1, 2), nil, 1)
	p, err := bundle.Publish(f, bundle.PublishConfig{})
	must.NoError(t, err)
	must.MapEmpty(t, p.Parts)
	x, err := bundle.UnmarshalIndex(p.Index)
	must.NoError(t, err)
	got, err := x.Assemble(nil, nil)
	must.NoError(t, err)
	must.Eq(t, f.Hash(), got.Hash())
	for i := range p.Index {
		bad := slices.Clone(p.Index)
		bad[i] ^= 1
		x, err := bundle.UnmarshalIndex(bad)
		if err == nil {
			err = x.Verify(bundle.Anchor(policy(1, 1, 2)))
		}
		if err == nil {
			_, err = x.Assemble(nil, nil)
		}
		must.Error(t, err, must.Sprintf("byte %d of %d", i, len(p.Index)))
	}
}

func TestPublishReportsSectionAboveLimit(t *testing.T) {
	_, err := bundle.Publish(freezeAndSign(t, sample(1, 2), nil, 1), bundle.PublishConfig{MaxPartSize: 100})
	must.Eq(t, 100, requireError[*bundle.TooLargeError](t, err).Max)
}

// BenchmarkPublish measures publishing the largest bundle that the design provides
// for, and reports the sizes of its values on the platform.
func BenchmarkPublish(b *testing.B) {
	f := freezeAndSign(b, sample(1, 1700), nil, 1)
	changed := sample(2, 1700)
	changed.Services[50].Places[0].Upstreams[0].Weight = 9
	next := freezeAndSign(b, changed, f, 1)
	var p *bundle.Publication
	for b.Loop() {
		var err error
		p, err = bundle.Publish(f, bundle.PublishConfig{})
		must.NoError(b, err)
	}
	largest := 0
	for _, raw := range p.Parts {
		largest = max(largest, len(raw))
	}
	changedTo, err := bundle.Publish(next, bundle.PublishConfig{})
	must.NoError(b, err)
	x, err := bundle.UnmarshalIndex(changedTo.Index)
	must.NoError(b, err)
	missing, err := x.Missing(f)
	must.NoError(b, err)
	must.Len(b, 1, missing)
	b.ReportMetric(float64(len(changedTo.Index)+len(changedTo.Parts[missing[0]])), "change-bytes")
	b.ReportMetric(float64(len(p.Index)), "index-bytes")
	b.ReportMetric(float64(len(p.Parts)), "parts")
	b.ReportMetric(float64(largest), "part-bytes")
}
