package edge_test

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/corianderbay/corianderbay/platform/standin"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// earlyReport is the time after a searched packet at which a test sends a report about it,
// before the first data centre has reported.
const earlyReport = 300 * time.Microsecond

// playSearch starts a deployment without callers and lets a balancer search for a flow that no
// upstream holds. It sends the reports earlyReport later, each from its sender, and returns the
// hops of the flow from the balancer to sidecars within the next 30 ms.
func playSearch(t *testing.T, reports func(w *world, k steer.Key) map[*machine][]byte) (hops []hop) {
	synctest.Test(t, func(t *testing.T) {
		d := deployments[0]
		d.callers = 0
		w := newWorld(t, 1, d)
		b := w.list(isBalancer)[0]
		c := w.addSilentCaller(1)
		p := steer.Packet{Source: registry.Endpoint{Host: c.host, Port: 40000}, Destination: routeAddresses[0], Flags: steer.ACK, Sequence: 7}
		list := reports(w, p.CallerKey())
		w.net.send(c.host.Port(packetPort), b.host.Port(packetPort), standin.Encode(p, make([]byte, requestSize)))
		time.Sleep(farDelay + 2*linkJitter + earlyReport)
		for from, report := range list {
			w.net.send(from.host.Port(exchangePort), b.host.Port(exchangePort), report)
		}
		time.Sleep(30 * time.Millisecond)
		w.check.mu.Lock()
		for _, h := range w.check.flow(p.CallerKey()).trace {
			if h.from == b.host && strings.HasPrefix(h.what, "forward") {
				hops = append(hops, h)
			}
		}
		w.check.mu.Unlock()
		w.end()
	})
	return hops
}

// addSilentCaller adds a caller that sends nothing by itself.
func (w *world) addSilentCaller(n int) *caller {
	c := &caller{w: w, host: registry.Host{callerNet, 64, 9, byte(n)}, inbox: make(chan []byte, 256)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byHost[c.host] = c
	return c
}

// sidecarsOf returns the machines with a sidecar in a data centre.
func (w *world) sidecarsOf(dc int) []*machine {
	return w.list(func(m *machine) bool { return hasUpstream(m) && dataCentreOf(m.host) == dc })
}

// TestReportedOwnerGetsSearchedPacket guards against a searched packet that reaches only other
// upstreams, since a report of the owner ends the search.
func TestReportedOwnerGetsSearchedPacket(t *testing.T) {
	var owner *machine
	hops := playSearch(t, func(w *world, k steer.Key) map[*machine][]byte {
		owner = w.sidecarsOf(2)[0]
		return map[*machine][]byte{owner: k.Append([]byte{kindFlows})}
	})
	must.SliceContainsFunc(t, hops, owner, func(h hop, m *machine) bool {
		return h.to == m.host && strings.Contains(h.what, "unknown false")
	})
}

// TestSecondReportDoesNotExtendSearch guards against copies of a searched packet in two data
// centres at once, since one data centre reported twice.
func TestSecondReportDoesNotExtendSearch(t *testing.T) {
	hops := playSearch(t, func(w *world, k steer.Key) map[*machine][]byte {
		reports := make(map[*machine][]byte)
		for _, m := range w.sidecarsOf(0)[:2] {
			r := steer.MissReport{Key: k, State: registry.State{Revision: 1}, Hosts: []registry.Host{m.host}}
			reports[m] = r.Append([]byte{kindMissing})
		}
		return reports
	})
	var elsewhere []hop
	for _, h := range hops {
		if dataCentreOf(h.to) != 0 {
			elsewhere = append(elsewhere, h)
		}
	}
	must.Len(t, 2, elsewhere, must.Sprint("one copy for each other data centre"))
	must.Greater(t, farDelay, elsewhere[1].at.Sub(elsewhere[0].at))
}

// TestReportOfAbsentOwnerResetsNothing guards against a reset of a searched flow whose owner's sidecar,
// which was absent, has just reported it.
func TestReportOfAbsentOwnerResetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deployments[0]
		d.callers = 0
		w := newWorld(t, 1, d)
		b, m := w.list(isBalancer)[0], w.sidecarsOf(0)[0]
		w.kill(m)
		time.Sleep(3 * time.Second)
		p := steer.Packet{Source: registry.Endpoint{Host: w.addSilentCaller(1).host, Port: 40000}, Destination: routeAddresses[0], Flags: steer.ACK, Sequence: 7}
		w.net.send(p.Source.Host.Port(packetPort), b.host.Port(packetPort), standin.Encode(p, make([]byte, requestSize)))
		time.Sleep(farDelay + 2*linkJitter + earlyReport)
		k := p.CallerKey()
		// Two packets wait; the second one is decided on in any case.
		p.Sequence += requestSize
		w.net.send(p.Source.Host.Port(packetPort), b.host.Port(packetPort), standin.Encode(p, make([]byte, requestSize)))
		time.Sleep(farDelay + 2*linkJitter)
		w.net.send(m.host.Port(exchangePort), b.host.Port(exchangePort), k.Append([]byte{kindFlows}))
		time.Sleep(time.Millisecond)
		w.check.mu.Lock()
		trace := slices.Clone(w.check.flow(k).trace)
		w.check.mu.Unlock()
		w.end()
		for _, h := range trace {
			must.StrNotContains(t, h.what, messageRefused)
		}
	})
}
