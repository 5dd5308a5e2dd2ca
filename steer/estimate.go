package steer

import (
	"math"
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

// loadTimeConstant is over how long the loads that sidecars tell are averaged: four
// heartbeats. What a single one tells is chance where flows are short, and
// is over before the next one.
const loadTimeConstant = time.Second

// loadEstimates are what a balancer expects the loads of upstreams to be: the
// mean of what their sidecars tell, and the flows that were placed on them
// since, which fade as the mean takes them in. All balancers of a data centre
// know the same loads and place alike, so each expects as many flows from every
// other one as it places itself. It is safe for concurrent use.
type loadEstimates struct {
	mu     sync.Mutex
	byHost map[registry.Host]*loadEstimate // of the sidecars that were ever heard
}

// loadEstimate is that for one upstream.
type loadEstimate struct {
	reported   float64       // mean of the told loads
	reportedAt time.Duration // when told last took in a load
	placed     float64       // flows placed, faded
	decayedAt  time.Duration // when placed last faded
}

func newLoadEstimates() *loadEstimates {
	return &loadEstimates{byHost: make(map[registry.Host]*loadEstimate)}
}

// estimate returns the load that is expected of an upstream now. told is what its
// sidecar last told, at heard; placers is how many balancers place flows on it.
func (es *loadEstimates) estimate(now time.Duration, h registry.Host, reported int, reportedAt time.Duration, balancers int) float64 {
	es.mu.Lock()
	defer es.mu.Unlock()
	e := es.byHost[h]
	if e == nil {
		e = &loadEstimate{reported: float64(reported), reportedAt: reportedAt, decayedAt: now}
		es.byHost[h] = e
	}
	e.decay(now)
	if reportedAt > e.reportedAt {
		e.reported += (float64(reported) - e.reported) * (1 - decayFactor(reportedAt-e.reportedAt))
		e.reportedAt = reportedAt
	}
	return e.reported + e.placed*float64(max(1, balancers))
}

// recordPlaced notes that a flow was placed on an upstream that of was asked about.
func (es *loadEstimates) recordPlaced(h registry.Host) {
	es.mu.Lock()
	defer es.mu.Unlock()
	if e := es.byHost[h]; e != nil {
		e.placed++
	}
}

// decay takes out of placed what told has taken in by now.
func (e *loadEstimate) decay(now time.Duration) {
	if now <= e.decayedAt {
		return
	}
	e.placed *= decayFactor(now - e.decayedAt)
	e.decayedAt = now
}

// decayFactor returns the part of an older value that counts after d.
func decayFactor(d time.Duration) float64 {
	return math.Exp(-float64(d) / float64(loadTimeConstant))
}
