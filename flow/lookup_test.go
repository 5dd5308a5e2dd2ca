package flow_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
)

// BenchmarkLookupStrategies counts the flows that break with each of the strategies
// for finding the owner that docs/design/flows.md compares with the walk.
func BenchmarkLookupStrategies(b *testing.B) {
	const flows, changes = 20_000, 50
	b.Run("cache-at-balancers", func(b *testing.B) {
		for b.Loop() {
			b.ReportMetric(float64(cacheAtBalancers(flows, changes)), "broken")
		}
	})
	b.Run("pointers", func(b *testing.B) {
		for b.Loop() {
			broken, bytes := pointers(flows, changes)
			b.ReportMetric(float64(broken), "broken")
			b.ReportMetric(float64(bytes)/changes, "B/change")
		}
	})
	b.Run("walk", func(b *testing.B) {
		for b.Loop() {
			f, steady, after, _ := runPlannedChanges(flows, changes, "")
			b.ReportMetric(float64(f.broken), "broken")
			b.ReportMetric(steady, "visits-steady")
			b.ReportMetric(after, "visits-after-change")
		}
	})
}

// firstUpstream returns the first candidate that takes new flows under a plan.
func firstUpstream(p *plan, l *fleetFlow) bundle.UpstreamID {
	_, order := view{plan: p}.Candidates(nil, l.key)
	for _, c := range order {
		if !c.Leaving {
			return c.Upstream
		}
	}
	return order[0].Upstream
}

// sendTimes returns the delays after a change at which each flow sends a segment.
func sendTimes() []time.Duration {
	return []time.Duration{time.Second, 10 * time.Second, time.Minute}
}

// cacheAtBalancers routes by hash, and by a cache of the flows that the balancer
// itself has forwarded. It returns the number of broken flows.
func cacheAtBalancers(flows, changes int) int {
	f := newFleet(flows, 4, "")
	owners, broken := f.owners(), 0
	caches := make([]map[int]bool, len(f.balancers))
	for b := range caches {
		caches[b] = map[int]bool{}
	}
	for n := range changes {
		f.change(n)
		for i := range sendTimes() {
			if i == 1 {
				f.distribute(1)
			}
			for j := range f.flows {
				l, b := &f.flows[j], f.rng.IntN(len(f.balancers))
				if l.broken || caches[b][j] {
					continue
				}
				caches[b][j] = firstUpstream(f.balancers[b].plan, l) == owners[j]
				l.broken = !caches[b][j]
				if l.broken {
					broken++
				}
			}
		}
	}
	return broken
}

// pointers routes by hash. After a change each owner sends a pointer to the new
// first candidate of each flow, within the byte budget of hints. It returns the
// number of broken flows and of bytes sent.
func pointers(flows, changes int) (broken, bytes int) {
	const pointerBytes, budget = 64, 2000
	f := newFleet(flows, 4, "")
	owners := f.owners()
	pointed := make([]bundle.UpstreamID, flows) // the sidecar that has a pointer to the owner
	for n := range changes {
		f.change(n)
		f.distribute(1)
		sent := map[bundle.UpstreamID]int{}
		for _, at := range sendTimes() {
			for j := range f.flows {
				l := &f.flows[j]
				first := firstUpstream(f.plan, l)
				if l.broken || first == owners[j] || first == pointed[j] {
					continue
				}
				if (sent[owners[j]]+1)*pointerBytes <= budget*int(at/time.Second) {
					sent[owners[j]]++
					bytes += pointerBytes
					pointed[j] = first
					continue
				}
				l.broken = true
				broken++
			}
		}
	}
	return broken, bytes
}
