package registry_test

import (
	"testing"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/shoenig/test/must"
)

// TestLastReportRepresentsItsHost guards against a copy of an upstream's entry under another key
// that represents the host although the upstream has reported since, for example that it drains:
// it got new flows until it exited.
func TestLastReportRepresentsItsHost(t *testing.T) {
	type entry struct {
		key      string
		revision uint64
		born     int64
		sequence int64
		draining bool
	}
	own := entry{key: "m", revision: 20, born: 7, sequence: 5, draining: true}
	for name, c := range map[string]struct {
		other entry
		want  string
	}{
		"copy from before":             {entry{key: "z", revision: 10, born: 7, sequence: 4}, "m"},
		"copy written later":           {entry{key: "z", revision: 30, born: 7, sequence: 4}, "m"},
		"smaller key":                  {entry{key: "a", revision: 30, born: 7, sequence: 4}, "m"},
		"copy with another state":      {entry{key: "z", revision: 30, born: 7, sequence: 5}, "m"},
		"later report":                 {entry{key: "a", revision: 10, born: 7, sequence: 6}, "a"},
		"later start, lower sequence":  {entry{key: "a", revision: 10, born: 8, sequence: 1}, "a"},
		"earlier start, high sequence": {entry{key: "z", revision: 30, born: 6, sequence: 9}, "m"},
		"same report written later":    {entry{key: "a", revision: 30, born: 7, sequence: 5, draining: true}, "a"},
	} {
		for _, order := range [][]entry{{own, c.other}, {c.other, own}} {
			d := registry.NewDirectory()
			u := registry.Update{State: registry.State{Revision: 40}, Whole: true}
			for _, e := range order {
				up := upstream(1, e.born)
				up.ID, up.Sequence, up.Draining = e.key, e.sequence, e.draining
				u.Changes = append(u.Changes, registry.Change{Key: e.key, Revision: e.revision, Upstream: up})
			}
			d.Apply(0, u)
			m, found := d.Snapshot(0).Member(registry.HashService(testService), registry.Host{10, 0, 0, 1})
			must.True(t, found)
			must.Eq(t, c.want, m.ID, must.Sprint(name))
		}
	}
}

// TestLastChangeRepresentsItsHostWithoutStart is the same for entries without a start: they may be
// of two incarnations, whose sequences cannot be compared.
func TestLastChangeRepresentsItsHostWithoutStart(t *testing.T) {
	old, next := upstream(1, 0), upstream(1, 0)
	old.ID, old.Sequence, old.Draining = "z", 90, true
	next.ID, next.Sequence = "a", 1
	d := registry.NewDirectory()
	d.Apply(0, fullUpdate(40, registry.Change{Key: "z", Revision: 20, Upstream: old}, registry.Change{Key: "a", Revision: 30, Upstream: next}))
	m, _ := d.Snapshot(0).Member(registry.HashService(testService), registry.Host{10, 0, 0, 1})
	must.Eq(t, "a", m.ID)
}
