package flow_test

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
)

// header returns what a balancer sends for the key.
func header(p *plan, k flow.Key, u bundle.UpstreamID) *forward.Header {
	s, cs := view{plan: p}.Candidates(nil, k)
	h := &forward.Header{Service: s, Version: p.version, Phase: forward.PhaseAccept, Candidates: cs}
	for i := range cs {
		if cs[i].Upstream == u {
			h.Current = uint8(i)
		}
	}
	return h
}

// loneSidecar returns a sidecar that has no other to ask.
func loneSidecar(p *plan, now time.Time) *flow.Sidecar {
	s := flow.NewSidecar(flow.SidecarConfig{Upstream: 1, Admitter: flow.Threshold{Flows: 1 << 30}}, now)
	s.BundleAccepted(now, view{plan: p, self: 1})
	return s
}

// establish opens n TCP flows at the sidecar.
func establish(s *flow.Sidecar, p *plan, now time.Time, n int) {
	for i := range n {
		k := testKey(flow.TCP, i, fitting)
		s.Packet(now, header(p, k, 1), flow.Packet{Key: k, Opening: true, Sequence: 1})
		s.Answer(now, flow.Packet{Key: k, Opening: true, Sequence: 100, Acknowledged: 2, HasAck: true})
		s.Packet(now, header(p, k, 1), flow.Packet{Key: k, Sequence: 2, Acknowledged: 101, HasAck: true})
	}
}

func BenchmarkOwned(b *testing.B) {
	for _, flows := range []int{2_500, 100_000} {
		b.Run(strconv.Itoa(flows), func(b *testing.B) { benchmarkOwned(b, flows) })
	}
}

// benchmarkOwned delivers packets of the flows in turn, so that a large table misses the processor's caches.
func benchmarkOwned(b *testing.B, flows int) {
	p, now := newPlan(1, 1), time.Unix(1, 0)
	s := loneSidecar(p, now)
	establish(s, p, now, flows)
	packets := make([]flow.Packet, flows)
	for i := range packets {
		packets[i] = flow.Packet{Key: testKey(flow.TCP, i, fitting), Sequence: 2, Acknowledged: 101, HasAck: true}
	}
	h := header(p, packets[0].Key, 1)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		h.Hops = 0
		if _, ok := s.Packet(now, h, packets[i%flows]).(flow.Deliver); !ok {
			b.Fatal("not delivered")
		}
		i++
	}
}

func BenchmarkOwnedMemory(b *testing.B) {
	for _, flows := range []int{58_000, 100_000, 200_000} {
		b.Run(strconv.Itoa(flows), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(flowBytes(flows), "bytes/flow")
			}
		})
	}
}

// flowBytes returns the memory that one flow takes in the table.
func flowBytes(flows int) float64 {
	p, now := newPlan(1, 1), time.Unix(1, 0)
	s := loneSidecar(p, now)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	establish(s, p, now, flows)
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(s)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(flows)
}

func BenchmarkHints(b *testing.B) {
	hs := flow.NewHints(flow.HintsConfig{})
	now := time.Unix(1, 0)
	for i := range uint64(100_000) {
		hs.Add(now, i*0x9e3779b97f4a7c15, 1)
	}
	b.ReportAllocs()
	i := uint64(0)
	for b.Loop() {
		hs.Owner(now, i%100_000*0x9e3779b97f4a7c15)
		i++
	}
}

func TestOwnedAllocatesNothing(t *testing.T) {
	p, now := newPlan(1, 1), time.Unix(1, 0)
	s := loneSidecar(p, now)
	establish(s, p, now, 1)
	q := flow.Packet{Key: testKey(flow.TCP, 0, fitting), Sequence: 2, Acknowledged: 101, HasAck: true}
	h := header(p, q.Key, 1)
	n := testing.AllocsPerRun(100, func() {
		h.Hops = 0
		s.Packet(now, h, q)
	})
	must.Zero(t, n)
}

func TestOwnedMemoryIsBounded(t *testing.T) {
	const most = 200
	must.Less(t, most, flowBytes(60_000))
}
