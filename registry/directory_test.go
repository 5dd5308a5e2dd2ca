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

const testService = "fitting"

func upstream(host byte, startedAt int64) *registry.Upstream {
	return &registry.Upstream{
		ID:        "u" + strconv.Itoa(int(host)),
		Service:   testService,
		Address:   registry.Endpoint{Host: registry.Host{10, 0, 0, host}, Port: 80},
		Slots:     2,
		StartedAt: startedAt,
	}
}

func fullUpdate(revision uint64, changes ...registry.Change) registry.Update {
	return registry.Update{State: registry.State{Revision: revision}, Whole: true, Changes: changes}
}

func statuses(d *registry.Directory, now time.Duration) map[string]registry.Status {
	byID := make(map[string]registry.Status)
	pool := d.Snapshot(now).Pool(registry.HashService(testService))
	if pool == nil {
		return byID
	}
	for _, m := range pool.Members {
		byID[m.ID] = m.Status
	}
	return byID
}

// TestMissingEntryStaysAvailableForGracePeriod checks that an upstream is removed
// only MissingGrace after its entry, and that a rewritten entry makes it available.
func TestMissingEntryStaysAvailableForGracePeriod(t *testing.T) {
	d := registry.NewDirectory()
	d.Apply(0, fullUpdate(5, registry.Change{Key: "a", Revision: 4, Upstream: upstream(1, 1)}))
	must.Eq(t, map[string]registry.Status{"u1": registry.Available}, statuses(d, 0))
	d.Apply(time.Second, registry.Update{From: registry.State{Revision: 5}, State: registry.State{Revision: 6}, Changes: []registry.Change{{Key: "a", Revision: 6}}})
	must.Eq(t, map[string]registry.Status{"u1": registry.Available}, statuses(d, 2900*time.Millisecond))
	must.Eq(t, map[string]registry.Status{"u1": registry.Removed}, statuses(d, 3*time.Second))
	d.Apply(4*time.Second, fullUpdate(9, registry.Change{Key: "a", Revision: 8, Upstream: upstream(1, 1)}))
	must.Eq(t, map[string]registry.Status{"u1": registry.Available}, statuses(d, 4*time.Second))
	d.Apply(5*time.Second, fullUpdate(12))
	must.Eq(t, map[string]registry.Status{"u1": registry.Removed}, statuses(d, 8*time.Second))
	d.Expire(2 * time.Minute)
	must.MapEmpty(t, statuses(d, 2*time.Minute))
}

// TestStaleUpdateIsIgnored applies older routes and lists after newer ones, as they
// arrive from a slow store or one that lost writes.
func TestStaleUpdateIsIgnored(t *testing.T) {
	d := registry.NewDirectory()
	leaving := upstream(1, 1)
	leaving.Draining = true
	d.Apply(0, registry.Update{Routes: &registry.Routes{Version: 7}})
	d.Apply(0, fullUpdate(9, registry.Change{Key: "a", Revision: 9, Upstream: leaving}))
	res := d.Apply(0, fullUpdate(5, registry.Change{Key: "a", Revision: 4, Upstream: upstream(1, 1)}, registry.Change{Key: "b", Revision: 3, Upstream: upstream(2, 1)}))
	must.False(t, res.Routes)
	must.Eq(t, map[string]registry.Status{"u1": registry.Leaving}, statuses(d, 0), must.Sprint("b was removed at a newer revision"))
	d.Apply(0, fullUpdate(8)) // a list older than the entry of a
	must.Eq(t, registry.Leaving, statuses(d, time.Hour)["u1"])
	res = d.Apply(0, registry.Update{Routes: &registry.Routes{Version: 6}})
	must.False(t, res.Routes)
	must.Eq(t, uint64(7), d.Version())
	must.Eq(t, uint64(9), d.State().Revision)
}

// TestGapIsNotApplied checks that changes after a state that the directory does not
// have are reported as a gap.
func TestGapIsNotApplied(t *testing.T) {
	d := registry.NewDirectory()
	res := d.Apply(0, registry.Update{From: registry.State{Revision: 3}, State: registry.State{Revision: 4}, Changes: []registry.Change{{Key: "a", Revision: 4, Upstream: upstream(1, 1)}}})
	must.True(t, res.Gap)
	must.Eq(t, uint64(0), d.State().Revision)
}

