package capacity_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/corianderbay/corianderbay/capacity"
)

// BenchmarkForwardTime measures a balancer's CPU time per packet, by the size of
// the service.
func BenchmarkForwardTime(b *testing.B) {
	reportSlope(b, serviceSizes(), "upstream", "ns", func(upstreams int) func() float64 {
		return forwardTime(b, capacity.Size{Services: 100, Upstreams: upstreams})
	})
}

// BenchmarkForwardTimeByServices measures a balancer's CPU time per packet, by the
// number of services in the bundle.
func BenchmarkForwardTimeByServices(b *testing.B) {
	reportSlope(b, fleetSizes(), "service", "ns", func(services int) func() float64 {
		return forwardTime(b, capacity.Size{Services: services, Upstreams: upstreamsPerService})
	})
}

func forwardTime(b *testing.B, size capacity.Size) func() float64 {
	p := newPath(b, size)
	datagrams := dataDatagrams(b, p, p.Callers(openFlows))
	return func() float64 {
		return cpuTime(b, func() {
			for i := range packets {
				if _, err := p.Forward(datagrams[i%openFlows]); err != nil {
					b.Fatal(err)
				}
			}
		}) / packets
	}
}

// BenchmarkHeaderSize measures the bytes that a balancer adds to a caller's
// packet, including the IPv4 and UDP headers.
func BenchmarkHeaderSize(b *testing.B) {
	reportSlope(b, serviceSizes(), "upstream", "B", measureOnce(func(upstreams int) float64 {
		p := newPath(b, capacity.Size{Services: 100, Upstreams: upstreams})
		datagram := dataDatagrams(b, p, []int{0})[0]
		sealed, err := p.Forward(datagram)
		must.NoError(b, err)
		return float64(len(sealed) - len(datagram) + geneveHeader + datagramHeaders)
	}))
}

// BenchmarkDeliverTime measures a sidecar's CPU time per packet of an owned flow,
// by the size of the service.
func BenchmarkDeliverTime(b *testing.B) {
	reportSlope(b, serviceSizes(), "upstream", "ns", func(upstreams int) func() float64 {
		return deliverTime(b, capacity.Size{Services: 1, Upstreams: upstreams}, openFlows)
	})
}

// BenchmarkDeliverTimeByFlows measures a sidecar's CPU time per packet of an owned
// flow, by the number of flows in its table.
func BenchmarkDeliverTimeByFlows(b *testing.B) {
	reportSlope(b, []int{1000, 3500, 10_000, 20_000}, "flow", "ns", func(flows int) func() float64 {
		return deliverTime(b, capacity.Size{Services: 1, Upstreams: upstreamsPerService}, flows)
	})
}

func deliverTime(b *testing.B, size capacity.Size, flows int) func() float64 {
	p := newPath(b, size)
	callers := p.Callers(flows)
	p.OpenFlows(callers)
	datagrams := dataDatagrams(b, p, callers)
	sealed := make([][]byte, packets)
	return func() float64 {
		for i := range sealed {
			out, err := p.Forward(datagrams[i%flows])
			must.NoError(b, err)
			sealed[i] = append(sealed[i][:0], out...)
		}
		return cpuTime(b, func() {
			for _, d := range sealed {
				if _, err := p.Deliver(d); err != nil {
					b.Fatal(err)
				}
			}
		}) / packets
	}
}

// BenchmarkOpenTime measures the CPU time of balancer and sidecar for opening
// flows: the opening, the upstream's answer and the first segment of each.
func BenchmarkOpenTime(b *testing.B) {
	reportSlope(b, []int{1000, 3500, 10_000, 20_000}, "flow", "ns", func(flows int) func() float64 {
		return openTime(b, flows)
	})
}

func openTime(b *testing.B, flows int) func() float64 {
	size := capacity.Size{Services: 100, Upstreams: upstreamsPerService}
	p := newPath(b, size)
	callers := p.Callers(flows)
	first := dataDatagrams(b, p, callers)
	openings := make([][]byte, flows)
	for i, caller := range callers {
		d, err := p.Opening(caller)
		must.NoError(b, err)
		openings[i] = d
	}
	return func() float64 {
		p := newPath(b, size)
		return cpuTime(b, func() {
			for i, caller := range callers {
				if err := p.OpenForwarded(caller, openings[i], first[i]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSocketTime measures the CPU time for sending and receiving one UDP
// datagram, by its size.
func BenchmarkSocketTime(b *testing.B) {
	reportSlope(b, []int{100, 500, 1400, 4000, 8000}, "byte", "ns", func(size int) func() float64 {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		must.NoError(b, err)
		b.Cleanup(func() { conn.Close() })
		return func() float64 {
			return cpuTime(b, func() { sendToSelf(b, conn, size) }) / packets
		}
	})
}

// sendToSelf sends datagrams to the socket's own address and receives them.
func sendToSelf(b *testing.B, conn *net.UDPConn, size int) {
	self := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	out, in := make([]byte, size), make([]byte, size)
	for range packets {
		if _, err := conn.WriteToUDPAddrPort(out, self); err != nil {
			b.Fatal(err)
		}
		if _, _, err := conn.ReadFromUDPAddrPort(in); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkTickTime measures a sidecar's CPU time per second without packets: ten
// ticks with their sweeps and the reports of nine other sidecars.
func BenchmarkTickTime(b *testing.B) {
	reportSlope(b, []int{1000, 3500, 10_000, 30_000, 100_000}, "flow", "ns", func(flows int) func() float64 {
		p := newPath(b, capacity.Size{Services: 1, Upstreams: 10})
		p.OpenFlows(p.Callers(flows))
		return func() float64 {
			return cpuTime(b, func() {
				for range time.Second / tick {
					p.Advance(tick)
				}
			})
		}
	})
}

// dataDatagrams returns one data datagram of each caller's flow.
func dataDatagrams(t testing.TB, p *capacity.DataPath, callers []int) [][]byte {
	t.Helper()
	out := make([][]byte, len(callers))
	for i, caller := range callers {
		d, err := p.Data(caller)
		must.NoError(t, err)
		out[i] = d
	}
	return out
}
