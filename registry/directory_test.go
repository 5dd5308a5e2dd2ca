package registry_test

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/wire"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const fitting = "fitting"

func upstream(host byte, born int64) *registry.Upstream {
	return &registry.Upstream{
		ID:        "u" + strconv.Itoa(int(host)),
		Service:   fitting,
		Address:   registry.Endpoint{Host: registry.Host{10, 0, 0, host}, Port: 80},
		Slots:     2,
		StartedAt: born,
	}
}

func whole(revision uint64, changes ...registry.Change) registry.Update {
	return registry.Update{State: registry.State{Revision: revision}, Whole: true, Changes: changes}
}

func standings(d *registry.Directory, now time.Duration) map[string]registry.Status {
	list := make(map[string]registry.Status)
	pool := d.Snapshot(now).Pool(registry.HashService(fitting))
	if pool == nil {
		return list
	}
	for _, m := range pool.Members {
		list[m.ID] = m.Status
	}
	return list
}

// TestMissingEntryStaysAvailableForGracePeriod removes an entry and lets it come back, or not.
func TestMissingEntryStaysAvailableForGracePeriod(t *testing.T) {
	d := registry.NewDirectory()
	d.Apply(0, whole(5, registry.Change{Key: "a", Revision: 4, Upstream: upstream(1, 1)}))
	must.Eq(t, map[string]registry.Status{"u1": registry.Available}, standings(d, 0))
	d.Apply(time.Second, registry.Update{From: registry.State{Revision: 5}, State: registry.State{Revision: 6}, Changes: []registry.Change{{Key: "a", Revision: 6}}})
	must.Eq(t, map[string]registry.Status{"u1": registry.Available}, standings(d, 2900*time.Millisecond))
	must.Eq(t, map[string]registry.Status{"u1": registry.Removed}, standings(d, 3*time.Second))
	d.Apply(4*time.Second, whole(9, registry.Change{Key: "a", Revision: 8, Upstream: upstream(1, 1)}))
	must.Eq(t, map[string]registry.Status{"u1": registry.Available}, standings(d, 4*time.Second))
	d.Apply(5*time.Second, whole(12))
	must.Eq(t, map[string]registry.Status{"u1": registry.Removed}, standings(d, 8*time.Second))
	d.Expire(2 * time.Minute)
	must.MapEmpty(t, standings(d, 2*time.Minute))
}

// TestStaleUpdateIsIgnored applies what a slow or forgetful store says after something newer.
func TestStaleUpdateIsIgnored(t *testing.T) {
	d := registry.NewDirectory()
	leaving := upstream(1, 1)
	leaving.Draining = true
	d.Apply(0, registry.Update{Routes: &registry.Routes{Version: 7}})
	d.Apply(0, whole(9, registry.Change{Key: "a", Revision: 9, Upstream: leaving}))
	res := d.Apply(0, whole(5, registry.Change{Key: "a", Revision: 4, Upstream: upstream(1, 1)}, registry.Change{Key: "b", Revision: 3, Upstream: upstream(2, 1)}))
	must.False(t, res.Routes)
	must.Eq(t, map[string]registry.Status{"u1": registry.Leaving}, standings(d, 0), must.Sprint("b had been removed"))
	d.Apply(0, whole(8)) // an old list that lacks what is newer
	must.Eq(t, registry.Leaving, standings(d, time.Hour)["u1"])
	res = d.Apply(0, registry.Update{Routes: &registry.Routes{Version: 6}})
	must.False(t, res.Routes)
	must.Eq(t, uint64(7), d.Version())
	must.Eq(t, uint64(9), d.State().Revision)
}

// TestGapIsNotApplied reports an update that does not follow on what is known.
func TestGapIsNotApplied(t *testing.T) {
	d := registry.NewDirectory()
	res := d.Apply(0, registry.Update{From: registry.State{Revision: 3}, State: registry.State{Revision: 4}, Changes: []registry.Change{{Key: "a", Revision: 4, Upstream: upstream(1, 1)}}})
	must.True(t, res.Gap)
	must.Eq(t, uint64(0), d.State().Revision)
}

// TestYoungestUpstreamOfHostIsUsed has two incarnations on one host.
func TestYoungestUpstreamOfHostIsUsed(t *testing.T) {
	old, young := upstream(1, 100), upstream(1, 200)
	old.ID, young.ID, old.Draining = "old", "young", true
	d := registry.NewDirectory()
	d.Apply(0, whole(2, registry.Change{Key: "old", Revision: 1, Upstream: old}, registry.Change{Key: "young", Revision: 2, Upstream: young}))
	must.Eq(t, map[string]registry.Status{"young": registry.Available}, standings(d, 0))
	d.Apply(0, registry.Update{From: registry.State{Revision: 2}, State: registry.State{Revision: 3}, Changes: []registry.Change{{Key: "old", Revision: 3}}})
	must.Eq(t, map[string]registry.Status{"young": registry.Available}, standings(d, time.Hour))
}

