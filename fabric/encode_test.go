package fabric_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/fabric"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/shoenig/test/must"
)

func TestAppendMatchesGeneveLayer(t *testing.T) {
	ip := families()[0].datagram(t, "body")
	b := gopacket.NewSerializeBuffer()
	layer := &layers.Geneve{Protocol: layers.EthernetTypeIPv4, VNI: 77}
	must.NoError(t, gopacket.SerializeLayers(b, gopacket.SerializeOptions{FixLengths: true}, layer, gopacket.Payload(ip)))
	must.Eq(t, b.Bytes(), encapsulate(t, ip, nil))
}

func TestRefusalRoundTrip(t *testing.T) {
	tests := []struct{ sent, want fabric.Refusal }{
		{fabric.Refusal{Reason: fabric.ReasonDenied, NotRun: true}, fabric.Refusal{Reason: fabric.ReasonDenied, NotRun: true}},
		{
			fabric.Refusal{Reason: fabric.ReasonLeaving, RetryAfter: 1500 * time.Microsecond},
			fabric.Refusal{Reason: fabric.ReasonLeaving, RetryAfter: 2 * time.Millisecond},
		},
		{
			fabric.Refusal{Reason: fabric.ReasonOverloaded, RetryAfter: fabric.MaxRetryAfter},
			fabric.Refusal{Reason: fabric.ReasonOverloaded, RetryAfter: fabric.MaxRetryAfter},
		},
	}
	d := fabric.NewDecoder(fabric.DecoderConfig{})
	for _, f := range families() {
		for _, tc := range tests {
			back, err := d.Refuse(f.datagram(t, "question"))
			must.NoError(t, err)
			got, err := d.DecodeAnswerFrame(encapsulate(t, back, &tc.sent))
			must.NoError(t, err)
			must.EqOp(t, tc.want, *got.Refusal)
			must.EqOp(t, f.caller, got.Packet.Key.Caller())
			must.Eq(t, "question", string(got.Payload))
		}
	}
}

func TestAppendRejects(t *testing.T) {
	ip := families()[0].datagram(t, "body")
	tests := []struct {
		name    string
		vni     uint32
		ip      []byte
		refusal *fabric.Refusal
		want    error
	}{
		{"empty", 0, nil, nil, &fabric.TruncatedError{Layer: "ipv4"}},
		{"version", 0, []byte{0x50}, nil, &fabric.VersionError{Layer: "ipv4", Got: 5}},
		{"vni", 1 << 24, ip, nil, &fabric.VNIError{Got: 1 << 24}},
		{"size", 0, append([]byte{0x45}, make([]byte, fabric.MaxPacket)...), nil, &fabric.SizeError{Size: fabric.MaxPacket + 1, Max: fabric.MaxPacket}},
		{"reason", 0, ip, &fabric.Refusal{}, &fabric.RefusalError{Field: "reason"}},
		{"retry-after", 0, ip, &fabric.Refusal{Reason: fabric.ReasonDenied, RetryAfter: 2 * time.Hour}, &fabric.RefusalError{Field: "retry-after", Value: uint64(2 * time.Hour)}},
	}
	for _, tc := range tests {
		got, err := fabric.Append([]byte("kept"), tc.vni, tc.ip, tc.refusal)
		must.Eq(t, tc.want, err, must.Sprint(tc.name))
		must.Eq(t, "kept", string(got))
	}
}

func TestReset(t *testing.T) {
	tests := []struct {
		name             string
		flags            fabric.Flags
		payload          string
		wantFlags        fabric.Flags
		wantSeq, wantAck uint32
	}{
		{"opening", fabric.SYN, "", fabric.RST | fabric.ACK, 0, 1001},
		{"data without ack", fabric.PSH, "body", fabric.RST | fabric.ACK, 0, 1004},
		{"closing without ack", fabric.FIN, "body", fabric.RST | fabric.ACK, 0, 1005},
		{"data", fabric.ACK, "body", fabric.RST, 2000, 0},
		{"opening answered", fabric.SYN | fabric.ACK, "", fabric.RST, 2000, 0},
	}
	d := fabric.NewDecoder(fabric.DecoderConfig{})
	for _, f := range families() {
		for _, tc := range tests {
			back, err := fabric.Reset(f.segment(t, tc.flags, tc.payload))
			must.NoError(t, err)
			must.Eq(t, 0xffff, checksumSum(back))
			got, _, err := d.DecodeAnswer(back)
			must.NoError(t, err)
			must.EqOp(t, f.caller, got.Key.Caller())
			must.Eq(t, tc.wantFlags, d.Flags(), must.Sprint(tc.name))
			must.Eq(t, tc.wantSeq, got.Sequence, must.Sprint(tc.name))
			must.Eq(t, tc.wantAck, got.Acknowledged, must.Sprint(tc.name))
		}
		_, err := fabric.Reset(f.segment(t, fabric.RST, ""))
		must.Eq(t, error(&fabric.NoResetError{}), err)
		_, err = fabric.Reset(f.datagram(t, ""))
		must.Eq(t, error(&fabric.ProtocolError{Got: 17}), err)
	}
}

func TestEncodeRejectsMixedFamilies(t *testing.T) {
	v4, v6 := families()[0], families()[1]
	_, err := fabric.Datagram{Source: v4.caller, Destination: v6.address}.Encode()
	must.Eq(t, error(&fabric.AddressError{Source: v4.caller.String(), Destination: v6.address.String()}), err)
	_, err = fabric.Datagram{Source: v4.caller, Destination: v4.address, Payload: make([]byte, fabric.MaxPacket)}.Encode()
	must.Eq(t, error(&fabric.SizeError{Size: fabric.MaxPacket + 28, Max: fabric.MaxPacket}), err)
}

func FuzzRefusal(f *testing.F) {
	ip := families()[0].datagram(f, "question")
	f.Fuzz(func(t *testing.T, option []byte) {
		if len(option)%4 != 0 || len(option) > 240 {
			return
		}
		datagram := append([]byte{byte(len(option) / 4), 0x40, 8, 0, 0, 0, 0, 0}, option...)
		got, err := fabric.NewDecoder(fabric.DecoderConfig{}).Decode(append(datagram, ip...))
		if err != nil || got.Refusal == nil {
			return
		}
		must.NoError(t, got.Refusal.Check())
	})
}

func BenchmarkAppend(b *testing.B) {
	ip := families()[0].datagram(b, string(make([]byte, 512)))
	dst := make([]byte, 0, 2048)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := fabric.Append(dst, 77, ip, nil); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkRefuse(b *testing.B) {
	ip := families()[0].segment(b, fabric.SYN, "")
	d := fabric.NewDecoder(fabric.DecoderConfig{})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := d.Refuse(ip); err != nil {
			b.Fatal(err)
		}
	}
}
