package exchange_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/membership"
)

// placedBy returns how many flows process n reports to place. Process 3 does not report
// it, like one of an older build.
func placedBy(role membership.Role, n int) func(time.Duration) int {
	if role != membership.Balancer || n == 3 {
		return nil
	}
	return func(time.Duration) int { return 10 * n }
}

// TestPlacedByPeers guards against a sum of placed flows that contains those of the
// process itself, of other data centres or of stopped balancers, and against counting a
// balancer that does not report them as one that places none.
func TestPlacedByPeers(t *testing.T) {
	store := &memoryStore{}
	store.set(10, hostOf(20))
	first := start(t, 1, membership.Balancer, store, 0)
	second := start(t, 2, membership.Balancer, store, 0)
	start(t, 3, membership.Balancer, store, 0)
	start(t, 4, membership.Balancer, store, 0)
	startIn(t, "b", 5, membership.Balancer, store, 0)
	placed := func(p *process) (balancers, peers int, sum float64) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.fleet == nil {
			return 0, 0, 0
		}
		return p.fleet.LiveBalancers, p.fleet.PlacingPeers, p.fleet.PlacedByPeers
	}
	await(t, "the reports of the data centre arrive", func() bool {
		balancers, peers, sum := placed(first)
		return balancers == 4 && peers == 2 && sum == 60
	})
	second.stop()
	await(t, "the report of a stopped balancer expires", func() bool {
		_, peers, sum := placed(first)
		return peers == 1 && sum == 40
	})
}
