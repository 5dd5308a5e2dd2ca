package steer_test

import (
	"math"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// coldRate is the rate of cold upstreams in tests, in openings per second; coldLimit makes
// at most 7 in any second of it.
const coldRate = 4

var coldLimit = steer.ColdLimit{Overshoot: 1.5, Slack: 1}

const maxColdOpenings = 7

// newColdSimulation returns a simulation with one balancer whose first cold upstreams are
// cold for a minute.
func newColdSimulation(cold int, services ...string) *simulation {
	sim := newSimulation(1, services...)
	for i, s := range sim.instances {
		s.sidecar = steer.NewSidecar(steer.SidecarConfig{Self: s.host, DataCentre: dataCentreOf(i), Service: s.service, MaxFlow: maxFlow, Cold: coldLimit})
		u := sim.entry(i, false)
		if i < cold {
			u.Warmup = time.Minute
		}
		sim.publish(i, u)
	}
	r := registry.Route{Name: "r", Address: routeAddress, Targets: []registry.Target{{Service: service, Weight: 1}}}
	sim.directory.Apply(sim.now, registry.Update{Routes: &registry.Routes{Version: 2, List: []registry.Route{r}, Services: map[string]registry.Service{service: {ColdRate: coldRate}}}})
	sim.publishFleet()
	return sim
}

// TestColdUpstreamGetsItsRate opens more flows than the only upstream may get while it is
// cold: no second has more than the limit, and the others are reset at once. A copy
// of an opening that was delivered does not count.
func TestColdUpstreamGetsItsRate(t *testing.T) {
	const step = 10 * time.Millisecond
	sim := newColdSimulation(1, service)
	var delivered []time.Duration
	for n := range 500 {
		before := sim.instances[0].openings
		sim.send(0, opening(flowKey(n)))
		if sim.instances[0].openings > before {
			delivered = append(delivered, sim.now)
			must.Eq(t, 0, sim.send(0, opening(flowKey(n))))
		}
		sim.now += step
		if n%25 == 0 {
			sim.publishFleet()
		}
	}
	for i := range delivered {
		if i >= maxColdOpenings {
			must.Greater(t, time.Second, delivered[i]-delivered[i-maxColdOpenings])
		}
	}
	must.Greater(t, 4*maxColdOpenings, len(delivered))
	must.SliceLen(t, 500-len(delivered), sim.resets)
	must.SliceEmpty(t, sim.held)
}

// TestUpstreamOutsideListMayBeCold has a balancer whose list has the upstream, while the
// upstream's own sidecar has an older one.
func TestUpstreamOutsideListMayBeCold(t *testing.T) {
	sim := newColdSimulation(0, service)
	old := sim.instances[0].sidecar.Fleet()
	sim.publish(0, sim.entry(0, false))
	sim.publishFleet()
	sim.instances[0].sidecar.SetFleet(old)
	for n := range 50 {
		sim.send(0, opening(flowKey(n)))
	}
	must.Eq(t, maxColdOpenings, sim.instances[0].openings)
}

// TestRestartedUpstreamMayBeCold guards against too many openings at an upstream that comes back
// cold, while the list still has its entry from before: the sidecar has found that no process
// listened at the upstream's address, so that one that answers has started since.
func TestRestartedUpstreamMayBeCold(t *testing.T) {
	sim := newColdSimulation(0, service)
	u := sim.instances[0]
	u.sidecar.Connected()
	for n := range 50 {
		sim.send(0, opening(flowKey(n)))
	}
	must.Eq(t, 50, u.openings)
	sim.now += 5 * time.Second
	p := opening(flowKey(100))
	_, delivered := u.sidecar.FromBalancer(sim.now, &steer.Header{Service: registry.HashService(service), State: registry.State{Revision: sim.revision}}, &p).(steer.Deliver)
	must.True(t, delivered)
	_, ended := u.sidecar.ConnectionRefused(sim.now)
	must.True(t, ended)
	sim.now += 2 * time.Second
	u.sidecar.Connected()
	u.sidecar.FromUpstream(sim.now, reply(p.CallerKey(), steer.SYN|steer.ACK, 1, 0)) // it is back
	sim.publishFleet()
	for n := range 50 {
		sim.send(0, opening(flowKey(200+n)))
	}
	must.Eq(t, 50+maxColdOpenings, u.openings)
	sim.now += time.Second
	sim.publish(0, sim.entry(0, false)) // the entry of the new start, which is warm by now
	sim.publishFleet()
	for n := range 50 {
		sim.send(0, opening(flowKey(300+n)))
	}
	must.Eq(t, 100+maxColdOpenings, u.openings)
}

// TestRefusedConnectionsDoNotMakeUpstreamCold has an upstream that accepts packets and never
// connections. It guards against a limit on an upstream that runs all the time.
func TestRefusedConnectionsDoNotMakeUpstreamCold(t *testing.T) {
	sim := newColdSimulation(0, service)
	u := sim.instances[0]
	p := opening(flowKey(100))
	u.sidecar.FromBalancer(sim.now, &steer.Header{Service: registry.HashService(service), State: registry.State{Revision: sim.revision}}, &p)
	sim.now += time.Second
	u.sidecar.ConnectionRefused(sim.now)
	u.sidecar.FromUpstream(sim.now, reply(p.CallerKey(), steer.SYN|steer.ACK, 1, 0))
	sim.publishFleet()
	for n := range 50 {
		sim.send(0, opening(flowKey(200+n)))
	}
	must.Eq(t, 50, u.openings)
}

// TestOpeningsBeyondColdRateGoElsewhere has two cold upstreams and one that is not: the
// cold ones get no more than their limit, and nothing is refused.
func TestOpeningsBeyondColdRateGoElsewhere(t *testing.T) {
	sim := newColdSimulation(2, service, service, service)
	for n := range 60 {
		must.NotEq(t, -1, sim.send(0, opening(flowKey(n))))
		sim.now += 5 * time.Millisecond
	}
	must.LessEq(t, maxColdOpenings, sim.instances[0].openings)
	must.LessEq(t, maxColdOpenings, sim.instances[1].openings)
}

// TestOpeningVisitsFewColdUpstreams checks that an opening is refused after few hops when
// all upstreams are cold and have what their rate permits.
func TestOpeningVisitsFewColdUpstreams(t *testing.T) {
	services := make([]string, 12)
	for i := range services {
		services[i] = service
	}
	sim := newColdSimulation(len(services), services...)
	for n := range 12 * maxColdOpenings * 3 {
		sim.send(0, opening(flowKey(n)))
	}
	p := opening(flowKey(10_000))
	var fw steer.Forward
	a := sim.balancers[0].Packet(sim.now, &p, &fw)
	for hops := 0; ; hops++ {
		f, ok := a.(*steer.Forward)
		if !ok {
			must.Eq[steer.Action](t, steer.Refuse{Reason: steer.ReasonCold}, a)
			must.LessEq(t, 3, hops)
			return
		}
		h := f.Header
		for _, s := range sim.instances {
			if s.host == f.Host {
				a = s.sidecar.FromBalancer(sim.now, &h, &p)
			}
		}
	}
}

// BenchmarkColdRate compares how many openings a sidecar has to pass on when balancers
// share the rate of cold upstreams with when they place by load alone.
func BenchmarkColdRate(b *testing.B) {
	for _, share := range []bool{true, false} {
		name := map[bool]string{true: "shared", false: "sidecar-alone"}[share]
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				passed, refused := playColdReturn(share)
				b.ReportMetric(float64(passed), "passed")
				b.ReportMetric(float64(refused), "refused")
			}
		})
	}
}

