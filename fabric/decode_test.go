package fabric_test

import (
	"encoding/binary"
	"net/netip"
	"testing"

	"github.com/corianderbay/corianderbay/fabric"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/shoenig/test/must"
)

type family struct {
	name            string
	caller, address netip.AddrPort
}

func families() []family {
	return []family{
		{"ipv4", netip.MustParseAddrPort("10.1.2.3:4000"), netip.MustParseAddrPort("198.51.100.7:80")},
		{"ipv6", netip.MustParseAddrPort("[2001:db8::1]:4000"), netip.MustParseAddrPort("[2001:db8:1::7]:80")},
	}
}

func (f family) segment(tb testing.TB, flags fabric.Flags, payload string) []byte {
	tb.Helper()
	ip, err := fabric.Segment{
		Source: f.caller, Destination: f.address, Flags: flags,
		Sequence: 1000, Acknowledged: 2000, Payload: []byte(payload),
	}.Encode()
	must.NoError(tb, err)
	return ip
}

func (f family) datagram(tb testing.TB, payload string) []byte {
	tb.Helper()
	ip, err := fabric.Datagram{Source: f.caller, Destination: f.address, Payload: []byte(payload)}.Encode()
	must.NoError(tb, err)
	return ip
}

func encapsulate(tb testing.TB, ip []byte, r *fabric.Refusal) []byte {
	tb.Helper()
	datagram, err := fabric.Append(nil, 77, ip, r)
	must.NoError(tb, err)
	return datagram
}

func TestDecodeSegment(t *testing.T) {
	tests := []struct {
		name  string
		flags fabric.Flags
		want  flow.Packet
	}{
		{"opening", fabric.SYN, flow.Packet{Opening: true}},
		{"opening answered", fabric.SYN | fabric.ACK, flow.Packet{HasAck: true}},
		{"data", fabric.PSH | fabric.ACK, flow.Packet{HasAck: true}},
		{"closing", fabric.FIN | fabric.ACK, flow.Packet{HasAck: true, Closing: true}},
		{"reset", fabric.RST, flow.Packet{Closing: true, Reset: true}},
	}
	d := fabric.NewDecoder(fabric.DecoderConfig{})
	for _, f := range families() {
		for _, tc := range tests {
			t.Run(f.name+" "+tc.name, func(t *testing.T) {
				ip := f.segment(t, tc.flags, "body")
				tc.want.Key = flow.NewKey(flow.TCP, f.caller, f.address)
				tc.want.Sequence, tc.want.Acknowledged, tc.want.Size = 1000, 2000, len(ip)
				got, err := d.Decode(encapsulate(t, ip, nil))
				must.NoError(t, err)
				must.EqOp(t, tc.want, got.Packet)
				must.Eq(t, ip, got.IP)
				must.Eq(t, "body", string(got.Payload))
				must.Eq(t, 77, got.VNI)
				must.Nil(t, got.Refusal)
				must.Eq(t, tc.flags, d.Flags())
			})
		}
	}
}

func TestDecodeDatagramBothDirections(t *testing.T) {
	d := fabric.NewDecoder(fabric.DecoderConfig{})
	for _, f := range families() {
		ip := f.datagram(t, "question")
		p, payload, err := d.DecodePacket(ip)
		must.NoError(t, err)
		must.EqOp(t, flow.Packet{Key: flow.NewKey(flow.UDP, f.caller, f.address), Size: len(ip)}, p)
		must.Eq(t, "question", string(payload))

		answer, err := fabric.DatagramAnswer(p.Key, []byte("answer"))
		must.NoError(t, err)
		back, payload, err := d.DecodeAnswer(answer)
		must.NoError(t, err)
		must.EqOp(t, p.Key, back.Key)
		must.Eq(t, "answer", string(payload))
		frame, err := d.DecodeAnswerFrame(encapsulate(t, answer, nil))
		must.NoError(t, err)
		must.EqOp(t, p.Key, frame.Packet.Key)
	}
}

func TestDecodeTruncatedAtEveryLength(t *testing.T) {
	d := fabric.NewDecoder(fabric.DecoderConfig{})
	refusal := &fabric.Refusal{Reason: fabric.ReasonLimited}
	for _, f := range families() {
		for _, ip := range [][]byte{f.segment(t, fabric.ACK, "body"), f.datagram(t, "body")} {
			datagram := encapsulate(t, ip, refusal)
			for n := range datagram {
				_, err := d.Decode(datagram[:n])
				var truncated *fabric.TruncatedError
				must.ErrorAs[*fabric.TruncatedError](t, err, &truncated, must.Sprintf("%s, %d bytes", f.name, n))
			}
			for n := range ip {
				_, _, err := d.DecodePacket(ip[:n])
				var truncated *fabric.TruncatedError
				must.ErrorAs[*fabric.TruncatedError](t, err, &truncated, must.Sprintf("%s, %d bytes", f.name, n))
			}
		}
	}
}

