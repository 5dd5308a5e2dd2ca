package edge_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/platform/standin"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
)

// movingRoutes are routes whose services differ from version to version. Each version adds one,
// which leads to both services, then to one of them, then to the other, and is dropped: what an
// upstream takes shows by which versions it may have been placed. All methods may be called on
// nil, which stands for no such routes.
type movingRoutes struct {
	oracle *standin.VersionOracle
	rand   *rand.Rand
	// first holds the service that a route leads to alone at first.
	first []string
}

// The ages of a route, in versions.
const (
	ageOne     = 2 // it leads to one service
	ageOther   = 4 // it leads to the other one
	ageDropped = 6
	ageUnused  = 9 // callers do not use it any more
)

func newMovingRoutes(seed uint64) *movingRoutes {
	return &movingRoutes{oracle: standin.NewVersionOracle(), rand: rand.New(rand.NewPCG(seed, 5))}
}

// address returns the address that a caller uses next. The caller holds world.routesMu.
func (m *movingRoutes) address(r *rand.Rand) registry.Endpoint {
	if m == nil {
		return routeAddresses[r.IntN(len(routeAddresses))]
	}
	n := len(m.first)
	return movingAddress(n - 1 - r.IntN(min(n, ageUnused)))
}

func movingAddress(n int) registry.Endpoint {
	return registry.Endpoint{Host: registry.Host{198, 18, byte(1 + n/256), byte(n)}, Port: 443}
}

// appendTo appends the routes that move to those of the next version. The caller holds
// world.routesMu.
func (m *movingRoutes) appendTo(list []registry.Route, version uint64) []registry.Route {
	if m == nil {
		return list
	}
	m.first = append(m.first, []string{serviceA, serviceB}[m.rand.IntN(2)])
	allowed := make(map[netip.AddrPort][]string)
	for n := max(0, len(m.first)-ageDropped); n < len(m.first); n++ {
		a := movingAddress(n)
		r := registry.Route{Name: fmt.Sprint("moving", n), Address: a, Idempotent: true, Timeout: 4 * time.Second, Objective: time.Second}
		services := m.services(n)
		for _, s := range services {
			r.Targets = append(r.Targets, registry.Target{Service: s, Weight: 1})
		}
		allowed[a.AddrPort()] = services
		list = append(list, r)
	}
	m.oracle.Publish(time.Now(), version, allowed)
	return list
}

// services returns the services of a route that is not dropped.
func (m *movingRoutes) services(n int) []string {
	switch age := len(m.first) - 1 - n; {
	case age < ageOne:
		return []string{serviceA, serviceB}
	case age < ageOther:
		return []string{m.first[n]}
	}
	return []string{otherService(m.first[n])}
}

// sent records that a caller sends an opening to a balancer. The caller holds world.mu.
func (m *movingRoutes) sent(p *steer.Packet, b *machine) {
	if m == nil {
		return
	}
	number := uint64(0)
	if b.run != nil {
		number = b.run.number
	}
	m.oracle.Sent(time.Now(), p.Source.AddrPort(), p.Destination.AddrPort(), p.Sequence, fmt.Sprintf("%s#%d", b.name, number))
}

// taken records that an upstream took an opening. The caller holds world.mu.
func (m *movingRoutes) taken(w *world, p *steer.Packet, u *upstream) {
	if m == nil {
		return
	}
	m.oracle.Taken(standin.Opening{
		Caller: p.Source.AddrPort(), Route: p.Destination.AddrPort(), Sequence: p.Sequence,
		Upstream: u.id, Service: u.service, At: time.Now(), InTouch: w.openingInTouch(p, u),
	})
}

// openingInTouch reports whether the store, the balancer that took the last packet of a flow
// and the upstream's machine had no disruption within stableWindow, and ran meanwhile.
func (w *world) openingInTouch(p *steer.Packet, u *upstream) bool {
	w.check.mu.Lock()
	defer w.check.mu.Unlock()
	machines := []*machine{w.check.flow(p.CallerKey()).taker, u.machine}
	for _, m := range machines {
		if m == nil || m.run == nil || time.Since(m.run.started) < stableWindow {
			return false
		}
	}
	return !slices.ContainsFunc(append(machines, nil), func(m *machine) bool { return !w.check.inTouch(m, time.Now(), true) })
}
