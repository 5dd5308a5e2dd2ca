package flow_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/corianderbay/corianderbay/flow"
)

// TestOutOfOrderTimestamps checks that a packet with an earlier timestamp than the
// flow's last packet is delivered and does not expire the flow. Two workers may
// lock a shard in a different order than they read the clock.
func TestOutOfOrderTimestamps(t *testing.T) {
	p, now := newPlan(1, 1), time.Unix(1, 0)
	s := loneSidecar(p, now)
	later := now.Add(time.Minute)
	earlier := later.Add(-50 * time.Millisecond)
	establish(s, p, later, 1)
	k := testKey(flow.TCP, 0, fitting)
	data := flow.Packet{Key: k, Sequence: 2, Acknowledged: 101, HasAck: true}
	must.Eq(t, flow.Action(flow.Deliver{}), s.Packet(earlier, header(p, k, 1), data))
	must.Eq(t, flow.Action(flow.Deliver{}), s.Answer(earlier, flow.Packet{Key: k, Sequence: 101, Acknowledged: 3, HasAck: true}))
	must.True(t, s.Owns(k))
}
