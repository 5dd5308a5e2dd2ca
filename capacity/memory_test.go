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

// BenchmarkFlowMemory measures the memory of a sidecar's flow table.
func BenchmarkFlowMemory(b *testing.B) {
	reportSlope(b, []int{1000, 3500, 10_000, 30_000, 100_000}, "flow", "B", measureOnce(func(flows int) float64 {
		p := newPath(b, capacity.Size{Services: 1, Upstreams: 2})
		callers := p.Callers(flows)
		return heapGrowth(func() any {
			p.OpenFlows(callers)
			return p
		})
	}))
}

// BenchmarkHintMemory measures the memory of a balancer's hint cache.
func BenchmarkHintMemory(b *testing.B) {
	reportSlope(b, []int{1000, 10_000, 50_000, 100_000, 200_000}, "hint", "B", measureOnce(func(hints int) float64 {
		return heapGrowth(func() any {
			cache := flow.NewHints(flow.HintsConfig{})
			for i := range hints {
				cache.Add(time.Unix(1, 0), uint64(i+1)*0x9e3779b97f4a7c15, 1)
			}
			return cache
		})
	}))
}

// BenchmarkSenderMemory measures the memory that a receiver keeps per sender.
func BenchmarkSenderMemory(b *testing.B) {
	key := make([]byte, forward.KeySize)
	reportSlope(b, []int{100, 540, 2000, 8000}, "sender", "B", measureOnce(func(senders int) float64 {
		return heapGrowth(func() any {
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

// BenchmarkViewMemory measures the memory of the view of the bundle in force.
func BenchmarkViewMemory(b *testing.B) {
	reportSlope(b, fleetSizes(), "service", "B", measureOnce(func(services int) float64 {
		frozen := freeze(b, services)
		defer runtime.KeepAlive(frozen)
		return heapGrowth(func() any {
			content, err := frozen.Decode()
			must.NoError(b, err)
			return route.NewView(content)
		})
	}))
}

// BenchmarkFrozenMemory measures the memory of a frozen bundle, which a process
// would have to keep in order to apply patches to it.
func BenchmarkFrozenMemory(b *testing.B) {
	reportSlope(b, fleetSizes(), "service", "B", measureOnce(func(services int) float64 {
		raw, err := freeze(b, services).Marshal()
		must.NoError(b, err)
		defer runtime.KeepAlive(raw)
		return heapGrowth(func() any {
			f, err := bundle.Unmarshal(raw)
			must.NoError(b, err)
			return f
		})
	}))
}

// BenchmarkActivationAllocation measures the total bytes allocated to activate a
// complete bundle.
func BenchmarkActivationAllocation(b *testing.B) {
	reportSlope(b, fleetSizes(), "service", "B", measureOnce(func(services int) float64 {
		raw, err := freeze(b, services).Marshal()
		must.NoError(b, err)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		f, err := bundle.Unmarshal(raw)
		must.NoError(b, err)
		activate(b, f, bundle.Anchor(approvers()))
		runtime.ReadMemStats(&after)
		return float64(after.TotalAlloc - before.TotalAlloc)
	}))
}
