package steer_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

const (
	tick = 100 * time.Millisecond
	// maxMisdelivery and maxMisdelivered are the limits of the users' rule: an open flow is
	// broken when for maxMisdelivery as many of its packets reached other upstreams, and
	// none its own.
	maxMisdelivery  = 2 * time.Second
	maxMisdelivered = 3
)

// A caller sends a packet that is not acknowledged again after these times. A balancer
// resends the first copy after the times in searchRetries, and drops further copies until
// searchEnd.
var (
	retransmissions = []time.Duration{0, 2 * tick, 6 * tick, 14 * tick, 30 * tick}
	searchRetries   = []time.Duration{tick, 3 * tick, 7 * tick}
)

const searchEnd = 8 * tick

// retransmit plays a packet of an open flow of the upstream at, from a caller that sends it
// again until the upstream receives it. It returns after how long that was, and -1 when
// none of the copies reached the upstream.
func (sim *simulation) retransmit(balancer, at int, p steer.Packet) time.Duration {
	start, search := sim.now, time.Duration(-1)
	for _, s := range sim.instances {
		s.reached = nil
	}
	for sim.now <= start+retransmissions[len(retransmissions)-1] {
		elapsed := sim.now - start
		if search >= 0 {
			for i, after := range searchRetries {
				if elapsed-search == after {
					sim.retrySearch(balancer, i+1, p)
				}
			}
			if elapsed-search >= searchEnd {
				search = -1
			}
		}
		for _, after := range retransmissions {
			if elapsed != after || search >= 0 {
				continue
			}
			a := sim.balancers[balancer].Packet(sim.now, &p, new(steer.Forward))
			if f, ok := a.(*steer.Forward); ok && f.Header.UnknownFlow {
				search = elapsed
			}
			sim.execute(a, p)
		}
		if len(sim.instances[at].reached) > 0 {
			return elapsed
		}
		sim.advance(tick)
	}
	return -1
}

func (sim *simulation) retrySearch(balancer, attempt int, p steer.Packet) {
	list, _ := sim.balancers[balancer].RetrySearch(sim.now, &p, attempt)
	for i := range list {
		sim.execute(&list[i], p)
	}
}

// misdelivered returns how many packets reached upstreams other than at, and the time
// between the first and the last of them.
func (sim *simulation) misdelivered(at int) (count int, span time.Duration) {
	first, last := time.Duration(-1), time.Duration(0)
	for i, s := range sim.instances {
		if i == at {
			continue
		}
		for _, t := range s.reached {
			count++
			if first < 0 || t < first {
				first = t
			}
			last = max(last, t)
		}
	}
	return count, last - max(0, first)
}

// newMixedSimulation returns a simulation of the size of the smallest deployments: two
// thirds of the upstreams are in the data centre of the balancers.
func newMixedSimulation() *simulation {
	sim := newSimulation(2, service, service, service, service, service, service, otherService, otherService, service)
	sim.publishRoutes(2, service, otherService)
	sim.publishFleet()
	return sim
}

// openAt opens the flow k at an upstream that need not be the first one in the order of a
// search, without notices to balancers. It returns a request on the flow.
func (sim *simulation) openAt(t *testing.T, at int, k steer.Key) steer.Packet {
	t.Helper()
	h := steer.Header{Balancer: balancerHost(0), Service: registry.HashService(sim.instances[at].service), State: registry.State{Revision: sim.revision}}
	to := &steer.Forward{Host: sim.instances[at].host, Header: h}
	must.Eq(t, at, sim.execute(to, opening(k)))
	p := sim.request(k, at)
	must.Eq(t, at, sim.execute(to, p))
	sim.dropNotices()
	return p
}

// TestPacketsDoNotVisitOthersWhileOwnerRestarts guards against packets that reach other
// upstreams for as long as the sidecar of their flow restarts.
func TestPacketsDoNotVisitOthersWhileOwnerRestarts(t *testing.T) {
	for at := range 9 {
		sim := newMixedSimulation()
		p := sim.openAt(t, at, flowKey(at))
		sim.adjust = func(_ string, f *steer.Fleet) {
			f.Sidecars[sim.instances[at].host] = steer.SidecarStatus{DataCentre: dataCentreOf(at), Stopping: true}
		}
		sim.instances[at].running = false // packets to it are lost
		sim.publishFleet()
		must.Eq(t, -1, sim.retransmit(1, at, p))
		count, span := sim.misdelivered(at)
		must.False(t, count >= maxMisdelivered && span >= maxMisdelivery, must.Sprintf("a flow of upstream %d: %d packets reached others for %v", at, count, span))
		must.SliceEmpty(t, sim.resets)
	}
}

