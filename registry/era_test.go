package registry_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/wire"
	"github.com/shoenig/test/must"
)

// said returns an upstream that has said the given number of things of itself.
func said(host byte, born, sequence int64) *registry.Upstream {
	u := upstream(host, born)
	u.Sequence = sequence
	return u
}

func drained(u *registry.Upstream) *registry.Upstream {
	d := *u
	d.Draining = true
	return &d
}

func at(era registry.Era, revision uint64) registry.State {
	return registry.State{Era: era, Revision: revision}
}

// list is all that the store holds at a state.
func list(s registry.State, changes ...registry.Change) registry.Update {
	return registry.Update{State: s, Whole: true, Changes: changes}
}

// next is a change that follows on a state.
func next(s registry.State, c registry.Change) registry.Update {
	c.Revision = s.Revision + 1
	return registry.Update{From: s, State: at(s.Era, c.Revision), Changes: []registry.Change{c}}
}

func change(key string, revision uint64, u *registry.Upstream) registry.Change {
	return registry.Change{Key: key, Revision: revision, Upstream: u}
}

// rewound returns a directory that knew a at revision 50 and b at 90, as of 100,
// when the store came back from a copy at 80.
func rewound() *registry.Directory {
	d := registry.NewDirectory()
	d.Apply(0, list(at(0, 100), change("a", 50, said(1, 1, 1)), change("b", 90, said(2, 2, 1))))
	d.Apply(time.Minute, list(at(1, 80), change("a", 50, said(1, 1, 1))))
	return d
}

// TestRestoredCopyLacksUpstream keeps an upstream in doubt until it has had time to
// write again, and takes what it writes then, at a revision that was given out before.
func TestRestoredCopyLacksUpstream(t *testing.T) {
	d := rewound()
	must.Eq(t, at(1, 80), d.State())
	now := time.Minute + 1900*time.Millisecond
	must.Eq(t, map[string]registry.Status{"u1": registry.Available, "u2": registry.Available}, standings(d, now))
	must.Eq(t, registry.Removed, standings(d, time.Minute+registry.MissingGrace)["u2"])
	d.Apply(now, next(at(1, 80), change("b", 0, drained(said(2, 2, 3)))))
	must.Eq(t, registry.Leaving, standings(d, time.Hour)["u2"])
	d.Apply(now, next(at(1, 81), change("b", 0, nil)))
	must.Eq(t, registry.Removed, standings(d, time.Hour)["u2"])
}

// TestNewEraRequiresFullList applies no changes of an era before its whole list, nor
// anything of an earlier era.
func TestNewEraRequiresFullList(t *testing.T) {
	d := registry.NewDirectory()
	d.Apply(0, list(at(0, 100), change("a", 50, said(1, 1, 1))))
	res := d.Apply(0, registry.Update{From: at(0, 100), State: at(1, 120), Changes: []registry.Change{change("a", 120, nil)}})
	must.True(t, res.Gap)
	must.Eq(t, at(0, 100), d.State())
	res = d.Apply(0, list(at(1, 120), change("a", 50, said(1, 1, 1))))
	must.True(t, res.NewEra)
	res = d.Apply(0, registry.Update{From: at(0, 100), State: at(1, 120), Changes: []registry.Change{change("a", 110, nil)}})
	must.True(t, res.Gap, must.Sprint("the same answer, after a peer told of the era"))
	d.Apply(0, list(at(0, 130)))
	must.Eq(t, at(1, 120), d.State())
	must.Eq(t, map[string]registry.Status{"u1": registry.Available}, standings(d, time.Hour))
}

// TestRestoredCopyKeepsDraining loses the word of an upstream that drains.
func TestRestoredCopyKeepsDraining(t *testing.T) {
	d := registry.NewDirectory()
	ready := said(1, 1, 3)
	d.Apply(0, list(at(0, 80), change("a", 50, ready)))
	d.Apply(0, next(at(0, 80), change("a", 0, drained(said(1, 1, 7)))))
	d.Apply(time.Second, list(at(1, 80), change("a", 50, ready)))
	must.Eq(t, registry.Leaving, standings(d, time.Hour)["u1"])
	d.Apply(time.Second, next(at(1, 80), change("a", 0, said(1, 1, 5)))) // written again in order
	must.Eq(t, registry.Leaving, standings(d, time.Hour)["u1"])
	d.Apply(time.Second, next(at(1, 81), change("a", 0, said(1, 9, 1)))) // another incarnation
	must.Eq(t, registry.Available, standings(d, time.Hour)["u1"])
}

// TestRestoredCopyKeepsRemoved has an upstream in the copy that had left, and one
// whose address was given to another service.
func TestRestoredCopyKeepsRemoved(t *testing.T) {
	d := registry.NewDirectory()
	old, young := said(1, 1, 3), said(1, 8, 1)
	young.ID, young.Service = "young", "report"
	d.Apply(0, list(at(0, 80), change("old", 50, old)))
	d.Apply(0, next(at(0, 80), change("old", 0, nil)))
	d.Apply(0, next(at(0, 81), change("young", 0, young)))
	now := time.Minute
	d.Apply(now, list(at(1, 80), change("old", 50, old)))
	must.Eq(t, registry.Removed, standings(d, now)["u1"])
	m, found := d.Snapshot(now).Member(registry.HashService("report"), young.Address.Host)
	must.True(t, found)
	must.Eq(t, registry.Available, m.Status)

	d.Apply(now, next(at(1, 80), change("old", 0, said(1, 1, 4))))
	must.Eq(t, registry.Available, standings(d, now)["u1"], must.Sprint("it said more of itself"))
}