// TestWarmupEnds counts the time that an upstream is slow after its start.
func TestWarmupEnds(t *testing.T) {
	cold := upstream(1, 1)
	cold.Warmup = 2 * time.Second
	d := registry.NewDirectory()
	d.Apply(time.Minute, whole(1, registry.Change{Key: "a", Revision: 1, Upstream: cold}))
	left := func(now time.Duration) time.Duration {
		return d.Snapshot(now).Pool(registry.HashService(fitting)).Members[0].Warmup
	}
	must.Eq(t, 1500*time.Millisecond, left(time.Minute+500*time.Millisecond))
	must.Eq(t, 0, left(time.Minute+3*time.Second))
}

// TestPeersConverge lets directories learn the same history in any order and
// in any pieces from a store and from each other, and compares them with it.
func TestPeersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := make(map[string]registry.Change) // the present keys
		var history []registry.Change
		dirs := []*registry.Directory{registry.NewDirectory(), registry.NewDirectory(), registry.NewDirectory()}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += 10 * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				host := byte(rapid.IntRange(1, 4).Draw(t, "host"))
				c := registry.Change{Key: strconv.Itoa(int(host)), Revision: uint64(len(history) + 1)}
				if rapid.Bool().Draw(t, "present") {
					c.Upstream = upstream(host, int64(len(history)))
				}
				history = append(history, c)
				delete(store, c.Key)
				if c.Upstream != nil {
					store[c.Key] = c
				}
			case 1:
				d := rapid.SampledFrom(dirs).Draw(t, "reader")
				d.Apply(now, whole(uint64(len(history)), slices.Collect(maps.Values(store))...))
			case 2:
				d := rapid.SampledFrom(dirs).Draw(t, "watcher")
				from := min(d.State().Revision, uint64(rapid.IntRange(0, len(history)).Draw(t, "from")))
				d.Apply(now, registry.Update{From: registry.State{Revision: from}, State: registry.State{Revision: uint64(len(history))}, Changes: history[from:]})
			case 3:
				a, b := rapid.SampledFrom(dirs).Draw(t, "asker"), rapid.SampledFrom(dirs).Draw(t, "teller")
				a.Apply(now, b.Since(now, a.Version(), a.State()))
			}
		}
		last := dirs[0]
		last.Apply(now, whole(uint64(len(history)), slices.Collect(maps.Values(store))...))
		for _, d := range dirs[1:] {
			d.Apply(now, last.Since(now, d.Version(), d.State()))
		}
		want := make(map[string]registry.Status)
		for _, c := range store {
			want[c.Upstream.ID] = registry.Available
		}
		for i, d := range dirs {
			got := standings(d, now+time.Minute)
			maps.DeleteFunc(got, func(_ string, s registry.Status) bool { return s == registry.Removed })
			if !maps.Equal(want, got) {
				t.Fatalf("directory %d has %v, the store %v", i, got, want)
			}
		}
	})
}

// TestUpdateRoundTrip encodes an update as peers do.
func TestUpdateRoundTrip(t *testing.T) {
	d := registry.NewDirectory()
	d.Apply(0, whole(4, registry.Change{Key: "a", Revision: 4, Upstream: upstream(1, 9)}))
	d.Apply(0, registry.Update{Routes: &registry.Routes{
		Version:     3,
		Idle:        15 * time.Second,
		Connections: map[string]int{fitting: 2000},
		List: []registry.Route{{
			Name:    "r",
			Address: registry.Endpoint{Host: registry.Host{198, 18, 0, 1}, Port: 443},
			Targets: []registry.Target{{Service: fitting, Weight: 9}, {Service: "report", Weight: 1}},
		}},
	}})
	raw, err := wire.Encode(d.Since(0, 0, registry.State{}))
	must.NoError(t, err)
	var u registry.Update
	must.NoError(t, wire.Decode(raw, &u))
	must.NoError(t, u.Check())
	other := registry.NewDirectory()
	other.Apply(0, u)
	must.Eq(t, d.Since(0, 0, registry.State{}), other.Since(0, 0, registry.State{}))
	must.NotNil(t, other.Snapshot(0).Route(registry.Endpoint{Host: registry.Host{198, 18, 0, 1}, Port: 443}))
}

// TestRouteSplitsByWeight counts which service flows go to.
func TestRouteSplitsByWeight(t *testing.T) {
	r := registry.Route{Targets: []registry.Target{{Service: fitting, Weight: 90}, {Service: "report", Weight: 10}}}
	n := 0
	for hash := range uint64(1000) {
		if r.Service(hash) == "report" {
			n++
		}
	}
	must.Eq(t, 100, n)
}

// TestInvalidRoutesAreRejected names what is wrong.
func TestInvalidRoutesAreRejected(t *testing.T) {
	bad := []registry.Routes{
		{},
		{Version: 1, List: []registry.Route{{Name: "r"}}},
		{Version: 1, List: []registry.Route{{Name: "r", Targets: []registry.Target{{Service: "", Weight: 1}}}}},
		{Version: 1, List: []registry.Route{{Name: "r", Targets: []registry.Target{{Service: fitting}}}}},
	}
	for _, r := range bad {
		must.Error(t, r.Check())
	}
}