// TestUpstreamGetsPacketOfUnknownFlowOnce guards against upstreams that get the packets of a
// flow that they do not hold again from each balancer that its packets come to.
func TestUpstreamGetsPacketOfUnknownFlowOnce(t *testing.T) {
	for at := range 9 {
		sim := newMixedSimulation()
		p := sim.openAt(t, at, flowKey(at))
		sim.instances[at].running = false // packets to it are lost
		sim.adjust = func(_ string, f *steer.Fleet) {
			f.Sidecars[sim.instances[at].host] = steer.SidecarStatus{DataCentre: dataCentreOf(at), Stopping: true}
		}
		sim.publishFleet()
		for range 4 {
			sim.startBalancer(1)
			sim.publishFleet()
			must.Eq(t, -1, sim.send(1, p))
			sim.advance(time.Second)
		}
		for i, s := range sim.instances {
			must.LessEq(t, 1, len(s.reached), must.Sprintf("upstream %d, a flow of %d", i, at))
		}
	}
}

// TestOfferedPacketsFollowOpening guards against an upstream that is not offered the
// packets of a flow that was opened there after it returned one of an earlier flow.
func TestOfferedPacketsFollowOpening(t *testing.T) {
	sim := newSimulation(1, service, service)
	h := steer.Header{Balancer: balancerHost(0), Service: registry.HashService(service), State: registry.State{Revision: sim.revision}}
	for i := range sim.instances {
		k := flowKey(i)
		early := steer.Packet{Source: k.Caller, Destination: k.Address, Flags: steer.ACK, Sequence: 3, Acknowledged: 9}
		must.Eq(t, -1, sim.execute(&steer.Forward{Host: sim.instances[i].host, Header: h}, early))
		must.Eq(t, i, sim.execute(&steer.Forward{Host: sim.instances[i].host, Header: h}, opening(k)))
		must.Eq(t, i, sim.execute(&steer.Forward{Host: sim.instances[i].host, Header: h}, sim.request(k, i)))
	}
}

// TestNextSearchStartsAtRemainingUpstreams guards against packets that reach upstreams whose
// sidecars restarted since they returned one, before the only upstream that is left.
func TestNextSearchStartsAtRemainingUpstreams(t *testing.T) {
	for at := range 9 {
		sim := newMixedSimulation()
		p := sim.openAt(t, at, flowKey(at))
		owner := sim.instances[at]
		owner.running = false // packets to it are lost
		sim.adjust = func(_ string, f *steer.Fleet) {
			f.Sidecars[owner.host] = steer.SidecarStatus{DataCentre: dataCentreOf(at), Stopping: true}
		}
		sim.publishFleet()
		must.Eq(t, -1, sim.send(1, p))
		for attempt := range len(searchRetries) {
			sim.advance(tick)
			sim.retrySearch(1, attempt+1, p)
		}
		sim.advance(2 * time.Second)
		owner.running, sim.adjust = true, nil
		for i, s := range sim.instances {
			s.reached = nil
			sim.startSidecar(i)
		}
		sim.publishFleet()
		list, _ := sim.balancers[1].RetrySearch(sim.now, &p, 1)
		must.Len(t, 1, list)
		must.Eq(t, owner.host, list[0].Host)
		must.Eq(t, at, sim.send(1, p))
		count, _ := sim.misdelivered(at)
		must.Zero(t, count, must.Sprintf("a flow of upstream %d", at))
	}
}

// TestSilentUpstreamDoesNotHideOwner guards against a search that ends at an upstream that
// neither accepts nor returns the packet, in front of the upstream that holds the flow.
func TestSilentUpstreamDoesNotHideOwner(t *testing.T) {
	for at := range 9 {
		for silent := range 9 {
			if silent == at {
				continue
			}
			sim := newMixedSimulation()
			p := sim.openAt(t, at, flowKey(at))
			sim.instances[silent].running = false
			sim.publishFleet()
			elapsed := sim.retransmit(1, at, p)
			must.Between(t, 0, elapsed, searchEnd, must.Sprintf("a flow of upstream %d, with %d silent", at, silent))
		}
	}
}

