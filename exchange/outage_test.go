package exchange_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/shoenig/test/must"
)

// TestListFromBeforeOutageIsSettled takes the store away from a process that knew
// the list before, and starts another one meanwhile, which cannot know what lapsed.
func TestListFromBeforeOutageIsSettled(t *testing.T) {
	store := &memoryStore{}
	store.set(10, hostOf(20))
	before := start(t, 1, membership.Balancer, store, 0)
	await(t, "flows may be reset", before.settled)
	time.Sleep(2500 * time.Millisecond) // the list must be older than entries take to come back
	store.fail(true)
	await(t, "the store is known to be away", func() bool { return before.node.Status().StoreAge > membership.FreshStore })
	during := start(t, 2, membership.Balancer, store, 0)
	await(t, "the other one has the list", func() bool { _, known := during.standing(hostOf(20)); return known })
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		must.True(t, before.settled())
		must.False(t, during.settled())
	}
	store.fail(false)
	await(t, "the store is back", func() bool { return before.node.Status().StoreAge < membership.FreshStore })
	must.True(t, before.settled())
	must.False(t, during.settled())
	await(t, "entries are back", during.settled)
}
