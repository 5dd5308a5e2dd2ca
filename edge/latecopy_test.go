package edge_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/corianderbay/corianderbay/exchange"
	"github.com/corianderbay/corianderbay/platform"
	"github.com/corianderbay/corianderbay/platform/standin"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// TestSearchedCopyIsNotOfferedAfterFreeze guards against copies of a searched packet that wait at
// a frozen sidecar and reach upstreams when the one that holds the flow has the packet.
func TestSearchedCopyIsNotOfferedAfterFreeze(t *testing.T) {
	const freeze = 700 * time.Millisecond // too short for a pause
	for _, c := range []struct {
		name                  string
		frozen, remote, offer bool
	}{
		{"frozen", true, true, false},
		{"not frozen", false, true, true},
		{"not stored by the balancer", true, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := deployments[0]
				d.callers = 0
				w := newWorld(t, 1, d)
				m, b := w.sidecarsOf(0)[0], w.list(isBalancer)[0]
				w.restart(m, 300*time.Millisecond) // so that it offers packets of unknown flows
				time.Sleep(time.Second)
				thaw := func() {}
				if c.frozen {
					thaw = w.freeze(m)
				}
				time.Sleep(freeze / 2)
				p := steer.Packet{Source: registry.Endpoint{Host: w.addSilentCaller(1).host, Port: 40000}, Destination: routeAddresses[0], Flags: steer.ACK, Sequence: 7}
				h := steer.Header{Balancer: b.host, Service: registry.HashService(m.service), UnknownFlow: true, Remote: c.remote}
				w.net.send(b.host.Port(exchangePort), m.host.Port(exchangePort), append(exchange.AppendForward(nil, &h), standin.Encode(p, nil)...))
				time.Sleep(freeze / 2)
				thaw()
				time.Sleep(50 * time.Millisecond)
				w.check.mu.Lock()
				offered := false
				for _, hop := range w.check.flow(p.CallerKey()).trace {
					offered = offered || hop.to == m.host && strings.HasSuffix(hop.what, "port 7003")
				}
				w.check.mu.Unlock()
				w.end()
				must.Eq(t, c.offer, offered)
			})
		})
	}
}

// TestOwnerTakesSearchedCopyAfterFreeze guards against a searched packet that reaches other upstreams
// and not its own, whose sidecar drops the copy since it stood still for a moment.
func TestOwnerTakesSearchedCopyAfterFreeze(t *testing.T) {
	const freeze = 400 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		d := deployments[0]
		d.callers = 0
		w := newWorld(t, 1, d)
		m, b, c := w.sidecarsOf(0)[0], w.list(isBalancer)[0], w.addSilentCaller(1)
		send := func(p steer.Packet, unknown bool) {
			p.Source, p.Destination = registry.Endpoint{Host: c.host, Port: 40000}, routeAddresses[0]
			h := steer.Header{Balancer: b.host, Service: registry.HashService(m.service), UnknownFlow: unknown, Remote: unknown}
			w.net.send(b.host.Port(exchangePort), m.host.Port(exchangePort), append(exchange.AppendForward(nil, &h), standin.Encode(p, nil)...))
		}
		send(steer.Packet{Flags: steer.SYN, Sequence: 7}, false)
		var answer steer.Packet
		must.NoError(t, platform.Codec{}.Decode(<-c.inbox, &answer))
		confirmation := steer.Packet{Flags: steer.ACK, Sequence: 8, Acknowledged: answer.Sequence + 1}
		send(confirmation, false)
		time.Sleep(time.Second)
		delivered := func() (n int) {
			w.check.mu.Lock()
			defer w.check.mu.Unlock()
			for _, hop := range w.check.flow(steer.Key{Caller: answer.Destination, Address: answer.Source}).trace {
				if hop.to == m.host && strings.HasSuffix(hop.what, "port 7003") {
					n++
				}
			}
			return n
		}
		before := delivered()
		thaw := w.freeze(m)
		time.Sleep(freeze / 2)
		send(confirmation, true)
		time.Sleep(freeze / 2)
		thaw()
		time.Sleep(50 * time.Millisecond)
		after := delivered()
		w.end()
		must.Positive(t, before)
		must.Eq(t, before+1, after)
	})
}