// TestReportedSilentUpstreamIsSearchedLast guards against packets that are lost at an
// upstream whose sidecar reports that it does not react, while another one holds the flow.
func TestReportedSilentUpstreamIsSearchedLast(t *testing.T) {
	for at := range 6 {
		sim := newSimulation(2, service, service, service, service, service, service)
		p := sim.openAt(t, at, flowKey(at))
		silent := (at + 3) % 6 // in the same data centre
		sim.instances[silent].running = false
		sim.adjust = func(_ string, f *steer.Fleet) {
			i := f.Sidecars[sim.instances[silent].host]
			i.Load.Silent = true
			f.Sidecars[sim.instances[silent].host] = i
		}
		sim.publishFleet()
		must.Eq(t, 0, sim.retransmit(1, at, p), must.Sprintf("a flow of upstream %d", at))
	}
}

// TestSearchReachesDataCentreWithLateHeartbeats guards against a search that leaves out all
// upstreams of a data centre because reports of them are late.
func TestSearchReachesDataCentreWithLateHeartbeats(t *testing.T) {
	for _, at := range []int{2, 5, 8} {
		must.Eq(t, far, dataCentreOf(at))
		sim := newMixedSimulation()
		p := sim.openAt(t, at, flowKey(at))
		sim.adjust = func(dataCentre string, f *steer.Fleet) {
			for i, s := range sim.instances {
				if dataCentre == near && dataCentreOf(i) == far {
					f.Sidecars[s.host] = steer.SidecarStatus{DataCentre: far, Stopping: true, Suspected: true}
				}
			}
		}
		sim.publishFleet()
		elapsed := sim.retransmit(1, at, p)
		must.Between(t, 0, elapsed, tick, must.Sprintf("a flow of upstream %d", at))
		must.SliceEmpty(t, sim.resets)
	}
}

// TestUnreachableUpstreamDoesNotHoldReportsBack guards against a search that reports
// nothing because it ends at a sidecar that is gone.
func TestUnreachableUpstreamDoesNotHoldReportsBack(t *testing.T) {
	sim := newSimulation(1, service, service, otherService, service)
	at := sim.open(0, flowKey(1))
	p := sim.request(flowKey(1), at)
	sim.restartAll()
	sim.instances[3].running = false
	sim.adjust = func(_ string, f *steer.Fleet) {
		f.Sidecars[sim.instances[3].host] = steer.SidecarStatus{DataCentre: near, Stopping: true, Suspected: true}
	}
	sim.publishFleet()
	must.Eq(t, -1, sim.send(0, p))
	must.SliceEmpty(t, sim.resets)
	absent := sim.now + tick
	sim.adjust = func(_ string, f *steer.Fleet) {
		f.Sidecars[sim.instances[3].host] = steer.SidecarStatus{DataCentre: near, Stopping: true, AbsentSince: absent}
	}
	sim.advance(5 * tick)
	sim.retryHeld()
	must.Eq(t, []steer.Key{flowKey(1)}, sim.resets)
}

// TestSearchIsNotDivertedByPassedOnOpening guards against a search that leaves a data centre
// before it has covered it, because a sidecar there once passed the opening on.
func TestSearchIsNotDivertedByPassedOnOpening(t *testing.T) {
	for at := range 9 {
		for passing := range 9 {
			if passing == at {
				continue
			}
			sim := newMixedSimulation()
			k := flowKey(at)
			for i, s := range sim.instances { // the opening is passed on to the other data centre
				s.full = dataCentreOf(i) == dataCentreOf(passing)
			}
			h := steer.Header{Balancer: balancerHost(0), Service: registry.HashService(sim.instances[passing].service), State: registry.State{Revision: sim.revision}}
			first := opening(k)
			first.Sequence--
			must.NotEq(t, passing, sim.execute(&steer.Forward{Host: sim.instances[passing].host, Header: h}, first))
			for _, s := range sim.instances {
				s.full = false
			}
			p := sim.openAt(t, at, k)
			elapsed := sim.retransmit(1, at, p)
			must.Eq(t, 0, elapsed, must.Sprintf("a flow of upstream %d, whose opening %d passed on", at, passing))
		}
	}
}