// playColdReturn opens 60 flows a second for three seconds at three cold and three other
// upstreams. It returns how many openings were passed on and how many refused. Without
// share, balancers do not receive the rate.
func playColdReturn(share bool) (passed, refused int) {
	sim := newColdSimulation(3, service, service, service, service, service, service)
	for n := range 180 {
		sim.now += time.Second / 60
		if n%15 == 0 {
			sim.publishFleet()
			if !share {
				f := *sim.balancers[0].Fleet()
				f.Snapshot = sim.withoutColdRates()
				sim.balancers[0].SetFleet(&f)
			}
		}
		p := opening(flowKey(n))
		var fw steer.Forward
		a := sim.balancers[0].Packet(sim.now, &p, &fw)
		first := a.(*steer.Forward).Host
		at := sim.execute(a, p)
		switch {
		case at < 0:
			refused++
		case sim.instances[at].host != first:
			passed++
		}
	}
	return passed, refused
}

// withoutColdRates returns the snapshot without rates of cold upstreams.
func (sim *simulation) withoutColdRates() *registry.Snapshot {
	d := registry.NewDirectory()
	u := sim.directory.Since(sim.now, 0, registry.State{})
	routes := *u.Routes
	routes.Services = nil
	u.Routes = &routes
	d.Apply(sim.now, u)
	return d.Snapshot(sim.now)
}

// TestOddColdRate guards against a rate that is allocated as it stands: the sidecar ended
// at the first opening, and again after each start.
func TestOddColdRate(t *testing.T) {
	for _, rate := range []float64{1e9, 1e18, 1e300, math.Inf(1), math.NaN(), -1, -1e300} {
		sim := newColdSimulation(1, service)
		r := registry.Route{Name: "r", Address: routeAddress, Targets: []registry.Target{{Service: service, Weight: 1}}}
		sim.directory.Apply(sim.now, registry.Update{Routes: &registry.Routes{Version: 3, List: []registry.Route{r}, Services: map[string]registry.Service{service: {ColdRate: rate}}}})
		sim.publishFleet()
		sim.send(0, opening(flowKey(1)))
		must.Eq(t, 1, sim.instances[0].openings, must.Sprint(rate))
	}
}
