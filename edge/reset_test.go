package edge_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/corianderbay/corianderbay/platform/standin"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// TestFlowIsResetOnce guards against a further reset of a flow that no upstream holds, which
// reaches the next flow of the caller's port.
func TestFlowIsResetOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deployments[0]
		d.callers = 0
		w := newWorld(t, 1, d)
		var resets []int // by each balancer
		for i, b := range w.list(isBalancer) {
			c := w.addSilentCaller(i)
			p := steer.Packet{Source: registry.Endpoint{Host: c.host, Port: 40000}, Destination: routeAddresses[0], Flags: steer.ACK, Sequence: 7}
			w.net.send(c.host.Port(packetPort), b.host.Port(packetPort), standin.Encode(p, make([]byte, requestSize)))
			time.Sleep(3 * time.Second)
			resets = append(resets, len(c.inbox))
		}
		w.end()
		w.report()
		for _, n := range resets {
			must.Eq(t, 1, n, must.Sprint("resets by each balancer: ", resets))
		}
	})
}
