package registry_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/wire"
	"github.com/shoenig/test/must"
)

// sequenced returns an upstream with a sequence number.
func sequenced(host byte, startedAt, sequence int64) *registry.Upstream {
	u := upstream(host, startedAt)
	u.Sequence = sequence
	return u
}

func draining(u *registry.Upstream) *registry.Upstream {
	d := *u
	d.Draining = true
	return &d
}

func storeState(era registry.Era, revision uint64) registry.State {
	return registry.State{Era: era, Revision: revision}
}

// fullList returns an update with all entries of the store at a state.
func fullList(s registry.State, changes ...registry.Change) registry.Update {
	return registry.Update{State: s, Whole: true, Changes: changes}
}

// nextChange returns an update with the first change after a state.
func nextChange(s registry.State, c registry.Change) registry.Update {
	c.Revision = s.Revision + 1
	return registry.Update{From: s, State: storeState(s.Era, c.Revision), Changes: []registry.Change{c}}
}

func entryChange(key string, revision uint64, u *registry.Upstream) registry.Change {
	return registry.Change{Key: key, Revision: revision, Upstream: u}
}

// restoredDirectory returns a directory that had a at revision 50 and b at 90 as of
// revision 100, and then applied a store restored from a copy of revision 80.
func restoredDirectory() *registry.Directory {
	d := registry.NewDirectory()
	d.Apply(0, fullList(storeState(0, 100), entryChange("a", 50, sequenced(1, 1, 1)), entryChange("b", 90, sequenced(2, 2, 1))))
	d.Apply(time.Minute, fullList(storeState(1, 80), entryChange("a", 50, sequenced(1, 1, 1))))
	return d
}

// TestRestoredCopyLacksUpstream checks that an upstream missing from the restored
// copy stays available for MissingGrace, and that its next writes apply although
// their revisions were used before.
func TestRestoredCopyLacksUpstream(t *testing.T) {
	d := restoredDirectory()
	must.Eq(t, storeState(1, 80), d.State())
	now := time.Minute + 1900*time.Millisecond
	must.Eq(t, map[string]registry.Status{"u1": registry.Available, "u2": registry.Available}, statuses(d, now))
	must.Eq(t, registry.Removed, statuses(d, time.Minute+registry.MissingGrace)["u2"])
	d.Apply(now, nextChange(storeState(1, 80), entryChange("b", 0, draining(sequenced(2, 2, 3)))))
	must.Eq(t, registry.Leaving, statuses(d, time.Hour)["u2"])
	d.Apply(now, nextChange(storeState(1, 81), entryChange("b", 0, nil)))
	must.Eq(t, registry.Removed, statuses(d, time.Hour)["u2"])
}

// TestNewEraRequiresFullList checks that changes of an era are not applied before
// its full list, and that updates of an earlier era are ignored.
func TestNewEraRequiresFullList(t *testing.T) {
	d := registry.NewDirectory()
	d.Apply(0, fullList(storeState(0, 100), entryChange("a", 50, sequenced(1, 1, 1))))
	res := d.Apply(0, registry.Update{From: storeState(0, 100), State: storeState(1, 120), Changes: []registry.Change{entryChange("a", 120, nil)}})
	must.True(t, res.Gap)
	must.Eq(t, storeState(0, 100), d.State())
	res = d.Apply(0, fullList(storeState(1, 120), entryChange("a", 50, sequenced(1, 1, 1))))
	must.True(t, res.NewEra)
	res = d.Apply(0, registry.Update{From: storeState(0, 100), State: storeState(1, 120), Changes: []registry.Change{entryChange("a", 110, nil)}})
	must.True(t, res.Gap, must.Sprint("the same update after the era was received from elsewhere"))
	d.Apply(0, fullList(storeState(0, 130)))
	must.Eq(t, storeState(1, 120), d.State())
	must.Eq(t, map[string]registry.Status{"u1": registry.Available}, statuses(d, time.Hour))
}

