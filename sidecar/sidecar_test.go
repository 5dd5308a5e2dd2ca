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

// bench is a sidecar with sockets in the place of its balancer, upstream and fabric.
type bench struct {
	t        *testing.T
	sidecar  *sidecar.Sidecar
	bundle   *bundle.Bundle
	sealer   *forward.Sealer
	balancer *net.UDPConn
	upstream *net.UDPConn
	gateway  *net.UDPConn
}

func newBench(t *testing.T, mode string) *bench {
	b := &bench{t: t, balancer: listen(t), upstream: listen(t), gateway: listen(t)}
	key := bytes.Repeat([]byte{7}, forward.KeySize)
	sealer, err := forward.NewSealer(forward.SealerConfig{Key: key, Sender: 5})
	must.NoError(t, err)
	b.sealer = sealer
	service := timer.New(timer.Config{PauseThreshold: time.Hour})
	b.sidecar, err = sidecar.New(sidecar.Config{
		Name:      upstreamName,
		Forward:   netip.MustParseAddrPort("127.0.0.1:0"),
		Gateway:   addressOf(b.gateway),
		Key:       key,
		Sender:    6,
		Drain:     time.Nanosecond,
		Upstream:  upstream.Config{Mode: mode, Address: addressOf(b.upstream)},
		Timer:     service,
		PauseDetector: timer.NewPauseDetector(service),
		Log:       event.New(event.Config{}),
	})
	must.NoError(t, err)
	b.bundle = bundleWith(b.sidecar.ForwardAddress())
	b.sidecar.Accept(b.bundle)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { b.sidecar.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return b
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

// bundleWith has one idempotent service with one upstream, reached over TCP and UDP.
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

// forward seals a caller's packet as a balancer does.
func (b *bench) forward(ip []byte) []byte {
	b.t.Helper()
	p, _, err := fabric.NewDecoder(fabric.DecoderConfig{}).DecodePacket(ip)
	must.NoError(b.t, err)
	h := &forward.Header{
		Service:    bundle.ServiceIDOf("fitting"),
		Version:    1,
		Phase:      forward.PhaseAccept,
		Balancer:   addressOf(b.balancer),
		Candidates: route.NewView(b.bundle).Rank(nil, p.Key),
	}
	out, err := b.sealer.AppendPacket(nil, h, ip)
	must.NoError(b.t, err)
	return out
}

func (b *bench) send(datagram []byte) {
	b.t.Helper()
	_, err := b.balancer.WriteToUDPAddrPort(datagram, b.sidecar.ForwardAddress())
	must.NoError(b.t, err)
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

// readFrame returns the next packet in Geneve.
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
	b := newBench(t, upstream.ModeTunnel)
	opening := segment(t, fabric.SYN, 100, 0)
	b.send(b.forward(opening))
	got, from := readFrame(t, b.upstream, false)
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
	_, err = b.upstream.WriteToUDPAddrPort(raw, from)
	must.NoError(t, err)
	back, _ := readFrame(t, b.gateway, true)
	must.Eq(t, answer, back.IP)
	must.Eq(t, 1, b.sidecar.Counts().Flows)
}

func TestSidecarServesPlainUDPServer(t *testing.T) {
	b := newBench(t, upstream.ModeDatagram)
	key := flow.NewKey(flow.UDP, netip.MustParseAddrPort("10.0.0.9:4000"), netip.MustParseAddrPort("198.51.100.1:7000"))
	ip, err := fabric.Datagram{Source: key.Caller(), Destination: key.Address(), Payload: []byte("question")}.Encode()
	must.NoError(t, err)
	b.send(b.forward(ip))
	question, from := read(t, b.upstream)
	must.Eq(t, "question", string(question))
	_, err = b.upstream.WriteToUDPAddrPort([]byte("answer"), from)
	must.NoError(t, err)
	back, _ := readFrame(t, b.gateway, true)
	must.Eq(t, "answer", string(back.Payload))
	must.Eq(t, key, back.Packet.Key)
}

func TestSidecarRefusesSegmentsOfUnknownFlows(t *testing.T) {
	b := newBench(t, upstream.ModeTunnel)
	b.send(b.forward(segment(t, fabric.ACK, 100, 200)))
	back, _ := readFrame(t, b.gateway, true)
	must.True(t, back.Packet.Reset)
	must.False(t, back.Refusal.NotRun)
	must.Eq(t, uint64(1), b.sidecar.Counts().Broken)
}

// TestSidecarCountsDroppedPackets sends bad input and then a good packet, which
// shows that all before it was handled and ended nothing.
func TestSidecarCountsDroppedPackets(t *testing.T) {
	b := newBench(t, upstream.ModeTunnel)
	good := b.forward(segment(t, fabric.SYN, 100, 0))
	forged := bytes.Clone(good)
	forged[len(forged)-1] ^= 1
	badHeader := b.sealer.AppendMessage(nil, forward.KindPacket, []byte{0xc1})
	badHints := b.sealer.AppendMessage(nil, forward.KindHints, []byte{0xc1})
	badReport := b.sealer.AppendMessage(nil, forward.KindReport, nil)
	badLoad := b.sealer.AppendMessage(nil, forward.KindLoad, []byte{0x90})
	badKind := b.sealer.AppendMessage(nil, 99, nil)
	for _, raw := range [][]byte{{}, good[:30], forged, badHeader, badHints, badReport, badLoad, badKind, good, good} {
		b.send(raw)
	}
	clock := timer.New(timer.Config{})
	want := map[string]uint64{"forged": 4, "malformed": 5}
	for b.sidecar.Counts().Dropped["forged"] < want["forged"] || b.sidecar.Counts().Dropped["malformed"] < want["malformed"] {
		must.NoError(t, clock.Sleep(t.Context(), time.Millisecond))
	}
	must.Eq(t, want, b.sidecar.Counts().Dropped)
	_, _ = readFrame(t, b.upstream, false)
	for b.sidecar.Counts().Delivered == 0 { // a packet is counted after it was sent
		must.NoError(t, clock.Sleep(t.Context(), time.Millisecond))
	}
	must.Eq(t, uint64(1), b.sidecar.Counts().Delivered)
}

// TestSidecarCountsBadAnswers sends what is no answer from the upstream's
// address, and an answer from a stranger's.
func TestSidecarCountsBadAnswers(t *testing.T) {
	b := newBench(t, upstream.ModeTunnel)
	b.send(b.forward(segment(t, fabric.SYN, 100, 0)))
	_, edge := readFrame(t, b.upstream, false)
	_, err := b.upstream.WriteToUDPAddrPort([]byte("no packet"), edge)
	must.NoError(t, err)
	_, err = b.balancer.WriteToUDPAddrPort([]byte("no friend"), edge)
	must.NoError(t, err)
	clock := timer.New(timer.Config{})
	want := upstream.Drops{Stranger: 1, Malformed: 1}
	for b.sidecar.Counts().Upstream != want {
		must.NoError(t, clock.Sleep(t.Context(), time.Millisecond))
	}
}
