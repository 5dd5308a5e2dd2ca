package balancer_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc"
)

const (
	maxInFlight    = 128  // packets in flight between sender and sink
	packetsPerTurn = 2000 // packets sent through one side before the other one is measured
)

// BenchmarkThroughput sends packets through a plain UDP relay and through a balancer
// in turns, and reports the packets per second of both and their ratio.
func BenchmarkThroughput(b *testing.B) {
	sink := listen(b)
	relay := startRelay(b, addressOf(sink))
	lb := startBalancer(b, bundleWith(addressOf(sink), 7))
	packet := geneve(b, openingFrom(b, "10.0.0.9:4000"))
	sender := listen(b)
	var relayed, balanced time.Duration
	for b.Loop() {
		relayed += timeTurn(b, sender, sink, packet, relay)
		balanced += timeTurn(b, sender, sink, packet, lb.FabricAddress())
	}
	packets := float64(packetsPerTurn) * float64(b.N)
	b.ReportMetric(packets/relayed.Seconds(), "relay-packets/s")
	b.ReportMetric(packets/balanced.Seconds(), "balancer-packets/s")
	b.ReportMetric(relayed.Seconds()/balanced.Seconds(), "ratio")
}

// timeTurn returns the time until packetsPerTurn packets have arrived at the sink.
func timeTurn(b *testing.B, sender, sink *net.UDPConn, packet []byte, to netip.AddrPort) time.Duration {
	b.Helper()
	inFlight := make(chan struct{}, maxInFlight)
	begin := time.Now()
	var wg conc.WaitGroup
	wg.Go(func() {
		for range packetsPerTurn {
			inFlight <- struct{}{}
			_, err := sender.WriteToUDPAddrPort(packet, to)
			must.NoError(b, err)
		}
	})
	buf := make([]byte, 65535)
	for range packetsPerTurn {
		_, _, err := sink.ReadFromUDPAddrPort(buf)
		must.NoError(b, err)
		<-inFlight
	}
	wg.Wait()
	return time.Since(begin)
}

// startRelay starts a relay that forwards each datagram unchanged, with the same
// number of workers as a balancer.
func startRelay(b *testing.B, to netip.AddrPort) netip.AddrPort {
	b.Helper()
	conn := listen(b)
	out := listen(b)
	for range 2 {
		var wg conc.WaitGroup
		wg.Go(func() {
			buf := make([]byte, 65535)
			for {
				n, _, err := conn.ReadFromUDPAddrPort(buf)
				if err != nil {
					return
				}
				_, _ = out.WriteToUDPAddrPort(buf[:n], to)
			}
		})
		b.Cleanup(func() {
			conn.Close()
			wg.Wait()
		})
	}
	return addressOf(conn)
}
