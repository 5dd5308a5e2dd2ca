package steer

import (
	"math"
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

// meanTime is over how long the loads that sidecars tell are averaged: four
// heartbeats. What a single one tells is chance where flows are short, and
// is over before the next one.
const meanTime = time.Second

// expectations are what a balancer expects the loads of upstreams to be: the
// mean of what their sidecars tell, and the flows that were placed on them
// since, which fade as the mean takes them in. All balancers of a data centre
// know the same loads and place alike, so each expects as many flows from every
// other one as it places itself. It is safe for concurrent use.
type expectations struct {
	mu     sync.Mutex
	byHost map[registry.Host]*expectation // of the sidecars that were ever heard
}

// expectation is that for one upstream.
type expectation struct {
	told   float64       // mean of the told loads
	heard  time.Duration // when told last took in a load
	placed float64       // flows placed, faded
	faded  time.Duration // when placed last faded
}

func newExpectations() *expectations {
	return &expectations{byHost: make(map[registry.Host]*expectation)}
}

// of returns the load that is expected of an upstream now. told is what its
// sidecar last told, at heard; placers is how many balancers place flows on it.
func (es *expectations) of(now time.Duration, h registry.Host, told int, heard time.Duration, placers int) float64 {
	es.mu.Lock()
	defer es.mu.Unlock()
	e := es.byHost[h]
	if e == nil {
		e = &expectation{told: float64(told), heard: heard, faded: now}
		es.byHost[h] = e
	}
	e.fade(now)
	if heard > e.heard {
		e.told += (float64(told) - e.told) * (1 - remaining(heard-e.heard))
		e.heard = heard
	}
	return e.told + e.placed*float64(max(1, placers))
}

// place notes that a flow was placed on an upstream that of was asked about.
func (es *expectations) place(h registry.Host) {
	es.mu.Lock()
	defer es.mu.Unlock()
	if e := es.byHost[h]; e != nil {
		e.placed++
	}
}

// fade takes out of placed what told has taken in by now.
func (e *expectation) fade(now time.Duration) {
	if now <= e.faded {
		return
	}
	e.placed *= remaining(now - e.faded)
	e.faded = now
}

// remaining returns the part of an older value that counts after d.
func remaining(d time.Duration) float64 {
	return math.Exp(-float64(d) / float64(meanTime))
}
