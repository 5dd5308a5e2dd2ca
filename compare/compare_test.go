package compare_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/compare"
	"github.com/corianderbay/corianderbay/load"
	"github.com/shoenig/test/must"
)

const (
	shortSeeds = 10
	longSeeds  = 2
	workers    = 4
)

// columnMeans runs the case whose name begins with name for the given policies,
// and returns a function that returns the mean of a column for a policy.
func columnMeans(t *testing.T, name string, seeds int, policies ...string) func(policyName, column string) float64 {
	t.Helper()
	for _, c := range compare.Cases(compare.ReducedDurations()) {
		if !strings.HasPrefix(c.Name, name) {
			continue
		}
		c.Policies = slices.DeleteFunc(c.Policies, func(policy compare.NamedPolicy) bool {
			return !slices.Contains(policies, policy.Name)
		})
		table := c.Run(seeds, workers)
		return func(policyName, column string) float64 {
			row, ok := table.Row(policyName)
			must.True(t, ok)
			for i, col := range c.Columns {
				if col.Name == column {
					return row.Interval(i).Mean
				}
			}
			must.Unreachable(t)
			return 0
		}
	}
	must.Unreachable(t, must.Sprintf("no case %q", name))
	return nil
}

const acceptOrPass = "accept or pass"

func TestCompareShortFlows(t *testing.T) {
	mean := columnMeans(t, "short flows, 70% load, 7 upstreams", shortSeeds, "hashing", acceptOrPass, "ideal")
	wait := mean(acceptOrPass, "wait p99 (s)")
	t.Logf("wait p99: hashing %.3f s, accept or pass %.3f s, ideal %.3f s", mean("hashing", "wait p99 (s)"), wait, mean("ideal", "wait p99 (s)"))
	must.LessEq(t, 0.3*mean("hashing", "wait p99 (s)"), wait)
	must.LessEq(t, 2.5*mean("ideal", "wait p99 (s)"), wait)
	must.LessEq(t, 1.5, mean(acceptOrPass, "visits"))
	must.LessEq(t, 1.1, mean(acceptOrPass, "attempts/request"))
}

func TestCompareOneBadUpstream(t *testing.T) {
	for _, fault := range []string{"four times slower", "reports no load", "flaps each 2 s"} {
		t.Run(fault, func(t *testing.T) {
			mean := columnMeans(t, "short flows, 70% load, one upstream "+fault, shortSeeds, acceptOrPass, "ideal")
			t.Logf("wait p99: accept or pass %.3f s, ideal %.3f s", mean(acceptOrPass, "wait p99 (s)"), mean("ideal", "wait p99 (s)"))
			must.LessEq(t, 2.5*mean("ideal", "wait p99 (s)"), mean(acceptOrPass, "wait p99 (s)"))
			must.LessEq(t, 1.1, mean(acceptOrPass, "attempts/request"))
		})
	}
}

// TestCompareSpillover checks that flows go to other data centres while the near
// one is full, and to the near one again as soon as it has room.
func TestCompareSpillover(t *testing.T) {
	mean := columnMeans(t, "short flows, 70% load, 60% of callers", shortSeeds, acceptOrPass, "hashing")
	must.LessEq(t, 0.1*mean("hashing", "wait p99 (s)"), mean(acceptOrPass, "wait p99 (s)"))
	must.LessEq(t, 1.5*mean(acceptOrPass, "far share before"), mean(acceptOrPass, "in the 10 s after"))
}

func TestCompareLongFlows(t *testing.T) {
	steady := columnMeans(t, "14,000 long flows on 7 upstreams, steady", longSeeds, acceptOrPass)
	must.LessEq(t, 1.01, steady(acceptOrPass, "worst max/mean"))

	replaced := columnMeans(t, "14,000 long flows, one upstream replaced", longSeeds, "hashing", acceptOrPass)
	must.LessEq(t, replaced("hashing", "under 1.05 after (s)")/2, replaced(acceptOrPass, "under 1.05 after (s)"))
	must.Less(t, replaced("hashing", "most new flows/s"), replaced(acceptOrPass, "most new flows/s"))
}

func TestCompareOverload(t *testing.T) {
	on := columnMeans(t, "load of 1.5 for a minute, limits on", longSeeds, acceptOrPass)
	must.GreaterEq(t, 0.95, on(acceptOrPass, "useful/capacity"))
	must.LessEq(t, 10, on(acceptOrPass, "normal after (s)"))
	must.Zero(t, on(acceptOrPass, "late answers/opening"))
	must.LessEq(t, 1.1, on(acceptOrPass, "attempts/request"))
	must.LessEq(t, 3.7, on(acceptOrPass, "visits"))

	off := columnMeans(t, "load of 1.5 for a minute, limits off", longSeeds, acceptOrPass)
	must.Less(t, 0.5, off(acceptOrPass, "useful/capacity"))
}

func TestCompareLostPlace(t *testing.T) {
	mean := columnMeans(t, "14,000 long flows, one place of 2 upstreams lost", longSeeds, acceptOrPass)
	must.LessEq(t, 2500, mean(acceptOrPass, "most connections"))
	must.Zero(t, mean(acceptOrPass, "flows of others broken"))
}

// TestCompareShortFlowsAfterRestart checks that upstreams which are all in their
// cold start share the load like upstreams that have been running for long.
func TestCompareShortFlowsAfterRestart(t *testing.T) {
	mean := columnMeans(t, "short flows, 70% load, in the minute after", longSeeds, acceptOrPass, "hashing")
	must.LessEq(t, 0.5*mean("hashing", "wait p99 (s)"), mean(acceptOrPass, "wait p99 (s)"))
	must.LessEq(t, 1.5, mean(acceptOrPass, "visits"))
}

func TestCompareMassRestart(t *testing.T) {
	mean := columnMeans(t, "14,000 long flows, all upstreams restarted", longSeeds, acceptOrPass)
	must.LessEq(t, 1.01, mean(acceptOrPass, "max/mean at the end"))
	must.LessEq(t, 60, mean(acceptOrPass, "under 1.05 after (s)"))
}

func TestComparePlannedChanges(t *testing.T) {
	for _, firm := range []string{"Wiryawan", "Rótulos"} {
		t.Run(firm, func(t *testing.T) {
			mean := columnMeans(t, firm, longSeeds, "hashing", "least known", acceptOrPass, "ideal")
			must.Zero(t, mean(acceptOrPass, "broken flows"))
			must.Less(t, mean("hashing", "max/mean"), mean(acceptOrPass, "max/mean"))
			must.Less(t, mean("least known", "max/mean"), mean(acceptOrPass, "max/mean"))
			must.LessEq(t, 1.05*mean("ideal", "max/mean"), mean(acceptOrPass, "max/mean"))
		})
	}
}

func TestRunIsDeterministic(t *testing.T) {
	cfg := compare.Config{
		Seed:    7,
		Policy:  load.AcceptOrPass{},
		Traffic: compare.ShortFlows{Load: 0.7, Mean: 100 * time.Millisecond},
		Faults:  []compare.Fault{compare.Flap{Upstream: 1, Period: time.Second}},
		Length:  30 * time.Second,
	}
	must.Eq(t, compare.Run(cfg).Waits.Export(), compare.Run(cfg).Waits.Export())
}

func TestIntervalOfTenSeeds(t *testing.T) {
	i := compare.NewInterval([]float64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
	must.Eq(t, "5.5 ± 2.2", i.String())
}
