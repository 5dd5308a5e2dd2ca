package membership_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/shoenig/test/must"
)

// TestReportedSidecarIsNotLost guards against a balancer that has started and lists a sidecar
// as lost whose announced stop it cannot have received.
func TestReportedSidecarIsNotLost(t *testing.T) {
	sidecar := registry.Host{10, 0, 0, 2}
	table := membership.New(membership.Config{Self: registry.Host{10, 0, 0, 1}, Role: membership.Balancer, DataCentre: "a", Started: time.Second})
	b := membership.Heartbeat{Role: membership.Sidecar, DataCentre: "a", Incarnation: 1, Sequence: 1}
	table.MergeReport(time.Second, 200*time.Millisecond, sidecar, b, membership.Versions{})
	must.SliceEmpty(t, table.LocalLost(3*time.Second))
	b.Sequence++
	table.MergeHeartbeat(4*time.Second, sidecar, b, membership.Versions{})
	must.SliceContains(t, table.LocalLost(6*time.Second), sidecar)
}
