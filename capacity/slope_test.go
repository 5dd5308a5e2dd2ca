package capacity_test

import (
	"crypto/ed25519"
	"math"
	"runtime"
	"testing"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"github.com/corianderbay/corianderbay/capacity"
)

const (
	rounds    = 9      // the cheapest one counts, since the host is shared
	packets   = 20_000 // per measurement
	openFlows = 1000
)

// serviceSizes returns the measured numbers of upstreams per service.
func serviceSizes() []int { return []int{2, 4, 7, 10} }

// fleetSizes returns the measured numbers of services per bundle.
func fleetSizes() []int { return []int{10, 100, 400, 1700} }

func approverKey() ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
}

// reportSlope measures the cost at each size, reports the line fitted to the
// points as metrics and logs the points. prepare returns a function that measures
// its size once. Each round measures all sizes, and the lowest cost of each size
// counts. sizeUnit is the unit of the sizes, and unit that of the cost.
func reportSlope(b *testing.B, sizes []int, sizeUnit, unit string, prepare func(size int) func() float64) {
	b.Helper()
	var line capacity.Line
	points := make([]capacity.Point, len(sizes))
	for b.Loop() {
		measures := make([]func() float64, len(sizes))
		for i, n := range sizes {
			measures[i] = prepare(n)
			points[i] = capacity.Point{X: float64(n), Y: math.Inf(1)}
		}
		for range rounds {
			for i, measure := range measures {
				points[i].Y = min(points[i].Y, measure())
			}
		}
		var err error
		line, err = capacity.Fit(points)
		must.NoError(b, err)
	}
	for _, p := range points {
		b.Logf("%8.0f %s: %14.6g %s", p.X, sizeUnit, p.Y, unit)
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(line.Intercept, unit+"-base")
	b.ReportMetric(line.Slope, unit+"/"+sizeUnit)
	b.ReportMetric(line.Residual, unit+"-residual")
}

// measureOnce returns a prepare function for costs that do not vary between
// rounds: it measures each size a single time.
func measureOnce(measure func(size int) float64) func(size int) func() float64 {
	return func(size int) func() float64 {
		y := measure(size)
		return func() float64 { return y }
	}
}

// heapGrowth returns the heap bytes that are still in use after build while its
// result is reachable.
func heapGrowth(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// cpuTime returns the CPU time in nanoseconds that this process spends while do
// runs, including garbage collection.
func cpuTime(t testing.TB, do func()) float64 {
	t.Helper()
	before := cpuTimeUsed(t)
	do()
	return float64(cpuTimeUsed(t) - before)
}

func cpuTimeUsed(t testing.TB) int64 {
	t.Helper()
	var u unix.Rusage
	must.NoError(t, unix.Getrusage(unix.RUSAGE_SELF, &u))
	return u.Utime.Nano() + u.Stime.Nano()
}
