package balancer_test

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/balancer"
	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/fabric"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
	"github.com/corianderbay/corianderbay/timer"
	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc"
)

func clusterKey() []byte {
	return bytes.Repeat([]byte{7}, forward.KeySize)
}

// listen returns a socket that acts as a sidecar, a caller or the gateway.
func listen(t testing.TB) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	must.NoError(t, err)
	must.NoError(t, conn.SetReadBuffer(4<<20))
	t.Cleanup(func() { conn.Close() })
	return conn
}

func addressOf(c *net.UDPConn) netip.AddrPort {
	return c.LocalAddr().(*net.UDPAddr).AddrPort()
}

// bundleWith returns a bundle of one service with n upstreams, all with their sidecar at sink.
func bundleWith(sink netip.AddrPort, n int) *bundle.Bundle {
	s := bundle.Service{
		Name:      "fitting",
		Addresses: []bundle.Address{{IP: netip.MustParseAddr("198.51.100.1"), Port: 7000, Protocol: "tcp"}},
		Rules:     []bundle.Rule{{Callers: netip.MustParsePrefix("10.0.0.0/8"), Allow: true}},
		Places:    []bundle.Place{{DataCentre: "semarang"}},
	}
	for i := range n {
		s.Places[0].Upstreams = append(s.Places[0].Upstreams, bundle.Upstream{
			Name:    string(rune('a' + i)),
			Sidecar: sink,
		})
	}
	return &bundle.Bundle{
		Sequence:    4,
		DataCentres: []bundle.DataCentre{{Name: "semarang"}},
		Services:    []bundle.Service{s},
	}
}

// startBalancer runs a balancer until the test ends.
func startBalancer(t testing.TB, b *bundle.Bundle) *balancer.Balancer {
	t.Helper()
	return startBalancerAt(t, b, netip.AddrPort{})
}

