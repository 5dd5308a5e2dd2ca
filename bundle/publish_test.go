package bundle_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

func nothing(bundle.Hash) ([]byte, bool) { return nil, false }

func TestPublishInParts(t *testing.T) {
	old := frozen(t, sample(1, 200), nil, 1)
	cfg := bundle.PublishConfig{Part: 16 << 10}
	before, err := bundle.Publish(old, cfg)
	must.NoError(t, err)
	must.Greater(t, 4, len(before.Parts))

	x, err := bundle.UnmarshalIndex(before.Index)
	must.NoError(t, err)
	f, err := x.Assemble(nothing, before.Parts)
	must.NoError(t, err)
	must.Eq(t, old.Hash(), f.Hash())

	changed := sample(2, 200)
	changed.Services[50].Places[0].Upstreams[0].Weight = 9
	after, err := bundle.Publish(frozen(t, changed, old, 1), cfg)
	must.NoError(t, err)
	x, err = bundle.UnmarshalIndex(after.Index)
	must.NoError(t, err)
	has := func(h bundle.Hash) bool {
		_, ok := old.Section(h)
		return ok
	}
	missing := x.Missing(has)
	must.Len(t, 1, missing)

	// The index is published and its new part is not: the old bundle stays in force.
	_, err = x.Assemble(old.Section, nil)
	as[*bundle.MissingSectionError](t, err)
	_, err = x.Assemble(old.Section, map[bundle.Hash][]byte{missing[0]: []byte("x")})
	as[*bundle.PartError](t, err)
	_, err = x.Assemble(old.Section, map[bundle.Hash][]byte{missing[0]: after.Parts[missing[0]]})
	must.NoError(t, err)
}

func TestPublishSmallBundleInOneValue(t *testing.T) {
	f := frozen(t, sample(1, 2), nil, 1)
	p, err := bundle.Publish(f, bundle.PublishConfig{})
	must.NoError(t, err)
	must.MapEmpty(t, p.Parts)
	x, err := bundle.UnmarshalIndex(p.Index)
	must.NoError(t, err)
	got, err := x.Assemble(nothing, nil)
	must.NoError(t, err)
	must.Eq(t, f.Hash(), got.Hash())
}

func TestPublishReportsSectionAboveLimit(t *testing.T) {
	_, err := bundle.Publish(frozen(t, sample(1, 2), nil, 1), bundle.PublishConfig{Part: 100})
	must.Eq(t, 100, as[*bundle.TooLargeError](t, err).Max)
}

func TestPatchLeadsFromAnyBundleToAnyOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := frozen(t, drawBundle(t), nil, 1)
		in := drawBundle(t)
		in.SignOff = policy(1, 3)
		next := frozen(t, in.WithSequence(base.Sequence()+1), base, 1)
		later := frozen(t, drawBundle(t).WithSequence(base.Sequence()+2), next, 3)
		for _, to := range []*bundle.Frozen{next, later} {
			raw, err := bundle.NewPatch(base, to).Marshal()
			must.NoError(t, err)
			p, err := bundle.UnmarshalPatch(raw)
			must.NoError(t, err)
			got, err := p.Apply(base)
			must.NoError(t, err)
			must.Eq(t, to.Manifest(), got.Manifest())
		}
	})
}

func TestPatchRefusesOtherBase(t *testing.T) {
	base := frozen(t, sample(1, 2), nil, 1)
	next := frozen(t, sample(2, 2), base, 1)
	_, err := bundle.NewPatch(base, next).Apply(next)
	must.Eq(t, base.Hash(), as[*bundle.BaseError](t, err).Want)
}

// BenchmarkPublish reports the sizes of the values at the platform for the largest bundle of the design.
func BenchmarkPublish(b *testing.B) {
	f := frozen(b, sample(1, 1700), nil, 1)
	changed := sample(2, 1700)
	changed.Services[50].Places[0].Upstreams[0].Weight = 9
	next := frozen(b, changed, f, 1)
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
	patch, err := bundle.NewPatch(f, next).Marshal()
	must.NoError(b, err)
	b.ReportMetric(float64(len(p.Index)), "index-bytes")
	b.ReportMetric(float64(len(p.Parts)), "parts")
	b.ReportMetric(float64(largest), "part-bytes")
	b.ReportMetric(float64(len(patch)), "patch-bytes")
}

// BenchmarkPatch reports the size of the patch, and the time to apply it, for
// a number of services and of missed changes of one weight each.
func BenchmarkPatch(b *testing.B) {
	for _, services := range []int{10, 100, 1700} {
		for _, missed := range []int{1, 30, 300} {
			b.Run(fmt.Sprintf("services=%d/missed=%d", services, missed), func(b *testing.B) {
				benchmarkPatch(b, services, missed)
			})
		}
	}
}

func benchmarkPatch(b *testing.B, services, missed int) {
	base := frozen(b, sample(1, services), nil, 1)
	changed := sample(uint64(1+missed), services)
	for i := range missed {
		// A step that shares no factor with the numbers of services spreads the changes.
		changed.Services[i*7%services].Places[i%2].Upstreams[0].Weight = 101 + i
	}
	next := frozen(b, changed, base, 1)
	raw, err := bundle.NewPatch(base, next).Marshal()
	must.NoError(b, err)
	manifest, err := next.Manifest().Marshal()
	must.NoError(b, err)
	sections := 0
	for _, h := range next.Manifest().Missing(func(h bundle.Hash) bool { _, ok := base.Section(h); return ok }) {
		section, _ := next.Section(h)
		sections += len(section)
	}
	for b.Loop() {
		p, err := bundle.UnmarshalPatch(raw)
		must.NoError(b, err)
		_, err = p.Apply(base)
		must.NoError(b, err)
	}
	b.ReportMetric(float64(len(raw)), "patch-bytes")
	b.ReportMetric(float64(len(manifest)+sections), "flat-bytes")
	b.ReportMetric(float64(treeBytes(b, base.Manifest(), next.Manifest())+sections), "tree-bytes")
}

// treeBytes returns what a two-level tree of hashes costs: the head, the hashes of
// all groups of entries, and the entries of the groups that differ.
func treeBytes(b *testing.B, base, next *bundle.Manifest) int {
	groups := 1
	for groups*groups < len(next.Entries) {
		groups *= 2
	}
	before, after := grouped(base, groups), grouped(next, groups)
	head := *next
	head.Entries = nil
	size := len(encoded(b, head))
	for i := range groups {
		size += len(encoded(b, bundle.Hash{}))
		if group := encoded(b, after[i]); !bytes.Equal(encoded(b, before[i]), group) {
			size += len(group)
		}
	}
	return size
}

func grouped(m *bundle.Manifest, n int) [][]bundle.Entry {
	groups := make([][]bundle.Entry, n)
	for _, e := range m.Entries {
		i := int(bundle.ServiceIDOf(e.Name)) % n
		groups[i] = append(groups[i], e)
	}
	return groups
}

func encoded(b *testing.B, v any) []byte {
	raw, err := msgpack.Marshal(v)
	must.NoError(b, err)
	return raw
}
