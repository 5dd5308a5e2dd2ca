package steer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// crowdFailure is when something fails inside the crowd.
const crowdFailure = crowdBegin + 2*time.Second

// TestCrowdWithStartingBalancer restarts a balancer with empty state inside the crowd. It
// guards against a balancer that admits a crowd until it has counted openings itself.
func TestCrowdWithStartingBalancer(t *testing.T) {
	t.Parallel()
	quiet := simulateCrowd(crowdSetup{seed: 1})
	for _, demand := range []float64{1.5, 2.4} {
		t.Run(fmt.Sprintf("demand %.1f", demand), func(t *testing.T) {
			c := simulateCrowd(crowdSetup{seed: 1, admission: true, demand: demand, at: map[time.Duration]func(*crowdSimulation){
				crowdFailure: func(c *crowdSimulation) {
					c.startBalancer(0)
					c.publish()
				},
			}})
			c.mustServe(t, quiet)
		})
	}
}

// TestCrowdWithIsolatedDataCentre cuts a data centre off from the others inside the
// crowd, so that each side decides by its own loads. It guards against refusals by the
// last loads of the other side.
func TestCrowdWithIsolatedDataCentre(t *testing.T) {
	t.Parallel()
	quiet := simulateCrowd(crowdSetup{seed: 1})
	for _, demand := range []float64{1.5, 2.4} {
		t.Run(fmt.Sprintf("demand %.1f", demand), func(t *testing.T) {
			c := simulateCrowd(crowdSetup{seed: 1, admission: true, demand: demand, at: map[time.Duration]func(*crowdSimulation){
				crowdFailure: func(c *crowdSimulation) { c.isolated = true },
				crowdEnd:     func(c *crowdSimulation) { c.isolated = false },
			}})
			c.mustServe(t, quiet)
		})
	}
}

// TestCrowdWithHalfOfTheUpstreams drains half of the upstreams inside the crowd. Their open
// flows are served to their end, so that the test measures admission alone. It guards against a share for the less important route that does not shrink
// with the capacity.
func TestCrowdWithHalfOfTheUpstreams(t *testing.T) {
	t.Parallel()
	quiet := simulateCrowd(crowdSetup{seed: 1})
	for _, demand := range []float64{1.5, 2.4} {
		t.Run(fmt.Sprintf("demand %.1f", demand), func(t *testing.T) {
			c := simulateCrowd(crowdSetup{seed: 1, admission: true, demand: demand, at: map[time.Duration]func(*crowdSimulation){
				crowdFailure: func(c *crowdSimulation) {
					for i := range crowdUpstreams / 2 {
						entry := c.sim.entry(i, true)
						entry.DataCentre, entry.Slots = crowdDataCentre(i), crowdSlots
						c.sim.publish(i, entry)
					}
					c.publish()
				},
			}})
			kept := c.keptOf(quiet, 0, crowdBegin, crowdEnd)
			useful := 2 * c.usefulShare(crowdFailure+2*time.Second, crowdEnd)
			t.Logf("bookings kept %.3f, useful work %.3f of the remaining capacity, refusals %v", kept, useful, c.reasons)
			must.Zero(t, c.broken)
			must.GreaterEq(t, 0.98, kept)
			must.GreaterEq(t, 0.95, useful)
		})
	}
}

// mustServe checks the bounds that hold in a crowd when no capacity is lost.
func (c *crowdSimulation) mustServe(t *testing.T, quiet *crowdSimulation) {
	t.Helper()
	kept := c.keptOf(quiet, 0, crowdBegin, crowdEnd)
	useful := c.usefulShare(crowdBegin, crowdEnd)
	t.Logf("bookings kept %.3f, useful work %.3f of capacity, refusals %v", kept, useful, c.reasons)
	must.Zero(t, c.broken)
	must.Zero(t, c.reasons[steer.ReasonTimeout])
	must.GreaterEq(t, 0.98, kept)
	must.GreaterEq(t, 0.95, useful)
	c.mustBeNormal(t, quiet, crowdEnd+time.Second)
}

// TestCrowdWithoutAdmission guards against refusals where admission control must have no
// effect: upstreams that do not report their work, and routes of one priority.
func TestCrowdWithoutAdmission(t *testing.T) {
	t.Parallel()
	setups := map[string]crowdSetup{
		"no work reported": {seed: 1, admission: true, demand: 2.4, withoutWork: true},
		"one priority":     {seed: 1, admission: true, demand: 2.4, priority: 1},
		"no crowd":         {seed: 1, admission: true},
	}
	for name, setup := range setups {
		t.Run(name, func(t *testing.T) {
			c := simulateCrowd(setup)
			must.MapEmpty(t, c.reasons)
			setup.admission = false
			must.True(t, slices.EqualFunc(c.bySecond, simulateCrowd(setup).bySecond, slices.Equal[[]crowdOutcome]))
		})
	}
}
