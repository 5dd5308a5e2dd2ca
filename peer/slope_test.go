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
	slopeChanges  = 10              // bundles rolled in one run
	slopeInterval = 2 * time.Second // between two bundles
	slopeQuiet    = 10 * time.Second
	slopeWarmUp   = 15 * time.Second // in which the connections of the start settle
	slopeServices = 100
)

// BenchmarkFleetSize runs fleets of several sizes on loopback and reports, for a
// process: bytes a second sent and received and the share of a core, in quiet
// and with a change each 2 s, its memory, and the calls a second at the
// platform; and the time from publication until a bundle is in force, over all
// processes and changes. Run it with -benchtime 1x.
func BenchmarkFleetSize(b *testing.B) {
	for _, count := range []int{10, 20, 40, 80, 160, 320} {
		b.Run(fmt.Sprintf("n=%d", count), func(b *testing.B) {
			for b.Loop() {
				runSlope(b, count)
			}
		})
	}
}

func runSlope(b *testing.B, count int) {
	before := heapInUse()
	f := newFleet(b, count, slopeServices)
	f.await(f.publish(), f.nodes...)
	f.sleep(slopeWarmUp)
	n := float64(count)

	quiet := f.measure(func() { f.sleep(slopeQuiet) })
	var delays []time.Duration
	busy := f.measure(func() {
		for range slopeChanges {
			published := f.timer.Now()
			sequence := f.publish()
			f.sleep(slopeInterval)
			f.await(sequence, f.nodes...)
			delays = append(delays, f.delays(sequence, published)...)
		}
	})
	slices.Sort(delays)
	b.ReportMetric(quiet.bytes/n, "quiet-B/s")
	b.ReportMetric(busy.bytes/n, "busy-B/s")
	b.ReportMetric(quiet.cpu/n*100, "quiet-cpu%")
	b.ReportMetric(busy.cpu/n*100, "busy-cpu%")
	b.ReportMetric(f.links()/n, "links")
	b.ReportMetric(quiet.calls, "quiet-calls/s")
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

// BenchmarkFullSize runs a few processes with the bundle and the instance list
// of the largest size, and reports for a process its memory and the bytes and
// processor time of one change of a service and of one change of the list.
// Run it with -benchtime 1x.
func BenchmarkFullSize(b *testing.B) {
	for b.Loop() {
		before := heapInUse()
		f := newFleet(b, fullNodes, fullServices)
		f.pad(fullInstances)
		f.await(f.publish(), f.nodes...)
		quiet := f.measure(func() { f.sleep(slopeQuiet) })
		bundles := f.measure(func() {
			for range fullChanges {
				f.await(f.publish(), f.nodes...)
				f.sleep(slopeInterval)
			}
		})
		begin := f.timer.Now()
		lists := f.measure(func() {
			for i := range fullChanges {
				f.pad(fullInstances - i - 1)
				f.sleep(slopeInterval)
			}
		})
		perChange := f.timer.Since(begin).Seconds() / fullChanges / fullNodes
		b.ReportMetric((heapInUse()-before)/fullNodes/1e6, "heap-MB")
		b.ReportMetric(quiet.bytes/fullNodes, "quiet-B/s")
		b.ReportMetric(bundles.bytes/fullNodes, "bundles-B/s")
		b.ReportMetric(bundles.cpu/fullNodes*100, "bundles-cpu%")
		b.ReportMetric((lists.bytes-quiet.bytes)*perChange, "B/list-change")
		b.ReportMetric((lists.cpu-quiet.cpu)*perChange*1e3, "cpu-ms/list-change")
	}
}

// pad publishes a list with the nodes and as many leaving instances, which no process dials, as make up total.
func (f *fleet) pad(total int) {
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

// usage is what a fleet spent, each second.
type usage struct{ bytes, cpu, calls float64 }

// measure returns what the fleet spends while do runs.
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

// links returns the connections that the processes have, each counted at both ends.
func (f *fleet) links() float64 {
	sum := 0
	for _, n := range f.nodes {
		sum += n.Status().Peers
	}
	return float64(sum)
}

// bytes returns what all processes sent and received.
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
	for _, at := range f.enforce[sequence] {
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
