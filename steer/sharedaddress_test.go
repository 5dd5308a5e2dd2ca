package steer_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/shoenig/test/must"
)

// publishOdd adds an entry of another writer with a key of its own.
func (sim *simulation) publishOdd(key string, u *registry.Upstream) {
	sim.revision++
	c := registry.Change{Key: key, Revision: sim.revision, Upstream: u}
	sim.directory.Apply(sim.now, registry.Update{State: registry.State{Revision: sim.revision}, From: registry.State{Revision: sim.revision - 1}, Changes: []registry.Change{c}})
}

// TestEntryWithAddressOfLiveUpstream guards against flows that are lost, reset or opened at
// another service because an entry of another writer has the address of a live upstream.
func TestEntryWithAddressOfLiveUpstream(t *testing.T) {
	for name, change := range map[string]func(*registry.Upstream){
		"same":                func(*registry.Upstream) {},
		"other service":       func(u *registry.Upstream) { u.Service = otherService },
		"unknown service":     func(u *registry.Upstream) { u.Service = "x" },
		"draining":            func(u *registry.Upstream) { u.Draining = true },
		"many slots":          func(u *registry.Upstream) { u.Slots = registry.MaxSlots },
		"other data centre":   func(u *registry.Upstream) { u.DataCentre = far },
		"unknown data centre": func(u *registry.Upstream) { u.DataCentre = "mars" },
		"other port":          func(u *registry.Upstream) { u.Address.Port = 81 },
	} {
		for _, c := range []struct {
			name  string
			later time.Duration // than the live upstream
			homes []string
		}{
			{"started before", -1, nil},
			{"started after", 1, nil},
			{"at home", 1, []string{nearRegion}},
		} {
			t.Run(name+" "+c.name, func(t *testing.T) {
				sim := newSimulation(2, service, service, service, service, otherService, otherService)
				sim.publishHomes(2, c.homes...)
				const flows = 40
				owner := make([]int, flows)
				for n := range owner {
					owner[n] = sim.open(0, flowKey(n))
				}
				sim.dropNotices()
				for i := range 5 { // one upstream keeps its address for itself
					u := sim.entry(i, false)
					u.StartedAt += int64(c.later)
					change(u)
					u.ID = "odd" + u.ID
					sim.publishOdd(u.ID, u)
				}
				sim.publishFleet()
				for n, at := range owner {
					must.Eq(t, at, sim.send(1, sim.request(flowKey(n), at)), must.Sprintf("flow %d", n))
				}
				must.SliceEmpty(t, sim.resets)
				for n := range flows {
					at := sim.send(1, opening(flowKey(flows+n)))
					if at >= 0 {
						must.Eq(t, service, sim.instances[at].service)
					}
				}
			})
		}
	}
}
