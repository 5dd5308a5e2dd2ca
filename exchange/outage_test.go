package exchange_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/shoenig/test/must"
)

// TestListFromBeforeOutageIsSettled makes the store unreachable. A process that read the
// list before the outage may go on resetting flows. One that starts during the outage
// may not, since its list may lack entries that expired.
func TestListFromBeforeOutageIsSettled(t *testing.T) {
	store := &memoryStore{}
	store.set(10, hostOf(20))
	before := start(t, 1, membership.Balancer, store, 0)
	await(t, "flows may be reset", before.settled)
	time.Sleep(2500 * time.Millisecond) // the list must be older than the time in which expired entries are restored
	store.setDown(true)
	await(t, "the outage is detected", func() bool { return before.node.Status().StoreAge > membership.MaxStoreAge })
	during := start(t, 2, membership.Balancer, store, 0)
	await(t, "the second process has the list", func() bool { _, known := during.status(hostOf(20)); return known })
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		must.True(t, before.settled())
		must.False(t, during.settled())
	}
	store.setDown(false)
	await(t, "the store answers again", func() bool { return before.node.Status().StoreAge < membership.MaxStoreAge })
	must.True(t, before.settled())
	must.False(t, during.settled())
	await(t, "expired entries are restored", during.settled)
}
