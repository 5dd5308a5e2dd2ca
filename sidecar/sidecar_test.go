package sidecar_test

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/fabric"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
	"github.com/corianderbay/corianderbay/route"
	"github.com/corianderbay/corianderbay/sidecar"
	"github.com/corianderbay/corianderbay/timer"
	"github.com/corianderbay/corianderbay/upstream"
	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc"
)

const upstreamName = "fitting-1"

// fixture is a sidecar with sockets that act as its balancer, upstream and fabric.
type fixture struct {
	t        *testing.T
	sidecar  *sidecar.Sidecar
	bundle   *bundle.Bundle
	sealer   *forward.Sealer
	balancer *net.UDPConn
	upstream *net.UDPConn
	gateway  *net.UDPConn
}

func newFixture(t *testing.T, mode string) *fixture {
	f := &fixture{t: t, balancer: listen(t), upstream: listen(t), gateway: listen(t)}
	key := bytes.Repeat([]byte{7}, forward.KeySize)
	sealer, err := forward.NewSealer(forward.SealerConfig{Key: key, Sender: 5})
	must.NoError(t, err)
	f.sealer = sealer
	clock := timer.New(timer.Config{PauseThreshold: time.Hour})
	f.sidecar, err = sidecar.New(sidecar.Config{
		Name:          upstreamName,
		Forward:       netip.MustParseAddrPort("127.0.0.1:0"),
		Gateway:       addressOf(f.gateway),
		Key:           key,
		Sender:        6,
		Drain:         time.Nanosecond,
		Upstream:      upstream.Config{Mode: mode, Address: addressOf(f.upstream)},
		Timer:         clock,
		PauseDetector: timer.NewPauseDetector(clock),
		Log:           event.New(event.Config{}),
	})
	must.NoError(t, err)
	f.bundle = bundleWith(f.sidecar.ForwardAddress())
	f.sidecar.Accept(f.bundle)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { f.sidecar.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return f
}

func listen(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	must.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

func addressOf(c *net.UDPConn) netip.AddrPort {
	return c.LocalAddr().(*net.UDPAddr).AddrPort()
}

// bundleWith returns a bundle of one idempotent service with one upstream, reached over
// TCP and UDP.
func bundleWith(at netip.AddrPort) *bundle.Bundle {
	ip := netip.MustParseAddr("198.51.100.1")
	return &bundle.Bundle{
		Sequence:    1,
		DataCentres: []bundle.DataCentre{{Name: "semarang"}},
		Services: []bundle.Service{{
			Name:       "fitting",
			Idempotent: true,
			Addresses: []bundle.Address{
				{IP: ip, Port: 7000, Protocol: "tcp"},
				{IP: ip, Port: 7000, Protocol: "udp"},
			},
			Rules: []bundle.Rule{{Callers: netip.MustParsePrefix("10.0.0.0/8"), Allow: true}},
			Places: []bundle.Place{{
				DataCentre: "semarang",
				Upstreams:  []bundle.Upstream{{Name: upstreamName, Sidecar: at}},
			}},
		}},
	}
}

// forward returns the sealed datagram in which a balancer forwards a caller's packet.
func (f *fixture) forward(ip []byte) []byte {
	f.t.Helper()
	p, _, err := fabric.NewDecoder(fabric.DecoderConfig{}).DecodePacket(ip)
	must.NoError(f.t, err)
	h := &forward.Header{
		Service:    bundle.ServiceIDOf("fitting"),
		Version:    1,
		Phase:      forward.PhaseAccept,
		Balancer:   addressOf(f.balancer),
		Candidates: route.NewView(f.bundle).Rank(nil, p.Key),
	}
	out, err := f.sealer.AppendPacket(nil, h, ip)
	must.NoError(f.t, err)
	return out
}

func (f *fixture) send(datagram []byte) {
	f.t.Helper()
	_, err := f.balancer.WriteToUDPAddrPort(datagram, f.sidecar.ForwardAddress())
	must.NoError(f.t, err)
}

// segment returns the IP packet of a caller's TCP segment.
func segment(t *testing.T, flags fabric.Flags, seq, ack uint32) []byte {
	t.Helper()
	ip, err := fabric.Segment{
		Source:       netip.MustParseAddrPort("10.0.0.9:4000"),
		Destination:  netip.MustParseAddrPort("198.51.100.1:7000"),
		Flags:        flags,
		Sequence:     seq,
		Acknowledged: ack,
	}.Encode()
	must.NoError(t, err)
	return ip
}

// read returns the next datagram and its sender.
func read(t *testing.T, c *net.UDPConn) ([]byte, netip.AddrPort) {
	t.Helper()
	buf := make([]byte, 65535)
	n, from, err := c.ReadFromUDPAddrPort(buf)
	must.NoError(t, err)
	return buf[:n], from
}

// readFrame returns the next Geneve frame and its sender. answer selects the decoding
// of a packet to a caller.
func readFrame(t *testing.T, c *net.UDPConn, answer bool) (fabric.Frame, netip.AddrPort) {
	t.Helper()
	raw, from := read(t, c)
	d := fabric.NewDecoder(fabric.DecoderConfig{})
	if answer {
		f, err := d.DecodeAnswerFrame(raw)
		must.NoError(t, err)
		return f, from
	}
	f, err := d.Decode(raw)
	must.NoError(t, err)
	return f, from
}

func TestSidecarDeliversAndAnswersThroughATunnel(t *testing.T) {
	f := newFixture(t, upstream.ModeTunnel)
	opening := segment(t, fabric.SYN, 100, 0)
	f.send(f.forward(opening))
	got, from := readFrame(t, f.upstream, false)
	must.Eq(t, opening, got.IP)

	answer, err := fabric.Segment{
		Source:       netip.MustParseAddrPort("198.51.100.1:7000"),
		Destination:  netip.MustParseAddrPort("10.0.0.9:4000"),
		Flags:        fabric.SYN | fabric.ACK,
		Sequence:     900,
		Acknowledged: 101,
	}.Encode()
	must.NoError(t, err)
	raw, err := fabric.Append(nil, 0, answer, nil)
	must.NoError(t, err)
	_, err = f.upstream.WriteToUDPAddrPort(raw, from)
	must.NoError(t, err)
	back, _ := readFrame(t, f.gateway, true)
	must.Eq(t, answer, back.IP)
	must.Eq(t, 1, f.sidecar.Counts().Flows)
}

func TestSidecarServesPlainUDPServer(t *testing.T) {
	f := newFixture(t, upstream.ModeDatagram)
	key := flow.NewKey(flow.UDP, netip.MustParseAddrPort("10.0.0.9:4000"), netip.MustParseAddrPort("198.51.100.1:7000"))
	ip, err := fabric.Datagram{Source: key.Caller(), Destination: key.Address(), Payload: []byte("question")}.Encode()
	must.NoError(t, err)
	f.send(f.forward(ip))
	question, from := read(t, f.upstream)
	must.Eq(t, "question", string(question))
	_, err = f.upstream.WriteToUDPAddrPort([]byte("answer"), from)
	must.NoError(t, err)
	back, _ := readFrame(t, f.gateway, true)
	must.Eq(t, "answer", string(back.Payload))
	must.Eq(t, key, back.Packet.Key)
}

func TestSidecarRefusesSegmentsOfUnknownFlows(t *testing.T) {
	f := newFixture(t, upstream.ModeTunnel)
	f.send(f.forward(segment(t, fabric.ACK, 100, 200)))
	back, _ := readFrame(t, f.gateway, true)
	must.True(t, back.Packet.Reset)
	must.False(t, back.Refusal.NotRun)
	must.Eq(t, uint64(1), f.sidecar.Counts().Broken)
}

// TestSidecarCountsDroppedPackets sends invalid datagrams and then a valid one twice. The
// valid one must be delivered, and its replay dropped as forged.
func TestSidecarCountsDroppedPackets(t *testing.T) {
	f := newFixture(t, upstream.ModeTunnel)
	good := f.forward(segment(t, fabric.SYN, 100, 0))
	forged := bytes.Clone(good)
	forged[len(forged)-1] ^= 1
	badHeader := f.sealer.AppendMessage(nil, forward.KindPacket, []byte{0xc1})
	badHints := f.sealer.AppendMessage(nil, forward.KindHints, []byte{0xc1})
	badReport := f.sealer.AppendMessage(nil, forward.KindReport, nil)
	badLoad := f.sealer.AppendMessage(nil, forward.KindLoad, []byte{0x90})
	badKind := f.sealer.AppendMessage(nil, 99, nil)
	for _, raw := range [][]byte{{}, good[:30], forged, badHeader, badHints, badReport, badLoad, badKind, good, good} {
		f.send(raw)
	}
	clock := timer.New(timer.Config{})
	want := map[string]uint64{"forged": 4, "malformed": 5}
	for f.sidecar.Counts().Dropped["forged"] < want["forged"] || f.sidecar.Counts().Dropped["malformed"] < want["malformed"] {
		must.NoError(t, clock.Sleep(t.Context(), time.Millisecond))
	}
	must.Eq(t, want, f.sidecar.Counts().Dropped)
	_, _ = readFrame(t, f.upstream, false)
	for f.sidecar.Counts().Delivered == 0 { // a packet is counted after it is sent
		must.NoError(t, clock.Sleep(t.Context(), time.Millisecond))
	}
	must.Eq(t, uint64(1), f.sidecar.Counts().Delivered)
}

// TestSidecarCountsBadAnswers sends a malformed answer from the upstream's address, and
// one from an unknown address.
func TestSidecarCountsBadAnswers(t *testing.T) {
	f := newFixture(t, upstream.ModeTunnel)
	f.send(f.forward(segment(t, fabric.SYN, 100, 0)))
	_, from := readFrame(t, f.upstream, false)
	_, err := f.upstream.WriteToUDPAddrPort([]byte("malformed packet"), from)
	must.NoError(t, err)
	_, err = f.balancer.WriteToUDPAddrPort([]byte("unknown sender"), from)
	must.NoError(t, err)
	clock := timer.New(timer.Config{})
	want := upstream.Drops{UnknownSource: 1, Malformed: 1}
	for f.sidecar.Counts().Upstream != want {
		must.NoError(t, clock.Sleep(t.Context(), time.Millisecond))
	}
}
