package edge_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/corianderbay/corianderbay/exchange"
	"github.com/corianderbay/corianderbay/platform/standin"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// kindQuery is a presence query, see exchange.
const kindQuery = 0x27

// TestOpeningReportsVersion checks that a sidecar and a balancer of its data centre learn from
// an opening which of them has older routes, at most once within 100 ms.
func TestOpeningReportsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deployments[0]
		d.callers = 0
		w := newWorld(t, 1, d)
		m, near := w.sidecarsOf(0)[0], w.list(isBalancer)[0]
		remote := w.list(func(o *machine) bool { return isBalancer(o) && dataCentreOf(o.host) == 1 })[0]
		var mu sync.Mutex
		sent := make(map[registry.Host][]byte)
		heard := func(from, to registry.Host, b []byte) {
			mu.Lock()
			defer mu.Unlock()
			if from == m.host && (b[0] == kindHeartbeat2 || b[0] == kindQuery) {
				sent[to] = append(sent[to], b[0])
			}
		}
		w.heard.Store(&heard)
		port := uint16(firstPort)
		open := func(b *machine, version uint64) []byte {
			mu.Lock()
			clear(sent)
			mu.Unlock()
			port++
			p := steer.Packet{Source: registry.Endpoint{Host: w.addSilentCaller(1).host, Port: port}, Destination: routeAddresses[0], Flags: steer.SYN, Sequence: 7}
			h := steer.Header{Balancer: b.host, Service: registry.HashService(m.service), Version: version, Pinned: true}
			w.net.send(b.host.Port(exchangePort), m.host.Port(exchangePort), append(exchange.AppendForward(nil, &h), standin.Encode(p, nil)...))
			time.Sleep(10 * time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			return sent[b.host]
		}
		current := w.version
		time.Sleep(3 * time.Millisecond) // beside the regular heartbeats
		must.SliceEmpty(t, open(near, current))
		must.Eq(t, []byte{kindHeartbeat2}, open(near, current-1))
		must.SliceEmpty(t, open(near, current-1))
		time.Sleep(time.Second + 3*time.Millisecond)
		must.Eq(t, []byte{kindQuery}, open(near, current+1))
		must.SliceEmpty(t, open(remote, current-1))
		w.end()
	})
}
