package membership_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/shoenig/test/must"
)

// TestOlderBalancersInformStartedOnes guards against balancers that start together and get
// reports of all processes only from each other: they rank before the older ones, and know
// nothing of sidecars that stopped before.
func TestOlderBalancersInformStartedOnes(t *testing.T) {
	const (
		balancers = 6
		started   = start + time.Minute
	)
	for a := byte(1); a <= balancers; a++ {
		for b := a + 1; b <= balancers; b++ {
			informed := map[byte]int{}
			for self := byte(1); self <= balancers; self++ {
				if self == a || self == b {
					continue
				}
				tb := newTable(self, membership.Balancer)
				for other := byte(1); other <= balancers; other++ {
					tb.MergeHeartbeat(start, host(other), balancerHeartbeat(true), versions(0, 0))
				}
				for other := byte(1); other <= balancers; other++ {
					h := balancerHeartbeat(true)
					h.Sequence = 1
					if other == a || other == b {
						h.Incarnation++
					}
					tb.MergeHeartbeat(started, host(other), h, versions(0, 0))
				}
				for _, young := range []byte{a, b} {
					if tb.InformsStarted(started, host(young)) {
						informed[young]++
					}
				}
			}
			must.Eq(t, map[byte]int{a: 2, b: 2}, informed, must.Sprint("older balancers that inform ", a, " and ", b))
		}
	}
}

// TestProcessReportedBeforeIsIntroduced guards against a balancer that starts and gets no reports,
// since a digest reported its start before its first heartbeat arrived.
func TestProcessReportedBeforeIsIntroduced(t *testing.T) {
	tb := newTable(1, membership.Balancer)
	b := balancerHeartbeat(true)
	must.True(t, tb.MergeReport(start, 0, host(2), b, versions(0, 0)).Restarted)
	b.Sequence++
	must.Eq(t, membership.Result{Newer: true, Introduced: true, StoreFresh: true}, tb.MergeHeartbeat(start+1, host(2), b, versions(0, 0)))
	b.Sequence++
	must.Eq(t, membership.Result{Newer: true}, tb.MergeHeartbeat(start+2, host(2), b, versions(0, 0)))
	b.Incarnation++
	must.True(t, tb.MergeHeartbeat(start+time.Second, host(2), b, versions(0, 0)).Introduced)
}
