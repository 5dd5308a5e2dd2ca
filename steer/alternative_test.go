package steer_test

import (
	"math"
	"time"

	"github.com/corianderbay/corianderbay/steer"
)

// The placing methods of the test, which the product does not have.
const (
	twoByCompletion   = "two by completion"
	leastByCompletion = "least completion"
	leastTiesByHash   = "least completion, ties by hash"
	sampleOfThree     = "three by completion" // as steer.PlaceByTime with a larger sample, and without passing on
	oracle            = "oracle"
)

// tieMargin is the share by which a cost may exceed the least one to count as equal.
const tieMargin = 0.1

// expectation is what one balancer estimates of an upstream, in flows and in seconds.
type expectation struct {
	reported, work, placed float64
	reportedAt, decayedAt  time.Duration
}

// alternative places flows by expected completion with a method of the test.
type alternative struct {
	u      *unevenSimulation
	states [][]expectation // by balancer and upstream
}

// newAlternative returns how a method of the test chooses, or nil for a steer.Placing.
func newAlternative(u *unevenSimulation) func(int, steer.Key) int {
	switch u.cfg.method {
	case twoByCompletion, leastByCompletion, leastTiesByHash, sampleOfThree, oracle:
	default:
		return nil
	}
	a := &alternative{u: u}
	for range u.cfg.balancers {
		a.states = append(a.states, make([]expectation, unevenUpstreams))
	}
	return a.choose
}

func (a *alternative) choose(b int, k steer.Key) int {
	costs := make([]float64, unevenUpstreams)
	for i := range costs {
		costs[i] = a.cost(b, i)
	}
	at := a.selectBy(b, k, costs)
	a.states[b][at].placed++
	return at
}

// selectBy returns the upstream that the method selects by the costs.
func (a *alternative) selectBy(b int, k steer.Key, costs []float64) int {
	switch a.u.cfg.method {
	case twoByCompletion:
		return a.leastOf(costs, []int{a.u.random.IntN(len(costs)), a.u.random.IntN(len(costs))})
	case sampleOfThree:
		return a.leastOf(costs, a.sample(b, sampleOfThreeSize))
	}
	first := int(k.Hash() % uint64(len(costs)))
	order := make([]int, len(costs))
	for n := range order {
		order[n] = (first + n) % len(costs)
	}
	least := a.leastOf(costs, order)
	if a.u.cfg.method == leastTiesByHash {
		for _, i := range order {
			if costs[i] <= (1+tieMargin)*costs[least] {
				return i
			}
		}
	}
	return least
}

const sampleOfThreeSize = 3

// sample returns random upstreams with weights in proportion to their speeds.
func (a *alternative) sample(b, size int) []int {
	keys, list := make([]float64, unevenUpstreams), make([]int, 0, size)
	for i := range keys {
		keys[i] = a.u.random.ExpFloat64() * a.states[b][i].work
	}
	for range size {
		i := a.leastOf(keys, allUpstreams())
		list = append(list, i)
		keys[i] = math.Inf(1)
	}
	return list
}

func allUpstreams() []int {
	list := make([]int, unevenUpstreams)
	for i := range list {
		list[i] = i
	}
	return list
}

// leastOf returns the first index of the list with the least cost.
func (a *alternative) leastOf(costs []float64, list []int) int {
	best := list[0]
	for _, i := range list {
		if costs[i] < costs[best] {
			best = i
		}
	}
	return best
}

// cost returns the expected completion of a new flow's first request in seconds.
func (a *alternative) cost(b, i int) float64 {
	if a.u.cfg.method == oracle {
		active := a.u.sim.instances[i].sidecar.Active()
		cost := meanUnevenWork() / a.u.speedOf(i) * (1 + max(0, float64(active-slots+1))/slots)
		if !a.u.sim.instances[i].running {
			return math.Inf(1)
		}
		if a.u.uneven[i].dataCentre != b%a.u.cfg.dataCentres {
			cost += 2 * oneWayDelay.Seconds()
		}
		return cost
	}
	e := &a.states[b][i]
	e.update(a.u.sim.now, a.u.statuses[a.u.sim.instances[i].host])
	load := e.reported + e.placed*float64(a.u.cfg.balancers)
	return e.work * (1 + load/4/slots)
}

// update merges the last report and lets older placements decay.
func (e *expectation) update(now time.Duration, s steer.SidecarStatus) {
	keep := func(d time.Duration) float64 { return math.Exp(-d.Seconds()) }
	work := float64(s.Load.Work) / 1e4
	if work == 0 {
		work = meanUnevenWork()
	}
	reported := float64(s.Load.Flows + 4*max(0, s.Load.Active-slots))
	e.placed *= keep(now - e.decayedAt)
	e.decayedAt = now
	if s.LastSeen > e.reportedAt {
		share := 1 - keep(s.LastSeen-e.reportedAt)
		e.reported += (reported - e.reported) * share
		e.work += (work - e.work) * share
		e.reportedAt = s.LastSeen
	}
}
