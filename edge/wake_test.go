package edge_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/wire"
	"github.com/shoenig/test/must"
)

const (
	// The kinds of heartbeats, see exchange.
	kindHeartbeat  = 0x01
	kindHeartbeat2 = 0x21
)

// TestWokenBalancerReportsNoLostSidecars guards against resets of flows by balancers of other
// data centres because one that was frozen takes its own pause for silence of the sidecars.
func TestWokenBalancerReportsNoLostSidecars(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, deployments[0])
		b := w.list(func(m *machine) bool { return isBalancer(m) && m.dataCentre == "C" })[0]
		var reports atomic.Int64
		heard := func(from, _ registry.Host, d []byte) {
			var h membership.Heartbeat
			if from == b.host && (d[0] == kindHeartbeat || d[0] == kindHeartbeat2) && wire.Decode(d[1:], &h) == nil && len(h.Lost) > 0 {
				reports.Add(1)
			}
		}
		w.heard.Store(&heard)
		for i := range 6 {
			thaw := w.freeze(b)
			time.Sleep(1500*time.Millisecond + time.Duration(i)*200*time.Millisecond)
			thaw()
			time.Sleep(2 * time.Second)
		}
		w.end()
		w.report()
		must.Zero(t, reports.Load())
	})
}

// TestRequestsArriveWhenSidecarIsBack guards against requests that wait for the caller's next
// transmission, up to 1.6 s, after a planned restart of the sidecar that they were sent to.
func TestRequestsArriveWhenSidecarIsBack(t *testing.T) {
	const pause = 2200 * time.Millisecond // between two transmissions of a request
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, deployments[0])
		for _, m := range w.list(hasUpstream)[:4] {
			w.restart(m, pause)
			time.Sleep(3 * time.Second)
		}
		w.end()
		w.report()
		must.Less(t, pause+300*time.Millisecond, w.slowest)
	})
}