// lose records at the balancers that the sidecar of an instance announced its end.
func (sim *simulation) lose(i int) {
	host, at := sim.instances[i].host, sim.now
	sim.adjust = func(_ string, f *steer.Fleet) {
		f.Sidecars[host] = steer.SidecarStatus{DataCentre: dataCentreOf(i), Stopping: true, Ended: true, EndedAt: at}
	}
	sim.publishFleet()
}

// TestLossOfFormerSidecarKeepsReportedFlows guards against a reset of a flow of a new
// upstream because the end of the one before it at the same address is the last news.
func TestLossOfFormerSidecarKeepsReportedFlows(t *testing.T) {
	sim := newSimulation(1, service)
	host := sim.instances[0].host
	before, after := flowKey(1), flowKey(2)
	sim.balancers[0].Learn(sim.now, before, host)
	sim.advance(tick)
	sim.lose(0)
	sim.advance(tick)
	sim.balancers[0].Learn(sim.now, after, host)
	sim.advance(time.Second)
	for _, c := range []struct {
		key  steer.Key
		want steer.Reason
	}{{after, 0}, {before, steer.ReasonLost}} {
		p := steer.Packet{Source: c.key.Caller, Destination: c.key.Address, Flags: steer.ACK, Sequence: 8, Acknowledged: 9}
		a := sim.balancers[0].Packet(sim.now, &p, new(steer.Forward))
		r, refused := a.(steer.Refuse)
		must.Eq(t, c.want, r.Reason)
		must.Eq(t, c.want != 0, refused)
	}
	must.SliceEmpty(t, sim.balancers[0].EvictOrphans(sim.now))
}

// TestLossOfFormerSidecarKeepsNewUpstream guards against a reset after a search that left
// out a new upstream because of the end of the one before it at the same address.
func TestLossOfFormerSidecarKeepsNewUpstream(t *testing.T) {
	for _, renewed := range []bool{true, false} {
		sim := newSimulation(1, service, service)
		sim.advance(tick)
		sim.lose(1)
		sim.advance(tick)
		if renewed {
			sim.startUpstream(1)
		}
		sim.publishFleet()
		m := steer.MissReport{Key: flowKey(1), State: registry.State{Revision: sim.revision}, Hosts: []registry.Host{sim.instances[0].host}}
		_, reset := sim.balancers[0].FlowMissing(sim.now, &m)
		must.Eq(t, !renewed, reset)
	}
}

// TestOutdatedEntryIsNotDivertedByPassedOnOpening guards against a search from an upstream that
// answered a copy of the opening that leaves a data centre before it has covered it.
func TestOutdatedEntryIsNotDivertedByPassedOnOpening(t *testing.T) {
	failed, tried := 0, 0
	for at := range 9 {
		for passing := range 9 {
			for copied := range 9 {
				if passing == at || copied == at || copied == passing {
					continue
				}
				tried++
				sim := newMixedSimulation()
				k := flowKey(at)
				for i, s := range sim.instances { // the opening is passed on to the other data centre
					s.full = dataCentreOf(i) == dataCentreOf(passing)
				}
				h := steer.Header{Balancer: balancerHost(0), Service: registry.HashService(sim.instances[passing].service), State: registry.State{Revision: sim.revision}}
				first := opening(k)
				first.Sequence--
				sim.execute(&steer.Forward{Host: sim.instances[passing].host, Header: h}, first)
				for _, s := range sim.instances {
					s.full = false
				}
				p := sim.openAt(t, at, k)
				// A copy of the opening is answered through the other balancer, which remembers that upstream.
				h.Balancer, h.Service = balancerHost(1), registry.HashService(sim.instances[copied].service)
				sim.execute(&steer.Forward{Host: sim.instances[copied].host, Header: h}, opening(k))
				sim.balancers[1].Learn(sim.now, k, sim.instances[copied].host)
				if elapsed := sim.retransmit(1, at, p); elapsed != 0 {
					failed++
					if failed <= 5 {
						t.Errorf("flow of %d, passed on by %d, also answered by %d: reached its upstream after %v", at, passing, copied, elapsed)
					}
				}
			}
		}
	}
	t.Logf("%d of %d", failed, tried)
}

