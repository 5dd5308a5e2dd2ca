package steer_test

import (
	"testing"

	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// TestFormerFlowOfPortIsNotReset guards against a sidecar that resets a flow of another upstream,
// or ends the search for it, because its own one held the former flow of the caller's port.
func TestFormerFlowOfPortIsNotReset(t *testing.T) {
	for name, closed := range map[string]bool{"open": false, "closed": true} {
		t.Run(name, func(t *testing.T) {
			sim := newMixedSimulation()
			k := flowKey(1)
			for at := range 2 {
				p := sim.openAt(t, at, k)
				p.Flags |= steer.FIN
				must.Eq(t, at, sim.execute(&steer.Forward{Host: sim.instances[at].host}, p))
				if closed {
					sim.instances[at].sidecar.FromUpstream(sim.now, reply(k, steer.ACK|steer.FIN, 1, 0))
				}
				delete(sim.instances[at].open, k) // the upstream has closed the flow
				delete(sim.instances[at].answered, k)
				sim.sequence += 1 << 30
			}
			p := sim.openAt(t, 2, k)
			must.Eq(t, 2, sim.send(1, p))
			must.SliceEmpty(t, sim.resets)
			sim.deliverNotices()
			must.Eq(t, 2, sim.send(1, p), must.Sprint("where the notices say that the flow is"))
		})
	}
}
