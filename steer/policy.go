package steer

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

// maxPlacedRatio bounds the number of flows that all balancers of the data centre are
// assumed to have placed for each flow of this one. A balancer that places few flows
// would otherwise avoid an upstream for a second after each of them.
const maxPlacedRatio = 64

// policy holds what a process keeps between its decisions on new flows. Balancers and
// sidecars use the same one; a sidecar places no flows of its own, so its estimates are
// the reported loads. It is safe for concurrent use.
type policy struct {
	placing    Placing
	dataCentre string
	// estimates is nil in a sidecar.
	estimates *loadEstimates
	// paces is valid for PlaceByTime; nil until setFleet.
	paces atomic.Pointer[paces]

	mu          sync.Mutex
	unreported  map[registry.Host]int // flows placed since the last load report of the sidecar; nil in a sidecar
	totalPlaced map[registry.Host]int // flows placed since the start; nil unless placing is PlaceByTwoChoices
	placed      float64               // decayed number of flows placed
	decayedAt   time.Duration         // when placed was last decayed
}

// newSidecarPolicy returns the policy of a process that only passes flows on.
func newSidecarPolicy(placing Placing, dataCentre string) *policy {
	return &policy{placing: placing, dataCentre: dataCentre}
}

// newBalancerPolicy returns the policy of a process that places flows.
func newBalancerPolicy(placing Placing, dataCentre string) *policy {
	y := newSidecarPolicy(placing, dataCentre)
	y.estimates = newLoadEstimates()
	y.unreported = make(map[registry.Host]int)
	if placing == PlaceByTwoChoices {
		y.totalPlaced = make(map[registry.Host]int)
	}
	return y
}

// setFleet merges the reports of a fleet.
func (y *policy) setFleet(f *Fleet) {
	if y.placing != PlaceByTime {
		return
	}
	s := newPaces(f, y.paces.Load(), y.dataCentre)
	y.paces.Store(s)
	if y.estimates != nil {
		y.estimates.mergeAll(f, s)
	}
}

// loadUpdated records that the sidecar on a host reported its load.
func (y *policy) loadUpdated(h registry.Host) {
	y.mu.Lock()
	defer y.mu.Unlock()
	delete(y.unreported, h)
}

// recordPlaced counts a flow that was placed on a host.
func (y *policy) recordPlaced(now time.Duration, h registry.Host) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.estimates.recordPlaced(h)
	y.unreported[h]++
	if y.totalPlaced != nil {
		y.totalPlaced[h]++
	}
	if y.placing == PlaceByTime {
		y.decay(now)
		y.placed++
	}
}

// decay reduces placed by the flows that were placed long ago. The caller holds y.mu.
func (y *policy) decay(now time.Duration) {
	if now > y.decayedAt {
		y.placed *= decayFactor(now - y.decayedAt)
		y.decayedAt = now
	}
}

// placedPerSecond returns the moving average of the flows placed per second.
func (y *policy) placedPerSecond(now time.Duration) float64 {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.decay(now)
	return y.placed * float64(time.Second) / float64(loadTimeConstant)
}

// balancers returns the number of flows that all balancers of the data centre are assumed
// to have placed for each flow that this one placed. A balancer that does not report how
// many it places counts as one that places as many.
func (y *policy) balancers(now time.Duration, f *Fleet) float64 {
	if y.estimates == nil {
		return 0
	}
	equal := float64(max(1, f.LiveBalancers))
	if f.PlacingPeers == 0 {
		return equal
	}
	others := f.PlacedByPeers / max(1, y.placedPerSecond(now))
	return math.Min(maxPlacedRatio, max(1, equal-float64(f.PlacingPeers))+others)
}

// estimate returns the estimated load of an upstream in flows. reported is the last load
// that its sidecar reported, at reportedAt.
func (y *policy) estimate(now time.Duration, h registry.Host, reported int, reportedAt time.Duration, balancers float64) float64 {
	if y.estimates == nil {
		return float64(reported)
	}
	return y.estimates.estimate(now, h, reported, reportedAt, balancers)
}

// placedOn returns the estimated number of flows that all balancers of the data centre
// placed on a host in the last second.
func (y *policy) placedOn(now time.Duration, h registry.Host, balancers float64) float64 {
	if y.estimates == nil {
		return 0
	}
	return y.estimates.placedPerSecond(now, h, balancers)
}

// unreportedOn returns the number of flows placed on a host since the last load report of
// its sidecar.
func (y *policy) unreportedOn(h registry.Host) int {
	if y.unreported == nil {
		return 0
	}
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.unreported[h]
}

// unreportedOnAny returns the number of flows placed on hosts since their load reports.
func (y *policy) unreportedOnAny(hosts map[registry.Host]struct{}) int {
	y.mu.Lock()
	defer y.mu.Unlock()
	sum := 0
	for h, n := range y.unreported {
		if _, ok := hosts[h]; ok {
			sum += n
		}
	}
	return sum
}

// totalPlacedOn returns the total number of flows placed on a host; valid for
// PlaceByTwoChoices.
func (y *policy) totalPlacedOn(h registry.Host) int {
	if y.totalPlaced == nil {
		return 0
	}
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.totalPlaced[h]
}

// chooser returns the chooser of upstreams for a packet. route may be nil.
func (y *policy) chooser(now time.Duration, f *Fleet, route *registry.Route, hash uint64) chooser {
	c := chooser{policy: y, fleet: f, now: now, hash: hash, route: route, balancers: y.balancers(now, f)}
	if y.placing == PlaceByTime {
		c.paces = y.paces.Load()
	}
	return c
}
