package steer_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// TestDataCentresAreSearchedInTurn guards against copies of a searched packet that reach
// upstreams of one data centre when one of another already has the packet.
func TestDataCentresAreSearchedInTurn(t *testing.T) {
	for at := range 9 {
		sim := newMixedSimulation()
		b := sim.balancers[1]
		p := sim.openAt(t, at, flowKey(at))
		for _, s := range sim.instances {
			s.reached = nil
		}
		var first steer.Forward
		b.Packet(sim.now, &p, &first)
		must.Eq(t, near, first.DataCentre)
		first.Header.Remote = true // as the edge does for a packet that it stores
		found := sim.execute(&first, p)
		next, more := b.ContinueSearch(sim.now, &p, []string{near})
		if dataCentreOf(at) == near {
			must.Eq(t, at, found)
			sim.deliverNotices()
			_, more = b.ContinueSearch(sim.now, &p, []string{near})
			must.False(t, more, must.Sprint("the flow is found"))
		} else {
			must.Eq(t, -1, found)
			must.True(t, more)
			must.Eq(t, far, next.DataCentre)
			must.True(t, next.Header.Remote)
			must.Eq(t, at, sim.execute(&next, p))
			_, more = b.ContinueSearch(sim.now, &p, []string{near, far})
			must.False(t, more, must.Sprint("all data centres have a copy"))
		}
		for i, s := range sim.instances {
			if dataCentreOf(i) != near && dataCentreOf(at) == near {
				must.SliceEmpty(t, s.reached, must.Sprintf("upstream %d, a flow of %d", i, at))
			}
		}
	}
}

// TestSearchExtendsToRecoveredSidecars guards against a packet that waits for the caller's
// next transmission although the sidecar of its flow's upstream has started again.
func TestSearchExtendsToRecoveredSidecars(t *testing.T) {
	for at := range 9 {
		sim := newMixedSimulation()
		b := sim.balancers[1]
		p := sim.openAt(t, at, flowKey(at))
		owner := sim.instances[at]
		owner.running = false // packets to it are lost
		sim.adjust = func(_ string, f *steer.Fleet) {
			f.Sidecars[owner.host] = steer.SidecarStatus{DataCentre: dataCentreOf(at), Stopping: true}
		}
		sim.publishFleet()
		var watch steer.RecoveryWatch
		must.SliceEmpty(t, watch.Recovered(sim.now, b.Fleet()))
		must.Eq(t, -1, sim.send(1, p))
		must.SliceEmpty(t, watch.Recovered(sim.now, b.Fleet()))

		owner.running, sim.adjust = true, nil
		sim.startSidecar(at)
		sim.advance(tick)
		must.Eq(t, []registry.Host{owner.host}, watch.Recovered(sim.now, b.Fleet()))
		all := b.Fleet().Snapshot.Hosts("")
		list, again := b.ExtendSearch(sim.now, &p, all)
		must.True(t, again)
		must.Len(t, 1, list, must.Sprint("all others have returned the packet"))
		must.Eq(t, at, sim.execute(&list[0], p))
		owner.sidecar.FromUpstream(sim.now, reply(flowKey(at), steer.ACK, 1, 100))
		sim.deliverNotices()
		_, again = b.ExtendSearch(sim.now, &p, all)
		must.False(t, again, must.Sprint("the flow is found"))
	}
}

// TestFoundFlowIsReportedAtOnce guards against a search that goes on until the next regular
// report, while the caller sends further packets.
func TestFoundFlowIsReportedAtOnce(t *testing.T) {
	sim := newMixedSimulation()
	p := sim.openAt(t, 0, flowKey(1))
	for _, unknown := range []bool{true, false} {
		h := steer.Header{Balancer: balancerHost(1), UnknownFlow: unknown}
		must.Eq(t, steer.Action(steer.Deliver{Found: unknown}), sim.instances[0].sidecar.FromBalancer(sim.now, &h, &p))
	}
}

// TestLateReturnedCopyIsNotPassedOn guards against copies of a searched packet that reach
// further upstreams when one that was silent returns them, long after the flow was found.
func TestLateReturnedCopyIsNotPassedOn(t *testing.T) {
	for after, want := range map[time.Duration]steer.Action{
		99 * time.Millisecond:  &steer.Forward{},
		100 * time.Millisecond: &steer.Report{},
		2 * time.Second:        steer.Drop{},
	} {
		sim := newMixedSimulation()
		p := opening(flowKey(1))
		p.Flags = steer.ACK
		h := steer.Header{Balancer: balancerHost(0), UnknownFlow: true, Remote: true}
		d, ok := sim.instances[0].sidecar.FromBalancer(sim.now, &h, &p).(steer.Deliver)
		must.True(t, ok)
		sim.now += after
		p.Flags, p.Tag = p.Flags|steer.Returned, d.Tag
		got := sim.instances[0].sidecar.FromUpstream(sim.now, &p)
		must.Eq(t, reflect.TypeOf(want), reflect.TypeOf(got), must.Sprint(after))
		if r, reported := got.(*steer.Report); reported {
			must.Eq(t, []registry.Host{sim.instances[0].host}, r.MissReport.Hosts)
		}
	}
}