// TestYoungestUpstreamOfHostIsUsed checks that of two incarnations on one host the
// pool contains the one started last.
func TestYoungestUpstreamOfHostIsUsed(t *testing.T) {
	old, young := upstream(1, 100), upstream(1, 200)
	old.ID, young.ID, old.Draining = "old", "young", true
	d := registry.NewDirectory()
	d.Apply(0, fullUpdate(2, registry.Change{Key: "old", Revision: 1, Upstream: old}, registry.Change{Key: "young", Revision: 2, Upstream: young}))
	must.Eq(t, map[string]registry.Status{"young": registry.Available}, statuses(d, 0))
	d.Apply(0, registry.Update{From: registry.State{Revision: 2}, State: registry.State{Revision: 3}, Changes: []registry.Change{{Key: "old", Revision: 3}}})
	must.Eq(t, map[string]registry.Status{"young": registry.Available}, statuses(d, time.Hour))
}

// TestWarmupEnds checks that the remaining warmup decreases with time down to 0.
func TestWarmupEnds(t *testing.T) {
	cold := upstream(1, 1)
	cold.Warmup = 2 * time.Second
	d := registry.NewDirectory()
	d.Apply(time.Minute, fullUpdate(1, registry.Change{Key: "a", Revision: 1, Upstream: cold}))
	remaining := func(now time.Duration) time.Duration {
		return d.Snapshot(now).Pool(registry.HashService(testService)).Members[0].Warmup
	}
	must.Eq(t, 1500*time.Millisecond, remaining(time.Minute+500*time.Millisecond))
	must.Eq(t, 0, remaining(time.Minute+3*time.Second))
}

// TestPeersConverge checks that directories agree with the store after they received
// its history from it and from each other, in any order and in any parts.
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
				d.Apply(now, fullUpdate(uint64(len(history)), slices.Collect(maps.Values(store))...))
			case 2:
				d := rapid.SampledFrom(dirs).Draw(t, "watcher")
				from := min(d.State().Revision, uint64(rapid.IntRange(0, len(history)).Draw(t, "from")))
				d.Apply(now, registry.Update{From: registry.State{Revision: from}, State: registry.State{Revision: uint64(len(history))}, Changes: history[from:]})
			case 3:
				a, b := rapid.SampledFrom(dirs).Draw(t, "requester"), rapid.SampledFrom(dirs).Draw(t, "responder")
				a.Apply(now, b.Since(now, a.Version(), a.State()))
			}
		}
		first := dirs[0]
		first.Apply(now, fullUpdate(uint64(len(history)), slices.Collect(maps.Values(store))...))
		for _, d := range dirs[1:] {
			d.Apply(now, first.Since(now, d.Version(), d.State()))
		}
		want := make(map[string]registry.Status)
		for _, c := range store {
			want[c.Upstream.ID] = registry.Available
		}
		for i, d := range dirs {
			got := statuses(d, now+time.Minute)
			maps.DeleteFunc(got, func(_ string, s registry.Status) bool { return s == registry.Removed })
			if !maps.Equal(want, got) {
				t.Fatalf("directory %d: upstreams are %v, store has %v", i, got, want)
			}
		}
	})
}

// TestUpdateRoundTrip checks that an update survives encoding and decoding, and
// that the receiver ends up with the same routes and upstreams.
func TestUpdateRoundTrip(t *testing.T) {
	d := registry.NewDirectory()
	d.Apply(0, fullUpdate(4, registry.Change{Key: "a", Revision: 4, Upstream: upstream(1, 9)}))
	d.Apply(0, registry.Update{Routes: &registry.Routes{
		Version:  3,
		Idle:     15 * time.Second,
		Services: map[string]registry.Service{testService: {MaxFlows: 2000}},
		List: []registry.Route{{
			Name:    "r",
			Address: registry.Endpoint{Host: registry.Host{198, 18, 0, 1}, Port: 443},
			Targets: []registry.Target{{Service: testService, Weight: 9}, {Service: "report", Weight: 1}},
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

// TestRouteSplitsByWeight checks that services receive flows in proportion to their weights.
func TestRouteSplitsByWeight(t *testing.T) {
	r := registry.Route{Targets: []registry.Target{{Service: testService, Weight: 90}, {Service: "report", Weight: 10}}}
	n := 0
	for hash := range uint64(1000) {
		if r.Service(hash) == "report" {
			n++
		}
	}
	must.Eq(t, 100, n)
}

// TestInvalidRoutesAreRejected checks each invariant of routes.
func TestInvalidRoutesAreRejected(t *testing.T) {
	bad := []registry.Routes{
		{},
		{Version: 1, List: []registry.Route{{Name: "r"}}},
		{Version: 1, List: []registry.Route{{Name: "r", Targets: []registry.Target{{Service: "", Weight: 1}}}}},
		{Version: 1, List: []registry.Route{{Name: "r", Targets: []registry.Target{{Service: testService}}}}},
	}
	for _, r := range bad {
		must.Error(t, r.Check())
	}
}
