package peer_test

import (
	"testing"

	"github.com/corianderbay/corianderbay/standin"
	"github.com/shoenig/test/must"
)

// TestFleetFollowsPlatform checks that published bundles come into force at all
// nodes, also at a node that joins later, and that a bundle published during an
// outage of the platform comes into force after it.
func TestFleetFollowsPlatform(t *testing.T) {
	f := newFleet(t, 8, 10)
	for range 3 {
		f.awaitBundle(f.publish(), f.nodes...)
	}
	last := f.publish()
	f.awaitBundle(last, f.nodes...)
	joining := f.add("node-08", "dc0")
	f.publishList()
	f.awaitBundle(last, joining)

	f.platform.SetFault("", standin.PlatformFault{Down: true})
	missed := f.publish()
	f.platform.SetFault("", standin.PlatformFault{})
	f.awaitBundle(missed, f.nodes...)
	must.Positive(t, f.platform.Counts().Calls)
}