// withByte returns a copy of b with the byte at i set to v.
func withByte(b []byte, i int, v byte) []byte {
	b = append([]byte(nil), b...)
	b[i] = v
	return b
}

func TestDecodeRejects(t *testing.T) {
	v4, v6 := families()[0], families()[1]
	tcp4 := encapsulate(t, v4.segment(t, fabric.ACK, "body"), nil)
	udp4 := encapsulate(t, v4.datagram(t, "body"), nil)
	tcp6 := encapsulate(t, v6.segment(t, fabric.ACK, "body"), nil)
	refused := encapsulate(t, v4.datagram(t, "body"), &fabric.Refusal{Reason: fabric.ReasonDenied})
	mapped := append([]byte(nil), tcp6...)
	copy(mapped[8+8:], []byte{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff, 10, 1, 2, 3})
	options := append(withByte(tcp4[:8], 0, 63), make([]byte, 252)...)
	tests := []struct {
		name     string
		datagram []byte
		want     error
	}{
		{"geneve version", withByte(tcp4, 0, 0x40), &fabric.VersionError{Layer: "geneve", Got: 1}},
		{"protocol type", withByte(tcp4, 2, 0x65), &fabric.ProtocolTypeError{Got: 0x6500}},
		{"protocol type of the other family", withByte(withByte(tcp4, 2, 0x86), 3, 0xdd), &fabric.VersionError{Layer: "ipv6", Got: 4}},
		{"ip version", withByte(tcp4, 8, 0x75), &fabric.VersionError{Layer: "ipv4", Got: 7}},
		{"critical option", withByte(refused, 9, 0x01), &fabric.OptionError{Class: 0xff01, Type: 0x81}},
		{"refusal reason", withByte(refused, 12, 99), &fabric.RefusalError{Field: "reason", Value: 99}},
		{"refusal flags", withByte(refused, 13, 2), &fabric.RefusalError{Field: "flags", Value: 2}},
		{"refusal reserved", withByte(refused, 15, 1), &fabric.RefusalError{Field: "reserved", Value: 1}},
		{"refusal retry-after", withByte(refused, 16, 0xff), &fabric.RefusalError{Field: "retry-after", Value: 0xff000000 * 1e6}},
		{"option area", options, &fabric.SizeError{Size: 252, Max: 240}},
		{"first fragment", withByte(tcp4, 8+6, 0x20), &fabric.FragmentError{}},
		{"later fragment", withByte(tcp4, 8+7, 0x01), &fabric.FragmentError{}},
		{"ipv6 fragment", withByte(tcp6, 8+6, 44), &fabric.FragmentError{}},
		{"icmp", withByte(tcp4, 8+9, 1), &fabric.ProtocolError{Got: 1}},
		{"ipv6 routing header", withByte(tcp6, 8+6, 43), &fabric.ProtocolError{Got: 43}},
		{"ip in ip", withByte(tcp4, 8+9, 4), &fabric.ProtocolError{Got: 4}},
		{"ipv4 length zero", withByte(withByte(tcp4, 8+2, 0), 8+3, 0), &fabric.MalformedError{Layer: "ipv4", Field: "length"}},
		{"udp length zero", withByte(withByte(udp4, 8+24, 0), 8+25, 0), &fabric.MalformedError{Layer: "udp", Field: "length"}},
		{"ipv4-mapped address", mapped, &fabric.MalformedError{Layer: "ipv6", Field: "IPv4-mapped address"}},
		{"oversized", encapsulate(t, v4.datagram(t, string(make([]byte, 9000))), nil), &fabric.SizeError{Size: 9028, Max: 9000}},
	}
	d := fabric.NewDecoder(fabric.DecoderConfig{})
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, err := d.Decode(tc.datagram)
			must.Eq(t, tc.want, err)
		})
	}
	_, err := d.Decode(withByte(tcp4, 8, 0x44))
	var malformed *fabric.MalformedError
	must.ErrorAs[*fabric.MalformedError](t, err, &malformed)
	must.Eq(t, "ipv4", malformed.Layer)
}

func TestDecodeTrimsTrailingBytes(t *testing.T) {
	d := fabric.NewDecoder(fabric.DecoderConfig{})
	for _, f := range families() {
		ip := f.datagram(t, "body")
		got, err := d.Decode(append(encapsulate(t, ip, nil), 1, 2, 3))
		must.NoError(t, err)
		must.Eq(t, ip, got.IP)
		must.Eq(t, "body", string(got.Payload))
	}
}

