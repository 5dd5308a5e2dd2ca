package flow_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/corianderbay/corianderbay/flow"
)

// TestOwnerStaysWhenTheMajorityGrows checks that a datagram flow keeps its
// upstream when a new upstream raises the majority that must hear its owner:
// one of the others moved to another service and hears it no more, and the new
// one had no time to say that it does.
func TestOwnerStaysWhenTheMajorityGrows(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed, 2, 3, 2)
		w.start()
		w.run(200 * time.Second)
		f := w.open(flow.UDP, fitting, nil)
		f.request()
		w.run(time.Second)
		w.moveUpstream(fitting, report, 2)
		for range 4 {
			w.run(30 * time.Second)
			f.request()
		}
		w.run(time.Second)
		w.addUpstream(fitting, 6)
		w.run(6 * time.Second)
		f.request()
		w.run(5 * time.Second)
		must.SliceEmpty(t, w.oracle.failures, must.Sprintf("seed %d", seed))
	}
}
