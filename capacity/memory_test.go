package capacity_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/capacity"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
	"github.com/corianderbay/corianderbay/route"
)

// BenchmarkFlowMemory measures the table of a sidecar.
func BenchmarkFlowMemory(b *testing.B) {
	reportSlope(b, []int{1000, 3500, 10_000, 30_000, 100_000}, "flow", "B", once(func(flows int) float64 {
		p := newPath(b, capacity.Size{Services: 1, Upstreams: 2})
		callers := p.Callers(flows)
		return heapOf(func() any {
			p.Open(callers)
			return p
		})
	}))
}

// BenchmarkHintMemory measures the cache of a balancer.
func BenchmarkHintMemory(b *testing.B) {
	reportSlope(b, []int{1000, 10_000, 50_000, 100_000, 200_000}, "hint", "B", once(func(hints int) float64 {
		return heapOf(func() any {
			cache := flow.NewHints(flow.HintsConfig{})
			for i := range hints {
				cache.Add(time.Unix(1, 0), uint64(i+1)*0x9e3779b97f4a7c15, 1)
			}
			return cache
		})
	}))
}

// BenchmarkSenderMemory measures what a receiver keeps of each process that sent it a datagram.
func BenchmarkSenderMemory(b *testing.B) {
	key := make([]byte, forward.KeySize)
	reportSlope(b, []int{100, 540, 2000, 8000}, "sender", "B", once(func(senders int) float64 {
		return heapOf(func() any {
			o, err := forward.NewOpener(forward.OpenerConfig{Key: key})
			must.NoError(b, err)
			for i := range senders {
				s, err := forward.NewSealer(forward.SealerConfig{Key: key, Sender: uint64(i + 1)})
				must.NoError(b, err)
				_, err = o.Open(s.AppendMessage(nil, forward.KindReport, nil))
				must.NoError(b, err)
			}
			return o
		})
	}))
}

// BenchmarkViewMemory measures what a process keeps of the bundle in force.
func BenchmarkViewMemory(b *testing.B) {
	reportSlope(b, fleetSizes(), "service", "B", once(func(services int) float64 {
		frozen := freeze(b, services)
		defer runtime.KeepAlive(frozen)
		return heapOf(func() any {
			thawed, err := frozen.Decode()
			must.NoError(b, err)
			return route.NewView(thawed)
		})
	}))
}

// BenchmarkFrozenMemory measures the frozen bundle that a process would keep to apply patches to.
func BenchmarkFrozenMemory(b *testing.B) {
	reportSlope(b, fleetSizes(), "service", "B", once(func(services int) float64 {
		raw, err := freeze(b, services).Marshal()
		must.NoError(b, err)
		defer runtime.KeepAlive(raw)
		return heapOf(func() any {
			f, err := bundle.Unmarshal(raw)
			must.NoError(b, err)
			return f
		})
	}))
}

// BenchmarkInForceAllocation measures all that is allocated to put a whole bundle in force.
func BenchmarkInForceAllocation(b *testing.B) {
	reportSlope(b, fleetSizes(), "service", "B", once(func(services int) float64 {
		raw, err := freeze(b, services).Marshal()
		must.NoError(b, err)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		f, err := bundle.Unmarshal(raw)
		must.NoError(b, err)
		putInForce(b, f, bundle.Anchor(approvers()))
		runtime.ReadMemStats(&after)
		return float64(after.TotalAlloc - before.TotalAlloc)
	}))
}
