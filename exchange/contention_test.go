package exchange_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/shoenig/test/must"
)

// TestAgesAreNotNegativeUnderContention makes processes hold their locks for long, as on a
// busy instance, while the store answers and heartbeats are due. A heartbeat or digest
// whose time was read before the lock was acquired would contain a negative age, and
// its receivers would discard it.
func TestAgesAreNotNegativeUnderContention(t *testing.T) {
	store := &memoryStore{}
	store.set(10, hostOf(20))
	var all []*process
	for n := 1; n <= 3; n++ {
		p := start(t, n, membership.Balancer, store, time.Hour)
		p.slow.Store(int64(20 * time.Millisecond))
		all = append(all, p)
	}
	all = append(all, start(t, 20, membership.Sidecar, store, time.Hour))
	for version := uint64(11); version < 60; version++ {
		store.set(version, hostOf(20))
		time.Sleep(50 * time.Millisecond)
	}
	for _, p := range all {
		must.StrNotContains(t, p.log.String(), "datagram-unusable")
	}
}