// TestDecodeIgnoresInnerTunnel checks that a tunnel inside a caller's packet is
// treated as payload. gopacket's parser would decode it and return the key of
// the inner packet.
func TestDecodeIgnoresInnerTunnel(t *testing.T) {
	f := families()[0]
	inner := encapsulate(t, f.segment(t, fabric.SYN, ""), nil)
	address := netip.AddrPortFrom(f.address.Addr(), 6081)
	ip, err := fabric.Datagram{Source: f.caller, Destination: address, Payload: inner}.Encode()
	must.NoError(t, err)
	got, err := fabric.NewDecoder(fabric.DecoderConfig{}).Decode(encapsulate(t, ip, nil))
	must.NoError(t, err)
	must.EqOp(t, flow.NewKey(flow.UDP, f.caller, address), got.Packet.Key)
	must.Eq(t, inner, got.Payload)
}

func TestDecodeSkipsUnknownOption(t *testing.T) {
	f := families()[0]
	ip := f.datagram(t, "body")
	datagram := append([]byte{2, 0, 8, 0, 0, 0, 0, 0, 1, 2, 3, 1, 9, 9, 9, 9}, ip...)
	got, err := fabric.NewDecoder(fabric.DecoderConfig{}).Decode(datagram)
	must.NoError(t, err)
	must.Eq(t, ip, got.IP)
	datagram[11] = 9 // longer than the option area, within the datagram
	_, err = fabric.NewDecoder(fabric.DecoderConfig{}).Decode(datagram)
	must.Eq(t, error(&fabric.MalformedError{Layer: "geneve", Field: "option length"}), err)
}

func FuzzDecode(f *testing.F) {
	d := fabric.NewDecoder(fabric.DecoderConfig{})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		got, err := d.Decode(datagram)
		if err != nil {
			must.Nil(t, got.IP)
			return
		}
		must.Eq(t, len(got.IP), got.Packet.Size)
		again, err := fabric.Append(nil, got.VNI, got.IP, got.Refusal)
		must.NoError(t, err)
		second, err := d.Decode(again)
		must.NoError(t, err)
		must.EqOp(t, got.Packet, second.Packet)
		must.Eq(t, got.Refusal, second.Refusal)
	})
}

func FuzzDecodePacket(f *testing.F) {
	d := fabric.NewDecoder(fabric.DecoderConfig{})
	f.Fuzz(func(t *testing.T, ip []byte) {
		p, payload, err := d.DecodePacket(ip)
		if err != nil {
			return
		}
		must.Less(t, p.Size, len(payload))
		back, _, err := d.DecodeAnswer(ip)
		must.NoError(t, err)
		must.EqOp(t, p.Key.Caller(), back.Key.Address())
		if _, err := fabric.Refuse(ip); err != nil {
			must.Eq(t, error(&fabric.NoResetError{}), err)
		}
	})
}

func BenchmarkDecode(b *testing.B) {
	for _, f := range families() {
		for name, ip := range map[string][]byte{"tcp": f.segment(b, fabric.ACK, string(make([]byte, 512))), "udp": f.datagram(b, string(make([]byte, 512)))} {
			b.Run(f.name+"/"+name, func(b *testing.B) {
				d := fabric.NewDecoder(fabric.DecoderConfig{})
				datagram := encapsulate(b, ip, nil)
				b.ReportAllocs()
				for b.Loop() {
					if _, err := d.Decode(datagram); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

func TestDecodeAllocatesNothing(t *testing.T) {
	d := fabric.NewDecoder(fabric.DecoderConfig{})
	for _, f := range families() {
		datagram := encapsulate(t, f.segment(t, fabric.ACK, "body"), nil)
		must.Eq(t, 0, testing.AllocsPerRun(100, func() { _, _ = d.Decode(datagram) }))
	}
}

func TestChecksums(t *testing.T) {
	for _, f := range families() {
		for _, payload := range []string{"", "a", "odd", "even"} {
			must.Eq(t, 0xffff, checksumSum(f.segment(t, fabric.ACK, payload)))
			must.Eq(t, 0xffff, checksumSum(f.datagram(t, payload)))
		}
	}
}

// checksumSum returns the one's complement sum over pseudo-header and segment, which is 0xffff if the checksum is valid.
func checksumSum(ip []byte) uint32 {
	addresses, segment, protocol := ip[12:20], ip[20:], ip[9]
	if ip[0]>>4 == 6 {
		addresses, segment, protocol = ip[8:40], ip[40:], ip[6]
	}
	b := append([]byte{0, protocol}, addresses...)
	b = binary.BigEndian.AppendUint16(b, uint16(len(segment)))
	b = append(append(b, segment...), make([]byte, len(segment)%2)...)
	var n uint32
	for i := 0; i < len(b); i += 2 {
		n += uint32(binary.BigEndian.Uint16(b[i:]))
	}
	for n > 0xffff {
		n = n>>16 + n&0xffff
	}
	return n
}
