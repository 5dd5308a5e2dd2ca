package peer_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/configservice"
	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

const (
	benchChanges   = 10              // bundles published per run
	changeInterval = 2 * time.Second // between two bundles
	idlePeriod     = 10 * time.Second
	warmUp         = 15 * time.Second // until the set of connections is stable
	benchServices  = 100
)

// BenchmarkFleetSize runs fleets of several sizes on loopback. It reports per
// process the bytes per second sent and received and the CPU share, both idle
// and with a change every 2 s, the connections and the memory; for the fleet the
// platform calls per second; and, over all processes and changes, the time from
// publication until a bundle is in force. Run it with -benchtime 1x.
func BenchmarkFleetSize(b *testing.B) {
	for _, count := range []int{10, 20, 40, 80, 160, 320} {
		b.Run(fmt.Sprintf("n=%d", count), func(b *testing.B) {
			for b.Loop() {
				runFleetSize(b, count)
			}
		})
	}
}

func runFleetSize(b *testing.B, count int) {
	before := heapInUse()
	f := newFleet(b, count, benchServices)
	f.awaitBundle(f.publish(), f.nodes...)
	f.sleep(warmUp)
	n := float64(count)

	idle := f.measure(func() { f.sleep(idlePeriod) })
	var delays []time.Duration
	busy := f.measure(func() {
		for range benchChanges {
			published := f.timer.Now()
			sequence := f.publish()
			f.sleep(changeInterval)
			f.awaitBundle(sequence, f.nodes...)
			delays = append(delays, f.delays(sequence, published)...)
		}
	})
	slices.Sort(delays)
	b.ReportMetric(idle.bytes/n, "quiet-B/s")
	b.ReportMetric(busy.bytes/n, "busy-B/s")
	b.ReportMetric(idle.cpu/n*100, "quiet-cpu%")
	b.ReportMetric(busy.cpu/n*100, "busy-cpu%")
	b.ReportMetric(f.connections()/n, "links")
	b.ReportMetric(idle.calls, "quiet-calls/s")
	b.ReportMetric((heapInUse()-before)/n/1e6, "heap-MB")
	b.ReportMetric(delays[len(delays)/2].Seconds()*1e3, "p50-ms")
	b.ReportMetric(delays[len(delays)*99/100].Seconds()*1e3, "p99-ms")
	b.ReportMetric(0, "ns/op")
}

const (
	fullServices  = 1700
	fullInstances = 3940
	fullNodes     = 10
	fullChanges   = 10
)

// BenchmarkFullSize runs a few processes with a bundle and an instance list of
// the largest size. It reports per process the memory, and the bytes and CPU
// time of changes of a service and of changes of the list. Run it with
// -benchtime 1x.
func BenchmarkFullSize(b *testing.B) {
	for b.Loop() {
		before := heapInUse()
		f := newFleet(b, fullNodes, fullServices)
		f.publishPaddedList(fullInstances)
		f.awaitBundle(f.publish(), f.nodes...)
		idle := f.measure(func() { f.sleep(idlePeriod) })
		bundles := f.measure(func() {
			for range fullChanges {
				f.awaitBundle(f.publish(), f.nodes...)
				f.sleep(changeInterval)
			}
		})
		begin := f.timer.Now()
		lists := f.measure(func() {
			for i := range fullChanges {
				f.publishPaddedList(fullInstances - i - 1)
				f.sleep(changeInterval)
			}
		})
		perChange := f.timer.Since(begin).Seconds() / fullChanges / fullNodes
		b.ReportMetric((heapInUse()-before)/fullNodes/1e6, "heap-MB")
		b.ReportMetric(idle.bytes/fullNodes, "quiet-B/s")
		b.ReportMetric(bundles.bytes/fullNodes, "bundles-B/s")
		b.ReportMetric(bundles.cpu/fullNodes*100, "bundles-cpu%")
		b.ReportMetric((lists.bytes-idle.bytes)*perChange, "B/list-change")
		b.ReportMetric((lists.cpu-idle.cpu)*perChange*1e3, "cpu-ms/list-change")
	}
}

// publishPaddedList publishes a list of the nodes, padded to total with leaving
// instances, which no process dials.
func (f *fleet) publishPaddedList(total int) {
	list := f.instances()
	for i := len(list); i < total; i++ {
		list = append(list, configservice.Instance{
			Name: fmt.Sprintf("instance-%04d", i), DataCentre: fmt.Sprintf("dc%d", i%2),
			Role: configservice.RoleSidecar, State: configservice.StateLeaving,
			Control: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, byte(i >> 8), byte(i)}), 7000),
			Forward: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, byte(i >> 8), byte(i)}), 6081),
		})
	}
	f.platform.SetInstances(list)
}

// usage is the resource usage of a fleet: bytes, CPU seconds and platform calls, all per second.
type usage struct{ bytes, cpu, calls float64 }

// measure returns the usage of the fleet while do runs.
func (f *fleet) measure(do func()) usage {
	begin, bytes, cpu, calls := f.timer.Now(), f.bytes(), cpuSeconds(f.t), f.platform.Counts().Calls
	do()
	seconds := f.timer.Since(begin).Seconds()
	return usage{
		bytes: float64(f.bytes()-bytes) / seconds,
		cpu:   (cpuSeconds(f.t) - cpu) / seconds,
		calls: float64(f.platform.Counts().Calls-calls) / seconds,
	}
}

func (f *fleet) sleep(d time.Duration) {
	must.NoError(f.t, f.timer.Sleep(f.t.Context(), d))
}

// connections returns the number of connections, each counted at both ends.
func (f *fleet) connections() float64 {
	sum := 0
	for _, n := range f.nodes {
		sum += n.Status().Peers
	}
	return float64(sum)
}

// bytes returns the bytes sent and received by all processes.
func (f *fleet) bytes() uint64 {
	sum := uint64(0)
	for _, n := range f.nodes {
		s := n.Status()
		sum += s.Sent + s.Received
	}
	return sum
}

func (f *fleet) delays(sequence uint64, published time.Time) []time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var delays []time.Duration
	for _, at := range f.activated[sequence] {
		delays = append(delays, at.Sub(published))
	}
	return delays
}

func cpuSeconds(t testing.TB) float64 {
	var r unix.Rusage
	must.NoError(t, unix.Getrusage(unix.RUSAGE_SELF, &r))
	return float64(r.Utime.Nano()+r.Stime.Nano()) / 1e9
}

func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}
