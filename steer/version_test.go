package steer_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// mixedVersions is a simulation whose processes have one of two versions of the routes.
type mixedVersions struct {
	*simulation
	older, newer *steer.Fleet
}

// newMixedVersions returns a simulation with one balancer in which every process has the older
// version, whose route leads to the services of older; that of the next one leads to newer.
func newMixedVersions(older, newer []string, services ...string) *mixedVersions {
	m := &mixedVersions{simulation: newSimulation(1, services...)}
	m.publishRoutes(2, older...)
	m.publishFleet()
	m.older = m.balancers[0].Fleet()
	m.publishRoutes(3, newer...)
	m.publishFleet()
	m.newer = m.balancers[0].Fleet()
	m.balancers[0].SetFleet(m.older)
	for _, s := range m.instances {
		s.sidecar.SetFleet(m.older)
	}
	return m
}

// servedBy opens flows through the balancer and returns how many each service accepted.
func (m *mixedVersions) servedBy(first, count int) map[string]int {
	served := make(map[string]int)
	for n := range count {
		if at := m.send(0, opening(flowKey(first+n))); at >= 0 {
			served[m.instances[at].service]++
		}
	}
	return served
}

// TestNewerSidecarsDoNotShowVersionBeforeBalancer guards against effects of two versions that
// take turns while a balancer and some sidecars are behind.
func TestNewerSidecarsDoNotShowVersionBeforeBalancer(t *testing.T) {
	m := newMixedVersions([]string{service}, []string{otherService}, service, service, otherService)
	m.instances[0].sidecar.SetFleet(m.newer)
	m.instances[1].full = true // the older one
	must.Eq(t, map[string]int{service: 20}, m.servedBy(0, 20))
	m.instances[1].full = false
	must.Eq(t, map[string]int{service: 20}, m.servedBy(20, 20))
	m.balancers[0].SetFleet(m.newer)
	must.Eq(t, map[string]int{otherService: 20}, m.servedBy(40, 20))
}

// TestOlderSidecarDoesNotPassOnByItsRoutes guards against openings of a balancer with newer
// routes that a sidecar with older ones passes on to a service that only these allow.
func TestOlderSidecarDoesNotPassOnByItsRoutes(t *testing.T) {
	m := newMixedVersions([]string{service, otherService}, []string{otherService}, service, otherService, service, otherService)
	m.balancers[0].SetFleet(m.newer)
	m.instances[1].full, m.instances[3].full = true, true
	must.MapEmpty(t, m.servedBy(0, 20))
	m.instances[3].full = false
	must.Eq(t, map[string]int{otherService: 20}, m.servedBy(20, 20))
}

// TestNewerSidecarDoesNotPassOnByItsRoutes is TestOlderSidecarDoesNotPassOnByItsRoutes the
// other way round.
func TestNewerSidecarDoesNotPassOnByItsRoutes(t *testing.T) {
	m := newMixedVersions([]string{service}, []string{service, otherService}, service, service, otherService)
	for _, s := range m.instances {
		s.sidecar.SetFleet(m.newer)
	}
	m.instances[0].full, m.instances[1].full = true, true
	must.MapEmpty(t, m.servedBy(0, 20))
}

// TestRepeatedOpeningFollowsNewerVersion guards against copies of an opening that follow the
// first one to a service that the balancer's routes no longer allow.
func TestRepeatedOpeningFollowsNewerVersion(t *testing.T) {
	m := newMixedVersions([]string{service, otherService}, []string{service}, service, service, otherService)
	for _, s := range m.instances {
		s.sidecar.SetFleet(m.older)
	}
	m.instances[0].full, m.instances[1].full = true, true
	var placed int // flows of the first service, which are passed on
	for ; m.balancers[0].Fleet().Snapshot.Route(routeAddress).Service(flowKey(placed).Hash()) != service; placed++ {
	}
	must.Eq(t, 2, m.send(0, opening(flowKey(placed))))
	m.instances[0].full, m.instances[1].full = false, false
	m.balancers[0].SetFleet(m.newer)
	m.now += 200 * time.Millisecond
	for _, s := range m.instances {
		s.sidecar.SetFleet(m.newer)
	}
	at := m.send(0, opening(flowKey(placed)))
	must.Eq(t, service, m.instances[at].service)
}

// TestPortUsedAgainFollowsNewerVersion guards against an opening of a port that is used again
// which reaches the upstream of the port's former flow, though its service is not allowed any more.
func TestPortUsedAgainFollowsNewerVersion(t *testing.T) {
	m := newMixedVersions([]string{service}, []string{otherService}, service, otherService)
	k := flowKey(1)
	must.Eq(t, 0, m.open(0, k))
	m.deliverNotices()
	m.balancers[0].SetFleet(m.newer)
	for _, s := range m.instances {
		s.sidecar.SetFleet(m.newer)
	}
	p := opening(k)
	must.Eq(t, 0, m.send(0, p), must.Sprint("a late copy of the opening"))
	p.Sequence += 1 << 24
	must.Eq(t, 1, m.send(0, p))
}