// TestRestoredCopyKeepsDraining checks that an upstream keeps draining when the
// restored copy is older than the start of its drain.
func TestRestoredCopyKeepsDraining(t *testing.T) {
	d := registry.NewDirectory()
	available := sequenced(1, 1, 3)
	d.Apply(0, fullList(storeState(0, 80), entryChange("a", 50, available)))
	d.Apply(0, nextChange(storeState(0, 80), entryChange("a", 0, draining(sequenced(1, 1, 7)))))
	d.Apply(time.Second, fullList(storeState(1, 80), entryChange("a", 50, available)))
	must.Eq(t, registry.Leaving, statuses(d, time.Hour)["u1"])
	d.Apply(time.Second, nextChange(storeState(1, 80), entryChange("a", 0, sequenced(1, 1, 5)))) // published before the drain
	must.Eq(t, registry.Leaving, statuses(d, time.Hour)["u1"])
	d.Apply(time.Second, nextChange(storeState(1, 81), entryChange("a", 0, sequenced(1, 9, 1)))) // another incarnation
	must.Eq(t, registry.Available, statuses(d, time.Hour)["u1"])
}

// TestRestoredCopyKeepsRemoved checks that an upstream that was removed stays removed
// when the restored copy contains it, also when its address was reused by another
// service, until it publishes again.
func TestRestoredCopyKeepsRemoved(t *testing.T) {
	d := registry.NewDirectory()
	old, young := sequenced(1, 1, 3), sequenced(1, 8, 1)
	young.ID, young.Service = "young", "report"
	d.Apply(0, fullList(storeState(0, 80), entryChange("old", 50, old)))
	d.Apply(0, nextChange(storeState(0, 80), entryChange("old", 0, nil)))
	d.Apply(0, nextChange(storeState(0, 81), entryChange("young", 0, young)))
	now := time.Minute
	d.Apply(now, fullList(storeState(1, 80), entryChange("old", 50, old)))
	must.Eq(t, registry.Removed, statuses(d, now)["u1"])
	m, found := d.Snapshot(now).Member(registry.HashService("report"), young.Address.Host)
	must.True(t, found)
	must.Eq(t, registry.Available, m.Status)

	d.Apply(now, nextChange(storeState(1, 80), entryChange("old", 0, sequenced(1, 1, 4))))
	must.Eq(t, registry.Available, statuses(d, now)["u1"], must.Sprint("it has published again"))
}

// TestEntryKeptByStoreBecomesAvailable checks that an upstream whose entry had expired
// before the restore becomes available when the restored entry outlasts the quarantine.
func TestEntryKeptByStoreBecomesAvailable(t *testing.T) {
	d := registry.NewDirectory()
	d.Apply(0, fullList(storeState(0, 80), entryChange("a", 50, sequenced(1, 1, 3))))
	d.Apply(0, nextChange(storeState(0, 80), entryChange("a", 0, nil)))
	d.Apply(time.Minute, fullList(storeState(1, 80), entryChange("a", 50, sequenced(1, 1, 3))))
	d.Expire(time.Minute + 9*time.Second)
	must.Eq(t, registry.Removed, statuses(d, time.Minute+9*time.Second)["u1"])
	d.Expire(time.Minute + 10*time.Second)
	must.Eq(t, registry.Available, statuses(d, time.Minute+10*time.Second)["u1"])
	must.Eq(t, 0, d.FormerHash())
}

// TestFormerRecordsSurviveTwoEras checks that a drain and a removal are kept when a
// second era begins within a second of the first.
func TestFormerRecordsSurviveTwoEras(t *testing.T) {
	d := registry.NewDirectory()
	d.Apply(0, fullList(storeState(4, 80), entryChange("a", 50, sequenced(1, 1, 3)), entryChange("b", 60, sequenced(2, 1, 1))))
	d.Apply(0, nextChange(storeState(4, 80), entryChange("a", 0, draining(sequenced(1, 1, 7)))))
	d.Apply(0, nextChange(storeState(4, 81), entryChange("b", 0, nil)))
	now := time.Minute
	d.Apply(now, fullList(storeState(5, 40)))
	d.Apply(now+500*time.Millisecond, fullList(storeState(6, 70), entryChange("a", 50, sequenced(1, 1, 3)), entryChange("b", 60, sequenced(2, 1, 1))))
	now += 5 * time.Second
	must.Eq(t, map[string]registry.Status{"u1": registry.Leaving, "u2": registry.Removed}, statuses(d, now))
}

