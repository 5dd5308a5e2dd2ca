package steer

import (
	"math"
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

// loadTimeConstant is the time constant of the moving average of reported loads: four
// heartbeats. With short flows a single report is noise and outdated before the next
// one.
const loadTimeConstant = time.Second

// loadEstimates holds the estimated loads of upstreams: the moving average of the
// reported loads, plus the flows placed since, which decay as the average takes them
// in. All balancers of a data centre receive the same reports and place flows in the
// same way, so each one assumes that the others have placed their flows in the same
// proportions as itself. It is safe for concurrent use.
type loadEstimates struct {
	mu     sync.Mutex
	byHost map[registry.Host]*loadEstimate // of all sidecars that ever sent a heartbeat
}

// loadEstimate is the estimate for one upstream.
type loadEstimate struct {
	reported   float64       // moving average of reported loads, in flows
	reportedAt time.Duration // when the last report in reported was sent
	placed     float64       // decayed number of flows placed
	decayedAt  time.Duration // when placed was last decayed
}

func newLoadEstimates() *loadEstimates {
	return &loadEstimates{byHost: make(map[registry.Host]*loadEstimate)}
}

// estimate returns the estimated load of an upstream in flows. reported is the last
// load that its sidecar reported, at reportedAt; balancers is the number of flows that
// all balancers have placed for each one of this balancer.
func (es *loadEstimates) estimate(now time.Duration, h registry.Host, reported int, reportedAt time.Duration, balancers float64) float64 {
	es.mu.Lock()
	defer es.mu.Unlock()
	e := es.merge(h, reported, reportedAt)
	e.decay(now)
	return e.reported + e.placed*balancers
}

// merge adds a report to the moving average unless it is in it already, and returns the
// estimate. The caller holds es.mu.
func (es *loadEstimates) merge(h registry.Host, reported int, reportedAt time.Duration) *loadEstimate {
	e := es.byHost[h]
	if e == nil {
		e = &loadEstimate{reported: float64(reported), reportedAt: reportedAt}
		es.byHost[h] = e
	}
	if reportedAt > e.reportedAt {
		e.reported += (float64(reported) - e.reported) * (1 - decayFactor(reportedAt-e.reportedAt))
		e.reportedAt = reportedAt
	}
	return e
}

// mergeAll adds the reports of the upstreams of those services that are compared by
// sample, since a flow's choice merges only those of its sample.
func (es *loadEstimates) mergeAll(f *Fleet, s *paces) {
	es.mu.Lock()
	defer es.mu.Unlock()
	for _, p := range f.Snapshot.Pools() {
		if s.service(p.Hash).alike {
			continue
		}
		for i := range p.Members {
			m := &p.Members[i]
			if status, known := f.Sidecars[m.Address.Host]; known {
				es.merge(m.Address.Host, reportedLoad(status.Load, m), status.LastSeen)
			}
		}
	}
}

// placedPerSecond returns the estimated number of flows that all balancers placed on an
// upstream in the last second.
func (es *loadEstimates) placedPerSecond(now time.Duration, h registry.Host, balancers float64) float64 {
	es.mu.Lock()
	defer es.mu.Unlock()
	e := es.byHost[h]
	if e == nil {
		return 0
	}
	e.decay(now)
	return e.placed * balancers * float64(time.Second) / float64(loadTimeConstant)
}

// recordPlaced counts a flow that was placed on an upstream. Upstreams that have not
// been estimated yet are ignored.
func (es *loadEstimates) recordPlaced(h registry.Host) {
	es.mu.Lock()
	defer es.mu.Unlock()
	if e := es.byHost[h]; e != nil {
		e.placed++
	}
}

// decay reduces placed by the part that reported contains by now.
func (e *loadEstimate) decay(now time.Duration) {
	if now <= e.decayedAt {
		return
	}
	e.placed *= decayFactor(now - e.decayedAt)
	e.decayedAt = now
}

// decayFactor returns the weight that remains of a value after d, from 0 to 1.
func decayFactor(d time.Duration) float64 {
	return math.Exp(-float64(d) / float64(loadTimeConstant))
}
