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
