package steer_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// openPassedOn opens a flow at instance 1 whose opening the balancer sent to instance 0, which
// passed it on since its upstream drains, as only sidecars know. No sidecar reports the flow.
func openPassedOn(t *testing.T, sim *simulation) steer.Key {
	t.Helper()
	stale := sim.balancers[0].Fleet()
	sim.publish(0, sim.entry(0, true))
	sim.publishFleet()
	sim.balancers[0].SetFleet(stale)
	for n := range 100 {
		p := opening(flowKey(n))
		var to steer.Forward
		a := sim.balancers[0].Packet(sim.now, &p, &to)
		if to.Host == sim.instances[0].host {
			must.Eq(t, 1, sim.execute(a, p))
			must.Eq(t, 1, sim.send(0, sim.request(p.CallerKey(), 1)))
			sim.dropNotices()
			return p.CallerKey()
		}
	}
	t.Fatal("no flow was sent to instance 0")
	return steer.Key{}
}

// TestPassedOnFlowOutlivesFirstChoice guards against the reset of a flow because the upstream
// that its opening was first sent to has ended, or its sidecar is lost.
func TestPassedOnFlowOutlivesFirstChoice(t *testing.T) {
	losses := map[string]func(sim *simulation) steer.SidecarStatus{
		"ended": func(*simulation) steer.SidecarStatus {
			return steer.SidecarStatus{DataCentre: near, Stopping: true, Ended: true}
		},
		"lost": func(sim *simulation) steer.SidecarStatus {
			return steer.SidecarStatus{DataCentre: near, Stopping: true, AbsentSince: sim.now - time.Second}
		},
	}
	for name, status := range losses {
		for _, idle := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				sim := newSimulation(1, service, service)
				k := openPassedOn(t, sim)
				sim.now += time.Second
				sim.publishFleet()
				f := *sim.balancers[0].Fleet()
				f.Sidecars = map[registry.Host]steer.SidecarStatus{
					sim.instances[0].host: status(sim), sim.instances[1].host: f.Sidecars[sim.instances[1].host],
				}
				sim.balancers[0].SetFleet(&f)
				sim.instances[0].running = false
				if idle {
					must.SliceEmpty(t, sim.balancers[0].EvictOrphans(sim.now))
				}
				must.Eq(t, 1, sim.send(0, sim.request(k, 1)))
				must.SliceEmpty(t, sim.resets)
			})
		}
	}
}

// TestPassedOnFlowIsReportedAgain guards against a flow whose packets take the way of its opening for
// as long as it is open, because the report of it was lost.
func TestPassedOnFlowIsReportedAgain(t *testing.T) {
	sim := newSimulation(1, service, service)
	k := openPassedOn(t, sim)
	must.Eq(t, 1, sim.send(0, sim.request(k, 1)))
	must.SliceContains(t, sim.instances[1].sidecar.Notices(), steer.Notice{Key: k, Balancer: balancerHost(0), All: true})
}
