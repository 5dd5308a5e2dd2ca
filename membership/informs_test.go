package membership_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/shoenig/test/must"
)

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
