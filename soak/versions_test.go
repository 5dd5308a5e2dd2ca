package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/platform/standin"
	"github.com/corianderbay/corianderbay/steer"
)

// The ages of a moving route, in versions that were published after it was added.
const (
	ageOne     = 2 // it leads to one service; before that to both
	ageOther   = 4 // it leads to the other one
	ageDropped = 6
	ageUnused  = 9 // callers do not use it any more
)

const (
	// openingPause is the longest pause of a caller between two openings.
	openingPause = 60 * time.Millisecond
	// versionPause is the longest pause between two series of versions, versionGap that within
	// a series, and maxSeries the number of versions in one.
	versionPause = 4 * time.Second
	versionGap   = 400 * time.Millisecond
	maxSeries    = 4
)

// Each version adds a moving route, which leads to both services, takes services from others and
// drops one, so that what an upstream takes shows by which versions it may have been placed.

// runVersions publishes series of versions that change only moving routes until ctx is done.
func (tb *testbed) runVersions(ctx context.Context) {
	r := rand.New(rand.NewPCG(tb.seed, 3))
	for ctx.Err() == nil {
		for range 1 + r.IntN(maxSeries) {
			tb.mu.Lock()
			tb.publishVersion(1)
			tb.mu.Unlock()
			pause(ctx, time.Duration(r.Int64N(int64(versionGap))))
		}
		pause(ctx, time.Duration(r.Int64N(int64(versionPause))))
	}
}

// addMovingRoute adds the moving route of the next version. The caller holds the lock unless no
// other goroutine is running yet.
func (tb *testbed) addMovingRoute() {
	tb.movingSince = append(tb.movingSince, tb.routesVersion)
	services := make(map[netip.AddrPort][]string)
	for _, r := range tb.movingRoutes() {
		services[r.Address] = r.Services()
	}
	tb.versions.Publish(time.Now(), tb.routesVersion, services)
}

// movingRoutes returns the moving routes of the newest version.
func (tb *testbed) movingRoutes() []standin.Route {
	var list []standin.Route
	count := len(tb.movingSince)
	for n := max(0, count-ageDropped); n < count; n++ {
		first, other := fitting, report
		if n%2 == 1 {
			first, other = other, first
		}
		r := standin.Route{Address: movingAddress(n), Service: first, Idempotent: true}
		switch age := count - 1 - n; {
		case age < ageOne:
			r.Also = other
		case age >= ageOther:
			r.Service = other
		}
		list = append(list, r)
	}
	return list
}

func movingAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(1 + n/256), byte(n)}), 8443)
}

// runOpenings opens flows to moving routes, and closes them, until ctx is done.
func (tb *testbed) runOpenings(ctx context.Context, c *standin.Caller, stream uint64) {
	r := rand.New(rand.NewPCG(tb.seed, 100+stream))
	for ctx.Err() == nil {
		tb.mu.Lock()
		count := len(tb.movingSince)
		tb.mu.Unlock()
		flow, err := c.Open(ctx, movingAddress(count-1-r.IntN(min(count, ageUnused))))
		if err == nil {
			flow.Close()
		}
		pause(ctx, time.Duration(r.Int64N(int64(openingPause))))
	}
}

// recordOpening records an opening that a caller sends to a balancer.
func (tb *testbed) recordOpening(k steer.Key, sequence uint32, to netip.AddrPort) {
	b := tb.balancerAt(to.Addr())
	if !isMoving(k) || b == nil {
		return
	}
	name := fmt.Sprintf("%s#%d", b.host.Name, b.incarnation.Load().number)
	tb.versions.Sent(time.Now(), k.Caller.AddrPort(), k.Address.AddrPort(), sequence, name)
}

// balancerAt returns the balancer with an advertised address, or nil.
func (tb *testbed) balancerAt(a netip.Addr) *process {
	i := slices.IndexFunc(tb.balancers, func(p *process) bool { return p.host.Address == a })
	if i < 0 {
		return nil
	}
	return tb.balancers[i]
}

// openedBy returns the function that records the openings at an upstream.
func (tb *testbed) openedBy(st *site, id string) func(k steer.Key, sequence uint32) {
	return func(k steer.Key, sequence uint32) {
		if isMoving(k) {
			tb.versions.Taken(standin.Opening{
				Caller: k.Caller.AddrPort(), Route: k.Address.AddrPort(), Sequence: sequence,
				Upstream: id, Service: st.host.Service, At: time.Now(), InTouch: tb.inTouch(),
			})
		}
	}
}

// inTouch reports whether there was no fault, and no process was started, within settleTime.
func (tb *testbed) inTouch() bool {
	if !tb.plannedOnly && time.Now().UnixNano()-tb.faultEnd.Load() < int64(settleTime) {
		return false
	}
	return !slices.ContainsFunc(tb.processes(), func(p *process) bool { return time.Since(p.incarnation.Load().since) < settleTime })
}

// checkVersions reports the violations of the rule of versions.
func (tb *testbed) checkVersions() {
	judged, ambiguous := tb.versions.Judged()
	tb.t.Logf("%d versions, %d openings judged, %d ambiguous", len(tb.movingSince), judged, ambiguous)
	for _, v := range tb.versions.Violations() {
		tb.checker.RecordViolation("%s", v)
	}
}

// isMoving reports whether a flow is one to a moving route.
func isMoving(k steer.Key) bool {
	return k.Address.Host[2] > 0
}