// TestPassedOnPacketsDoNotCirculate guards against a packet that two sidecars forward to each
// other without end, since each passed a copy of the opening on to the other and both were lost.
func TestPassedOnPacketsDoNotCirculate(t *testing.T) {
	sim := newSimulation(1, service, service)
	k := flowKey(1)
	for i, s := range sim.instances {
		h := steer.Header{Balancer: balancerHost(0), Service: registry.HashService(service), State: registry.State{Revision: sim.revision}}
		p := opening(k)
		d, ok := s.sidecar.FromBalancer(sim.now, &h, &p).(steer.Deliver)
		must.True(t, ok)
		p.Flags |= steer.Returned
		p.Tag = d.Tag
		f, ok := s.sidecar.FromUpstream(sim.now, &p).(*steer.Forward) // lost
		must.True(t, ok)
		must.Eq(t, sim.instances[1-i].host, f.Host)
	}
	for name, p := range map[string]steer.Packet{"later packet": {Source: k.Caller, Destination: k.Address, Flags: steer.ACK, Sequence: 8, Acknowledged: 1}, "opening": opening(k)} {
		h := steer.Header{Balancer: balancerHost(0), Service: registry.HashService(service), State: registry.State{Revision: sim.revision}}
		at, hops := 0, 0
		for ; hops < 500; hops++ {
			f, ok := sim.instances[at].sidecar.FromBalancer(sim.now, &h, &p).(*steer.Forward)
			if !ok {
				break
			}
			at, h = 1-at, f.Header
		}
		if hops >= 500 {
			t.Errorf("%s: forwarded %d times", name, hops)
		}
	}
}

// TestUnlistedOwnerIsNotTakenForReturned guards against the reset of an open flow whose sidecar
// has restarted while its entry is missing, when the upstream takes its time to answer.
func TestUnlistedOwnerIsNotTakenForReturned(t *testing.T) {
	for at := range 3 {
		sim := newSimulation(2, service, service, service)
		p := sim.openAt(t, at, flowKey(at))
		sim.publish(at, nil)
		sim.advance(5 * time.Second)
		sim.startSidecar(at)
		sim.publishFleet()
		// The sidecar has read the list after its start, without the entry of its upstream.
		d := registry.NewDirectory()
		var changes []registry.Change
		for i, s := range sim.instances {
			if i != at {
				changes = append(changes, registry.Change{Key: s.host.String(), Revision: uint64(i + 1), Upstream: sim.entry(i, false)})
			}
		}
		routes := &registry.Routes{Version: 1, List: []registry.Route{{Name: "r", Address: routeAddress, Targets: []registry.Target{{Service: service, Weight: 1}}}}}
		d.Apply(sim.now, registry.Update{Routes: routes, State: registry.State{Revision: sim.revision}, Changes: changes})
		f := *sim.balancers[0].Fleet()
		f.Snapshot = d.Snapshot(sim.now).WithLocations(sim.locate)
		must.False(t, f.Snapshot.Listed(sim.instances[at].host))
		must.True(t, f.Snapshot.Listed(sim.instances[(at+1)%3].host))
		sim.instances[at].sidecar.SetFleet(&f)
		must.Eq(t, at, sim.send(1, p), must.Sprint("first transmission"))
		sim.dropNotices()
		sim.instances[at].sidecar.Connected() // the probe that follows a packet without a reaction
		sim.now += 2 * tick                   // the upstream has the request and has sent nothing
		if got := sim.send(1, p); got != at || len(sim.resets) > 0 {
			t.Errorf("flow of %d: the retransmission reached %d, resets %v", at, got, sim.resets)
		}
	}
}

// TestFrozenUpstreamDoesNotHideOwnerInLargeDataCentre guards against a search all copies of
// which end at an upstream that neither accepts nor returns the packet.
func TestFrozenUpstreamDoesNotHideOwnerInLargeDataCentre(t *testing.T) {
	services := make([]string, 45)
	for i := range services {
		services[i] = service
	}
	failed, tried := 0, 0
	for at := range 15 {
		for frozen := range len(services) {
			if frozen == at {
				continue
			}
			tried++
			sim := newSimulation(2, services...)
			p := sim.openAt(t, at, flowKey(at))
			sim.instances[frozen].running = false
			sim.publishFleet()
			if elapsed := sim.retransmit(1, at, p); elapsed < 0 || elapsed >= 2*time.Second {
				failed++
				count, span := sim.misdelivered(at)
				if failed <= 5 {
					t.Errorf("flow of %d, %d frozen: reached its upstream after %v; %d packets elsewhere in %v", at, frozen, elapsed, count, span)
				}
			}
		}
	}
	t.Logf("%d of %d", failed, tried)
}
