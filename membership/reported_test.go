package membership_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/shoenig/test/must"
)

// TestReportedSidecarIsNotLost guards against a balancer that has started and gives up, alone, a
// sidecar whose announced stop it cannot have received.
func TestReportedSidecarIsNotLost(t *testing.T) {
	for name, direct := range map[string]bool{"reported": false, "direct": true} {
		t.Run(name, func(t *testing.T) {
			tb := newTable(1, membership.Balancer)
			const last = start + 5*time.Second
			heartbeats(tb, start, last, []byte{3, 4, 5, 6, 7, 8}, nil)
			b := sidecarOf(1, 1)
			b.DataCentre = "a"
			if direct {
				tb.MergeHeartbeat(last, host(2), b, versions(0, 0))
			} else {
				tb.MergeReport(last, 0, host(2), b, versions(0, 0))
			}
			absent := absentAfter(tb, last) != 0
			must.Eq(t, direct, absent)
			must.Eq(t, direct, len(tb.LocalLost(last+3*time.Second)) > 0)
		})
	}
}