// TestHomesOfBalancerVersionApply guards against effects of two versions that take turns when
// the home regions of a route change.
func TestHomesOfBalancerVersionApply(t *testing.T) {
	sim := newSimulation(1, service, service, service)
	sim.publishHomes(2, nearRegion)
	older := sim.balancers[0].Fleet()
	sim.publishHomes(3, farRegion)
	sim.balancers[0].SetFleet(older)
	sim.instances[1].sidecar.SetFleet(older)
	for n := range 20 {
		must.Eq(t, near, dataCentreOf(sim.send(0, opening(flowKey(n)))))
	}
	sim.instances[0].full, sim.instances[1].full = true, true
	must.Eq(t, -1, sim.send(0, opening(flowKey(20))))
}

// TestSupersededRoutesAreRefused checks that a balancer may place openings by outdated routes
// for MaxOutdated, and that what newer ones do not allow is refused from then on, and is not
// passed on to where only these lead.
func TestSupersededRoutesAreRefused(t *testing.T) {
	cases := map[string]struct {
		change func(sim *simulation)
		reason steer.Reason // of the balancer, once it has the newer routes; 0 when it places the flow
	}{
		"service removed": {func(sim *simulation) { sim.publishRoutes(3, otherService) }, 0},
		"route dropped": {func(sim *simulation) {
			sim.directory.Apply(sim.now, registry.Update{Routes: &registry.Routes{Version: 3}})
		}, steer.ReasonNoRoute},
		"homes changed": {func(sim *simulation) { sim.publishHomes(3, farRegion) }, steer.ReasonHome},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(1, service, otherService)
			sim.maxOutdated = time.Second
			for i := range sim.instances {
				sim.startSidecar(i)
			}
			sim.publishHomes(2, nearRegion)
			older := sim.balancers[0].Fleet()
			sim.advance(time.Minute)
			sim.routesSince = sim.now
			c.change(sim)
			sim.publishFleet()
			place := func(k steer.Key) int {
				newer := sim.balancers[0].Fleet()
				sim.balancers[0].SetFleet(older)
				defer sim.balancers[0].SetFleet(newer)
				return sim.send(0, opening(k))
			}
			sim.advance(999 * time.Millisecond)
			must.Eq(t, 0, place(flowKey(1)))
			sim.advance(time.Millisecond)
			must.Eq(t, -1, place(flowKey(2)))
			must.Eq(t, []steer.Key{flowKey(2)}, sim.resets)
			must.Eq(t, 0, sim.instances[1].openings)
			p := opening(flowKey(3))
			a := sim.balancers[0].Packet(sim.now, &p, new(steer.Forward))
			if c.reason != 0 {
				must.Eq[steer.Action](t, steer.Refuse{Reason: c.reason}, a)
				return
			}
			must.Eq(t, 1, sim.execute(a, p))
		})
	}
}

// TestSeriesOfVersionsSupersedesTheFirst checks that MaxOutdated is counted from the first
// newer version, and not from the last of a series.
func TestSeriesOfVersionsSupersedesTheFirst(t *testing.T) {
	sim := newSimulation(1, service, otherService)
	sim.maxOutdated = time.Second
	sim.startSidecar(0)
	sim.routesSince = sim.now
	sim.publishFleet()
	older := sim.balancers[0].Fleet()
	for version := uint64(2); version < 8; version++ {
		sim.publishRoutes(version, otherService)
		sim.routesSince = sim.now
		sim.publishFleet()
		sim.balancers[0].SetFleet(older)
		must.Eq(t, version < 7, sim.send(0, opening(flowKey(int(version)))) == 0, must.Sprint(version))
		sim.advance(200 * time.Millisecond)
	}
}

// TestOpeningOfOlderBuildIsDeclined guards against an opening that a sidecar of the build before
// passes on by its own older routes to a service that the balancer's do not allow.
func TestOpeningOfOlderBuildIsDeclined(t *testing.T) {
	m := newMixedVersions([]string{service, otherService}, []string{otherService}, service, otherService)
	for _, s := range m.instances {
		s.sidecar.SetFleet(m.newer)
	}
	h := steer.Header{
		Balancer: balancerHost(0), Service: registry.HashService(service), Version: 3, Pinned: true,
		Visited: []registry.Host{{10, 0, 9, 9}},
	}
	p := opening(flowKey(1))
	must.Eq(t, 1, m.execute(&steer.Forward{Host: m.instances[0].host, Header: h}, p))
}