// TestPeerSuppliesFormerRecords checks that a process started after the restore
// receives from a peer the records that the copy lacks.
func TestPeerSuppliesFormerRecords(t *testing.T) {
	peer := registry.NewDirectory()
	peer.Apply(0, registry.Update{Routes: &registry.Routes{Version: 9}})
	peer.Apply(0, fullList(storeState(0, 80), entryChange("a", 50, sequenced(1, 1, 3)), entryChange("b", 60, sequenced(2, 1, 1))))
	peer.Apply(0, nextChange(storeState(0, 80), entryChange("a", 0, draining(sequenced(1, 1, 7)))))
	peer.Apply(0, nextChange(storeState(0, 81), entryChange("b", 0, nil)))
	peer.Apply(0, nextChange(storeState(0, 82), entryChange("c", 0, sequenced(3, 5, 1))))
	now := time.Minute
	copied := fullList(storeState(1, 80), entryChange("a", 50, sequenced(1, 1, 3)), entryChange("b", 60, sequenced(2, 1, 1)))
	peer.Apply(now, copied)
	started := registry.NewDirectory()
	started.Apply(now, registry.Update{Routes: &registry.Routes{Version: 8}})
	started.Apply(now, copied)
	must.NotEq(t, peer.FormerHash(), started.FormerHash())

	raw, err := wire.Encode(peer.Since(now, started.Version(), started.State()))
	must.NoError(t, err)
	var u registry.Update
	must.NoError(t, wire.Decode(raw, &u))
	must.NoError(t, u.Check())
	must.True(t, started.Apply(now, u).Upstreams)
	must.False(t, started.Apply(now, u).Upstreams)
	must.Eq(t, peer.FormerHash(), started.FormerHash())
	must.Eq(t, uint64(9), started.Version())
	for _, elapsed := range []time.Duration{0, time.Second, 3 * time.Second} {
		must.Eq(t, statuses(peer, now+elapsed), statuses(started, now+elapsed))
	}
	must.Eq(t, map[string]registry.Status{"u1": registry.Leaving, "u2": registry.Removed, "u3": registry.Available}, statuses(started, now))
}

// TestLateFormerRecordKeepsMissingTime checks that the grace period of a missing
// upstream does not restart when its record comes from a process that applied the
// era long after the others.
func TestLateFormerRecordKeepsMissingTime(t *testing.T) {
	late := restoredDirectory()
	d := registry.NewDirectory()
	copied := fullList(storeState(1, 80), entryChange("a", 50, sequenced(1, 1, 1)))
	d.Apply(0, fullList(storeState(0, 70), entryChange("a", 50, sequenced(1, 1, 1))))
	d.Apply(30*time.Second, copied)
	d.Apply(time.Minute, late.Since(time.Minute, 0, d.State()))
	must.Eq(t, map[string]registry.Status{"u1": registry.Available, "u2": registry.Removed}, statuses(d, time.Minute))
}

// TestInvalidFormerRecordIsRejected checks each invariant of former records.
func TestInvalidFormerRecordIsRejected(t *testing.T) {
	for _, f := range []registry.FormerRecord{{}, {Key: "a"}, {Upstream: sequenced(1, 1, 1)}, {Key: "a", Upstream: sequenced(1, 1, 1), MissingFor: -1}} {
		u := registry.Update{Former: []registry.FormerRecord{f}}
		must.Error(t, u.Check())
	}
}