// startBalancerAt runs a balancer that sends refusals to gateway.
func startBalancerAt(t testing.TB, b *bundle.Bundle, gateway netip.AddrPort) *balancer.Balancer {
	t.Helper()
	clock := timer.New(timer.Config{PauseThreshold: time.Hour})
	lb, err := balancer.New(balancer.Config{
		Name:          "entry-1",
		Fabric:        netip.MustParseAddrPort("127.0.0.1:0"),
		Forward:       netip.MustParseAddrPort("127.0.0.1:0"),
		Gateway:       gateway,
		Key:           clusterKey(),
		Sender:        1,
		Drain:         time.Nanosecond,
		Timer:         clock,
		PauseDetector: timer.NewPauseDetector(clock),
		Log:           event.New(event.Config{}),
	})
	must.NoError(t, err)
	if b != nil {
		lb.Accept(b)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { lb.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return lb
}

// openingFrom returns the IP packet of a TCP opening from a caller's address and port.
func openingFrom(t testing.TB, caller string) []byte {
	t.Helper()
	ip, err := fabric.Segment{
		Source:      netip.MustParseAddrPort(caller),
		Destination: netip.MustParseAddrPort("198.51.100.1:7000"),
		Flags:       fabric.SYN,
		Sequence:    99,
		Payload:     make([]byte, 200),
	}.Encode()
	must.NoError(t, err)
	return ip
}

func geneve(t testing.TB, ip []byte) []byte {
	t.Helper()
	b, err := fabric.Append(nil, 0, ip, nil)
	must.NoError(t, err)
	return b
}

func TestBalancerForwardsPacketUnchanged(t *testing.T) {
	sink := listen(t)
	lb := startBalancer(t, bundleWith(addressOf(sink), 7))
	caller := listen(t)
	ip := openingFrom(t, "10.0.0.9:4000")
	_, err := caller.WriteToUDPAddrPort(geneve(t, ip), lb.FabricAddress())
	must.NoError(t, err)

	buf := make([]byte, 65535)
	n, _, err := sink.ReadFromUDPAddrPort(buf)
	must.NoError(t, err)
	opener, err := forward.NewOpener(forward.OpenerConfig{Key: clusterKey()})
	must.NoError(t, err)
	d, err := opener.Open(buf[:n])
	must.NoError(t, err)
	must.Eq(t, ip, d.Packet)
	var h forward.Header
	must.NoError(t, forward.NewHeaderDecoder().Decode(d.Body, &h))
	must.Eq(t, bundle.ServiceIDOf("fitting"), h.Service)
	must.Eq(t, uint64(4), h.Version)
	must.Len(t, 7, h.Candidates)
	must.Eq(t, lb.ForwardAddress(), h.Balancer)
}

// TestBalancerCountsDroppedPackets sends invalid datagrams and then a valid one, which
// must still be forwarded.
func TestBalancerCountsDroppedPackets(t *testing.T) {
	sink := listen(t)
	lb := startBalancer(t, bundleWith(addressOf(sink), 2))
	caller := listen(t)
	good := geneve(t, openingFrom(t, "10.0.0.9:4000"))
	denied := geneve(t, openingFrom(t, "192.0.2.9:4000"))
	bad := [][]byte{{}, {1, 2, 3}, good[:20], denied, make([]byte, 2000)}
	for _, b := range append(bad, good) {
		_, err := caller.WriteToUDPAddrPort(b, lb.FabricAddress())
		must.NoError(t, err)
	}
	_, err := caller.WriteToUDPAddrPort([]byte("unauthenticated"), lb.ForwardAddress())
	must.NoError(t, err)
	_, _, err = sink.ReadFromUDPAddrPort(make([]byte, 65535))
	must.NoError(t, err)
	// A worker counts a packet after it has forwarded it.
	for handled(lb.Counts()) < len(bad)+2 {
		must.NoError(t, timer.New(timer.Config{}).Sleep(t.Context(), time.Millisecond))
	}
	got := lb.Counts()
	must.Eq(t, uint64(1), got.Dropped["denied"])
	must.Eq(t, uint64(4), got.Dropped["malformed"])
	must.Eq(t, uint64(1), got.Dropped["forged"])
	must.Eq(t, uint64(1), got.Forwarded)
}

// handled returns how many datagrams have been forwarded or dropped.
func handled(c balancer.Counts) int {
	n := c.Forwarded
	for _, dropped := range c.Dropped {
		n += dropped
	}
	return int(n)
}

// TestBalancerRefusesOpeningsAboveTheLimit sends two openings of one caller prefix to a
// service that admits one per second.
func TestBalancerRefusesOpeningsAboveTheLimit(t *testing.T) {
	sink, gateway := listen(t), listen(t)
	b := bundleWith(addressOf(sink), 2)
	b.Services[0].Limit = bundle.Limit{Prefix: 1}
	lb := startBalancerAt(t, b, addressOf(gateway))
	caller := listen(t)
	buf := make([]byte, 65535)
	for _, from := range []string{"10.0.0.9:4000", "10.0.0.9:4001"} {
		_, err := caller.WriteToUDPAddrPort(geneve(t, openingFrom(t, from)), lb.FabricAddress())
		must.NoError(t, err)
		if from == "10.0.0.9:4000" {
			_, _, err = sink.ReadFromUDPAddrPort(buf)
			must.NoError(t, err)
		}
	}
	n, _, err := gateway.ReadFromUDPAddrPort(buf)
	must.NoError(t, err)
	got, err := fabric.NewDecoder(fabric.DecoderConfig{}).DecodeAnswerFrame(buf[:n])
	must.NoError(t, err)
	must.True(t, got.Packet.Reset)
	must.Eq(t, netip.MustParseAddrPort("10.0.0.9:4001"), got.Packet.Key.Caller())
	must.NotNil(t, got.Refusal)
	must.Eq(t, fabric.ReasonLimited, got.Refusal.Reason)
	must.True(t, got.Refusal.NotRun)
	must.Greater(t, 0, got.Refusal.RetryAfter)
}

// TestBalancerSkipsSilentSidecar reports the sidecar of a flow's first candidate as
// silent. The balancer must then forward openings to another candidate.
func TestBalancerSkipsSilentSidecar(t *testing.T) {
	sink := listen(t)
	lb := startBalancer(t, bundleWith(addressOf(sink), 3))
	caller := listen(t)
	opening := geneve(t, openingFrom(t, "10.0.0.9:4000"))
	first := forwardedTo(t, lb, caller, sink, opening)

	sealer, err := forward.NewSealer(forward.SealerConfig{Key: clusterKey(), Sender: 77})
	must.NoError(t, err)
	body, err := forward.EncodeMessage(&flow.SilenceReport{Upstreams: []bundle.UpstreamID{first}})
	must.NoError(t, err)
	_, err = caller.WriteToUDPAddrPort(sealer.AppendMessage(nil, forward.KindSilence, body), lb.ForwardAddress())
	must.NoError(t, err)
	for forwardedTo(t, lb, caller, sink, opening) == first {
		must.NoError(t, timer.New(timer.Config{}).Sleep(t.Context(), time.Millisecond))
	}
}

// forwardedTo sends a caller's datagram and returns the upstream whose sidecar it is forwarded to.
func forwardedTo(t *testing.T, lb *balancer.Balancer, caller, sink *net.UDPConn, datagram []byte) bundle.UpstreamID {
	t.Helper()
	_, err := caller.WriteToUDPAddrPort(datagram, lb.FabricAddress())
	must.NoError(t, err)
	buf := make([]byte, 65535)
	n, _, err := sink.ReadFromUDPAddrPort(buf)
	must.NoError(t, err)
	opener, err := forward.NewOpener(forward.OpenerConfig{Key: clusterKey()})
	must.NoError(t, err)
	d, err := opener.Open(buf[:n])
	must.NoError(t, err)
	var h forward.Header
	must.NoError(t, forward.NewHeaderDecoder().Decode(d.Body, &h))
	return h.Candidates[h.Current].Upstream
}

// TestBalancerDropsOversizedPackets sends a packet that exceeds the MTU only once the
// forwarding header is added.
func TestBalancerDropsOversizedPackets(t *testing.T) {
	sink := listen(t)
	lb := startBalancer(t, bundleWith(addressOf(sink), 7))
	caller := listen(t)
	ip, err := fabric.Segment{
		Source:      netip.MustParseAddrPort("10.0.0.9:4000"),
		Destination: netip.MustParseAddrPort("198.51.100.1:7000"),
		Flags:       fabric.ACK,
		Payload:     make([]byte, 8900),
	}.Encode()
	must.NoError(t, err)
	_, err = caller.WriteToUDPAddrPort(geneve(t, ip), lb.FabricAddress())
	must.NoError(t, err)
	for handled(lb.Counts()) < 1 {
		must.NoError(t, timer.New(timer.Config{}).Sleep(t.Context(), time.Millisecond))
	}
	must.Eq(t, map[string]uint64{"oversized": 1}, lb.Counts().Dropped)
}
