package steer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// TestLateAnswerDoesNotReplaceEntry guards against a balancer that takes an upstream which
// answered another copy of the opening for the owner of an open flow.
func TestLateAnswerDoesNotReplaceEntry(t *testing.T) {
	sim := newSimulation(1, service, service)
	k := flowKey(1)
	at := sim.open(0, k)
	sim.deliverNotices()
	p := sim.request(k, at)
	h := steer.Header{Balancer: balancerHost(0), Service: registry.HashService(service), State: registry.State{Revision: sim.revision}}
	must.Eq(t, 1-at, sim.execute(&steer.Forward{Host: sim.instances[1-at].host, Header: h}, opening(k)))
	sim.deliverNotices()
	f, ok := sim.balancers[0].Packet(sim.now, &p, new(steer.Forward)).(*steer.Forward)
	must.True(t, ok)
	must.Eq(t, sim.instances[at].host, f.Host)
}

// TestUnreportedFlowOfLostUpstreamIsSearched guards against the reset of an open flow, since an
// upstream that received another copy of its opening is lost.
func TestUnreportedFlowOfLostUpstreamIsSearched(t *testing.T) {
	for n := range 20 {
		sim := newMixedSimulation()
		k := flowKey(n)
		o := opening(k)
		copied, ok := sim.balancers[1].Packet(sim.now, &o, new(steer.Forward)).(*steer.Forward)
		must.True(t, ok)
		former := slices.IndexFunc(sim.instances, func(i *instance) bool { return i.host == copied.Host })
		at := (former + 1 + n%(len(sim.instances)-1)) % len(sim.instances)
		p := sim.openAt(t, at, k)
		sim.lose(former)
		sim.instances[former].running = false
		sim.advance(time.Second)
		must.Eq(t, at, sim.send(1, p), must.Sprintf("a flow of upstream %d, opened at %d before", at, former))
		must.SliceEmpty(t, sim.balancers[1].EvictOrphans(sim.now))
		must.SliceEmpty(t, sim.resets)
	}
}

// TestOutdatedEntryDoesNotHideOwner guards against packets that follow an outdated entry of a
// balancer to the same silent upstream each time, and reach the owner of their flow never.
func TestOutdatedEntryDoesNotHideOwner(t *testing.T) {
	for at := range 9 {
		for entry := range 9 {
			for silent := range 9 {
				if at == entry || at == silent || entry == silent {
					continue
				}
				sim := newMixedSimulation()
				p := sim.openAt(t, at, flowKey(at))
				sim.balancers[1].Learn(sim.now, flowKey(at), sim.instances[entry].host)
				sim.advance(tick)
				sim.instances[silent].running = false
				sim.publishFleet()
				elapsed := sim.retransmit(1, at, p)
				must.Between(t, 0, elapsed, searchEnd, must.Sprintf("a flow of upstream %d, with an entry for %d and %d silent", at, entry, silent))
			}
		}
	}
}
