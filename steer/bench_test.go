package steer_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/steer"
)

// BenchmarkBalancerPacket decides on a packet of a known flow.
func BenchmarkBalancerPacket(b *testing.B) {
	w := newWorld(1, service, service, service, service, service, service, service)
	for n := range 2000 {
		w.open(0, caller(n))
	}
	p := w.request(caller(7), 0)
	var out []byte
	var fw steer.Forward
	b.ReportAllocs()
	for b.Loop() {
		a, ok := w.balancers[0].Packet(w.now, &p, &fw).(*steer.Forward)
		if !ok {
			b.Fatal("the packet was not forwarded")
		}
		out = a.Header.Append(out[:0])
	}
}

// BenchmarkBalancerOpening places a new flow among seven upstreams.
func BenchmarkBalancerOpening(b *testing.B) {
	w := newWorld(1, service, service, service, service, service, service, service)
	p := opening(caller(1))
	n := uint32(0)
	var fw steer.Forward
	b.ReportAllocs()
	for b.Loop() {
		n++
		p.Sequence = n
		if _, ok := w.balancers[0].Packet(w.now+time.Duration(n)*time.Second, &p, &fw).(*steer.Forward); !ok {
			b.Fatal("the opening was not forwarded")
		}
	}
}

// BenchmarkSidecarPacket decides on a request and on its answer.
func BenchmarkSidecarPacket(b *testing.B) {
	w := newWorld(1, service)
	for n := range 2000 {
		w.open(0, caller(n))
	}
	s := w.sites[0].sidecar
	p := w.request(caller(7), 0)
	answer := reply(caller(7), steer.ACK, 1, 900)
	var h steer.Header
	b.ReportAllocs()
	for b.Loop() {
		p.Sequence += 100
		if _, ok := s.FromBalancer(w.now, &h, &p).(steer.Deliver); !ok {
			b.Fatal("the request was not delivered")
		}
		if _, ok := s.FromUpstream(w.now, answer).(steer.Answer); !ok {
			b.Fatal("the answer was not sent")
		}
	}
}
