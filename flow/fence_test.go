package flow_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/corianderbay/corianderbay/flow"
)

// TestIdleTimeoutStartsAtLastPacket checks that a flow is kept for its whole idle
// time after its last packet, even when that packet came less than touchInterval
// after the one before.
func TestIdleTimeoutStartsAtLastPacket(t *testing.T) {
	for _, protocol := range []flow.Protocol{flow.TCP, flow.UDP} {
		p, now := newPlan(1, 1), time.Unix(1000, 0)
		s := loneSidecar(p, now)
		now = now.Add(time.Hour)
		q := flow.Packet{Key: testKey(protocol, 0, fitting), Sequence: 2, Acknowledged: 101, HasAck: true}
		if protocol == flow.TCP {
			establish(s, p, now, 1)
		}
		must.Eq[flow.Action](t, flow.Deliver{}, s.Packet(now, header(p, q.Key, 1), q))
		now = now.Add(400 * time.Millisecond)
		must.Eq[flow.Action](t, flow.Deliver{}, s.Packet(now, header(p, q.Key, 1), q))
		now = now.Add(testIdle - 10*time.Millisecond)
		must.Eq[flow.Action](t, flow.Deliver{}, s.Packet(now, header(p, q.Key, 1), q))
		must.Eq(t, 1, s.Counters().Accepted.Load(), must.Sprint(protocol))
	}
}

// TestFlowKeepsOwnerWhenMajorityGrows checks that a datagram flow keeps its owner
// when a new upstream raises the majority that must confirm the owner's reports.
// One upstream moved to another service and confirms no more, and the new one has
// not confirmed yet, so the owner could be fenced wrongly.
func TestFlowKeepsOwnerWhenMajorityGrows(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed, 2, 3, 2)
		w.start()
		w.run(200 * time.Second)
		f := w.open(flow.UDP, fitting, nil)
		f.request()
		w.run(time.Second)
		w.moveUpstream(fitting, report, 2)
		for range 4 {
			w.run(30 * time.Second)
			f.request()
		}
		w.run(time.Second)
		w.addUpstream(fitting, 6)
		w.run(6 * time.Second)
		f.request()
		w.run(5 * time.Second)
		must.SliceEmpty(t, w.oracle.violations, must.Sprintf("seed %d", seed))
	}
}
