package exchange_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/shoenig/test/must"
)

// TestStoppedSidecarIsLostWithoutEntry guards against resets of flows in a slow planned
// restart, and against flows that stay for good with a sidecar that does not come back.
func TestStoppedSidecarIsLostWithoutEntry(t *testing.T) {
	for name, listed := range map[string]bool{"listed": true, "not listed": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := newUpgrade(t, 1)
				for _, m := range u.members {
					u.start(m, membership.Format2)
				}
				time.Sleep(5 * time.Second)
				stopped := u.members[upgradeBalancers]
				h := hostOf(stopped.number)
				stopped.node.Stop(t.Context())
				stopped.stop()
				stopped.wait()
				if !listed {
					stopped.role = 0 // publish lists sidecars
					u.publish()
				}
				lost := false
				for began := time.Now(); time.Since(began) < 19*time.Second; time.Sleep(100 * time.Millisecond) {
					for _, m := range u.members[:upgradeBalancers] {
						lost = lost || m.absentSince(h) != 0
					}
					must.False(t, lost && time.Since(began) < 11*time.Second)
				}
				must.Eq(t, !listed, lost)
			})
		})
	}
}