// TestEntryKeptByStoreBecomesAvailable has an upstream in the copy whose entry had lapsed: it
// lives, as the store goes on having its entry.
func TestEntryKeptByStoreBecomesAvailable(t *testing.T) {
	d := registry.NewDirectory()
	d.Apply(0, list(at(0, 80), change("a", 50, said(1, 1, 3))))
	d.Apply(0, next(at(0, 80), change("a", 0, nil)))
	d.Apply(time.Minute, list(at(1, 80), change("a", 50, said(1, 1, 3))))
	d.Expire(time.Minute + 9*time.Second)
	must.Eq(t, registry.Removed, standings(d, time.Minute+9*time.Second)["u1"])
	d.Expire(time.Minute + 10*time.Second)
	must.Eq(t, registry.Available, standings(d, time.Minute+10*time.Second)["u1"])
	must.Eq(t, 0, d.FormerHash())
}

// TestFormerRecordsSurviveTwoEras carries what was known over both.
func TestFormerRecordsSurviveTwoEras(t *testing.T) {
	d := registry.NewDirectory()
	d.Apply(0, list(at(4, 80), change("a", 50, said(1, 1, 3)), change("b", 60, said(2, 1, 1))))
	d.Apply(0, next(at(4, 80), change("a", 0, drained(said(1, 1, 7)))))
	d.Apply(0, next(at(4, 81), change("b", 0, nil)))
	now := time.Minute
	d.Apply(now, list(at(5, 40)))
	d.Apply(now+500*time.Millisecond, list(at(6, 70), change("a", 50, said(1, 1, 3)), change("b", 60, said(2, 1, 1))))
	now += 5 * time.Second
	must.Eq(t, map[string]registry.Status{"u1": registry.Leaving, "u2": registry.Removed}, standings(d, now))
}

// TestPeerSuppliesFormerRecords starts a process that only knows the copy,
// and lets it ask one that knew more.
func TestPeerSuppliesFormerRecords(t *testing.T) {
	survivor := registry.NewDirectory()
	survivor.Apply(0, registry.Update{Routes: &registry.Routes{Version: 9}})
	survivor.Apply(0, list(at(0, 80), change("a", 50, said(1, 1, 3)), change("b", 60, said(2, 1, 1))))
	survivor.Apply(0, next(at(0, 80), change("a", 0, drained(said(1, 1, 7)))))
	survivor.Apply(0, next(at(0, 81), change("b", 0, nil)))
	survivor.Apply(0, next(at(0, 82), change("c", 0, said(3, 5, 1))))
	now := time.Minute
	taken := list(at(1, 80), change("a", 50, said(1, 1, 3)), change("b", 60, said(2, 1, 1)))
	survivor.Apply(now, taken)
	started := registry.NewDirectory()
	started.Apply(now, registry.Update{Routes: &registry.Routes{Version: 8}})
	started.Apply(now, taken)
	must.NotEq(t, survivor.FormerHash(), started.FormerHash())

	raw, err := wire.Encode(survivor.Since(now, started.Version(), started.State()))
	must.NoError(t, err)
	var u registry.Update
	must.NoError(t, wire.Decode(raw, &u))
	must.NoError(t, u.Check())
	must.True(t, started.Apply(now, u).Upstreams)
	must.False(t, started.Apply(now, u).Upstreams)
	must.Eq(t, survivor.FormerHash(), started.FormerHash())
	must.Eq(t, uint64(9), started.Version())
	for _, later := range []time.Duration{0, time.Second, 3 * time.Second} {
		must.Eq(t, standings(survivor, now+later), standings(started, now+later))
	}
	must.Eq(t, map[string]registry.Status{"u1": registry.Leaving, "u2": registry.Removed, "u3": registry.Available}, standings(started, now))
}

// TestLateFormerRecordKeepsMissingTime lets a process that hears of the era long after the
// others tell them of an upstream that the copy lacks.
func TestLateFormerRecordKeepsMissingTime(t *testing.T) {
	late := rewound()
	d := registry.NewDirectory()
	copied := list(at(1, 80), change("a", 50, said(1, 1, 1)))
	d.Apply(0, list(at(0, 70), change("a", 50, said(1, 1, 1))))
	d.Apply(30*time.Second, copied)
	d.Apply(time.Minute, late.Since(time.Minute, 0, d.State()))
	must.Eq(t, map[string]registry.Status{"u1": registry.Available, "u2": registry.Removed}, standings(d, time.Minute))
}

// TestInvalidFormerRecordIsRejected refuses knowledge that makes no sense.
func TestInvalidFormerRecordIsRejected(t *testing.T) {
	for _, f := range []registry.FormerRecord{{}, {Key: "a"}, {Upstream: said(1, 1, 1)}, {Key: "a", Upstream: said(1, 1, 1), MissingFor: -1}} {
		u := registry.Update{Former: []registry.FormerRecord{f}}
		must.Error(t, u.Check())
	}
}
