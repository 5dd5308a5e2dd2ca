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
