package registry_test

import (
	"strconv"
	"testing"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/wire"
	"github.com/shoenig/test/must"
)

// TestListsFitIntoMessages guards against routes that receivers of messages reject.
func TestListsFitIntoMessages(t *testing.T) {
	must.LessEq(t, wire.MaxElements, registry.MaxElements)
}

// TestManyRemovalsBecomeWholeList guards against a difference that no message can hold, for
// example after another writer wrote entries that name no upstream.
func TestManyRemovalsBecomeWholeList(t *testing.T) {
	d := registry.NewDirectory()
	d.Apply(0, fullUpdate(1, registry.Change{Key: "a", Revision: 1, Upstream: upstream(1, 9)}))
	many := registry.Update{From: registry.State{Revision: 1}, State: registry.State{Revision: 50_000}}
	for i := range registry.MaxElements + 1 {
		many.Changes = append(many.Changes, registry.Change{Key: strconv.Itoa(i), Revision: uint64(i + 2)})
	}
	must.True(t, d.Apply(0, many).Upstreams)
	raw, err := wire.Encode(d.Since(0, 0, registry.State{Revision: 1}))
	must.NoError(t, err)
	var u registry.Update
	must.NoError(t, wire.Decode(raw, &u))
	peer := registry.NewDirectory()
	peer.Apply(0, u)
	must.Eq(t, registry.State{Revision: 50_000}, peer.State())
	must.Eq(t, []registry.Host{{10, 0, 0, 1}}, peer.Snapshot(0).Hosts(""))
}

// TestLocationsOfSidecarsPrevail guards against an entry that moves a live upstream to
// another data centre, or into or out of one that is evacuated.
func TestLocationsOfSidecarsPrevail(t *testing.T) {
	located := func(host byte, dataCentre string) *registry.Upstream {
		u := upstream(host, 9)
		u.DataCentre = dataCentre
		return u
	}
	d := registry.NewDirectory()
	u := fullUpdate(4, registry.Change{Key: "a", Revision: 2, Upstream: located(1, "bogor")},
		registry.Change{Key: "b", Revision: 3, Upstream: located(2, "bogor")}, registry.Change{Key: "c", Revision: 4, Upstream: located(3, "mars")})
	u.Evacuations = []registry.EvacuationChange{{DataCentre: "bogor", Revision: 4, Status: registry.EvacuationActive}}
	d.Apply(0, u)
	before := d.Snapshot(0)
	must.Eq(t, before, before.WithLocations(func(registry.Host) string { return "" }))
	s := before.WithLocations(func(h registry.Host) string {
		return map[byte]string{1: "bogor", 2: "garut", 3: "bogor"}[h[3]]
	})
	for host, want := range map[byte]registry.Member{
		1: {Upstream: *located(1, "bogor"), Status: registry.Evacuated},
		2: {Upstream: *located(2, "garut"), Status: registry.Available},
		3: {Upstream: *located(3, "bogor"), Status: registry.Evacuated},
	} {
		m, found := s.Member(registry.HashService(testService), registry.Host{10, 0, 0, host})
		must.True(t, found)
		must.Eq(t, want, m)
	}
	must.SliceLen(t, 2, s.Hosts("bogor"))
	must.SliceLen(t, 2, before.Hosts("bogor"))
}
