package steer_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
)

// BenchmarkBalancerPacket measures the decision on a packet of a flow in the table.
func BenchmarkBalancerPacket(b *testing.B) {
	sim := newSimulation(1, service, service, service, service, service, service, service)
	for n := range 2000 {
		sim.open(0, flowKey(n))
	}
	p := sim.request(flowKey(7), 0)
	var out []byte
	var fw steer.Forward
	b.ReportAllocs()
	for b.Loop() {
		a, ok := sim.balancers[0].Packet(sim.now, &p, &fw).(*steer.Forward)
		if !ok {
			b.Fatal("the packet was not forwarded")
		}
		out = a.Header.Append(out[:0])
	}
}

// BenchmarkBalancerOpening measures the placement of a new flow with seven upstreams.
func BenchmarkBalancerOpening(b *testing.B) {
	sim := newSimulation(1, service, service, service, service, service, service, service)
	p := opening(flowKey(1))
	n := uint32(0)
	var fw steer.Forward
	b.ReportAllocs()
	for b.Loop() {
		n++
		p.Sequence = n
		if _, ok := sim.balancers[0].Packet(sim.now+time.Duration(n)*time.Second, &p, &fw).(*steer.Forward); !ok {
			b.Fatal("the opening was not forwarded")
		}
	}
}

// BenchmarkSidecarPacket measures the decisions on a request and its answer.
func BenchmarkSidecarPacket(b *testing.B) {
	sim := newSimulation(1, service)
	for n := range 2000 {
		sim.open(0, flowKey(n))
	}
	s := sim.instances[0].sidecar
	p := sim.request(flowKey(7), 0)
	answer := reply(flowKey(7), steer.ACK, 1, 900)
	var h steer.Header
	b.ReportAllocs()
	for b.Loop() {
		p.Sequence += 100
		if _, ok := s.FromBalancer(sim.now, &h, &p).(steer.Deliver); !ok {
			b.Fatal("the request was not delivered")
		}
		if _, ok := s.FromUpstream(sim.now, answer).(steer.Answer); !ok {
			b.Fatal("the answer was not sent")
		}
	}
}

// BenchmarkPlacing3400 measures the placement of a new flow among 3,400 upstreams of
// three speeds.
func BenchmarkPlacing3400(b *testing.B) {
	const upstreams = 3400
	sim := newSimulation(0, service)
	f := &steer.Fleet{Sidecars: make(map[registry.Host]steer.SidecarStatus), LiveBalancers: 19, Settled: true}
	for i := range upstreams {
		h := registry.Host{10, 1, byte(i >> 8), byte(i)}
		u := &registry.Upstream{ID: h.String(), Service: service, Address: registry.Endpoint{Host: h, Port: 80}, DataCentre: near, Slots: 2}
		sim.revision++
		c := registry.Change{Key: u.ID, Revision: sim.revision, Upstream: u}
		sim.directory.Apply(sim.now, registry.Update{State: registry.State{Revision: sim.revision}, From: registry.State{Revision: sim.revision - 1}, Changes: []registry.Change{c}})
		f.Sidecars[h] = steer.SidecarStatus{Load: membership.Load{Flows: i % 7, Work: []int{464, 464, 191}[i%3]}, LastSeen: sim.now, HeartbeatTimeout: time.Hour}
	}
	f.Snapshot = sim.directory.Snapshot(sim.now)
	for _, placing := range []steer.Placing{steer.PlaceByLoad, steer.PlaceByTime} {
		b.Run(string(placing), func(b *testing.B) {
			balancer := steer.NewBalancer(steer.BalancerConfig{Self: balancerHost(0), DataCentre: near, MaxFlow: maxFlow, Placing: placing})
			balancer.SetFleet(f)
			p := opening(flowKey(1))
			var fw steer.Forward
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				n++
				p.Sequence = uint32(n)
				if _, ok := balancer.Packet(sim.now+time.Duration(n)*time.Second/2, &p, &fw).(*steer.Forward); !ok {
					b.Fatal("the opening was not forwarded")
				}
			}
		})
	}
}
