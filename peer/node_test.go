package peer_test

import (
	"testing"

	"github.com/corianderbay/corianderbay/standin"
	"github.com/shoenig/test/must"
)

// TestFleetFollowsPlatform rolls bundles, also by readers that the platform
// does not answer, and starts a process that learns from peers while the
// platform is down.
func TestFleetFollowsPlatform(t *testing.T) {
	f := newFleet(t, 8, 10)
	for range 3 {
		f.await(f.publish(), f.nodes...)
	}
	last := f.publish()
	f.await(last, f.nodes...)
	late := f.add("node-08", "dc0")
	f.publishList()
	f.await(last, late)

	f.platform.SetFault("", standin.PlatformFault{Down: true})
	missed := f.publish()
	f.platform.SetFault("", standin.PlatformFault{})
	f.await(missed, f.nodes...)
	must.Positive(t, f.platform.Counts().Calls)
}
