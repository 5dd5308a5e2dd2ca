package forward_test

import (
	"bytes"
	"net/netip"
	"testing"

	"github.com/corianderbay/corianderbay/forward"
	"github.com/shoenig/test/must"
)

func clusterKey() []byte {
	return bytes.Repeat([]byte{7}, forward.KeySize)
}

func header(n int) *forward.Header {
	h := &forward.Header{
		Service:  1,
		Version:  12,
		Phase:    forward.PhaseAccept,
		Balancer: netip.MustParseAddrPort("127.0.0.1:7000"),
	}
	for i := range n {
		h.Candidates = append(h.Candidates, forward.Candidate{
			Upstream: 100,
			Service:  1,
			Sidecar:  netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(8000+i)),
		})
	}
	return h
}

func newPair(t testing.TB) (*forward.Sealer, *forward.Opener) {
	s, err := forward.NewSealer(forward.SealerConfig{Key: clusterKey(), Sender: 9})
	must.NoError(t, err)
	o, err := forward.NewOpener(forward.OpenerConfig{Key: clusterKey()})
	must.NoError(t, err)
	return s, o
}

func TestPacketRoundTrip(t *testing.T) {
	s, o := newPair(t)
	want := header(10)
	want.Candidates[3].Sidecar = netip.MustParseAddrPort("[::1]:9000")
	want.Candidates[4].Leaving = true
	want.Loads[1] = 1500
	packet := []byte("a caller's packet")
	b, err := s.AppendPacket(nil, want, packet)
	must.NoError(t, err)
	d, err := o.Open(b)
	must.NoError(t, err)
	must.Eq(t, forward.KindPacket, d.Kind)
	must.Eq(t, packet, d.Packet)
	var got forward.Header
	must.NoError(t, forward.NewHeaderDecoder().Decode(d.Body, &got))
	must.Eq(t, *want, got)
}

func TestOpenRejects(t *testing.T) {
	s, o := newPair(t)
	b, err := s.AppendPacket(nil, header(2), []byte("packet"))
	must.NoError(t, err)

	t.Run("every truncation", func(t *testing.T) {
		for n := range b {
			_, err := o.Open(b[:n])
			must.Error(t, err)
		}
	})
	t.Run("every flipped byte", func(t *testing.T) {
		for i := range b {
			forged := bytes.Clone(b)
			forged[i] ^= 0x40
			_, err := o.Open(forged)
			must.Error(t, err)
		}
	})
	t.Run("replay", func(t *testing.T) {
		_, err := o.Open(b)
		must.NoError(t, err)
		_, err = o.Open(b)
		var replay *forward.ReplayError
		must.ErrorAs[*forward.ReplayError](t, err, &replay)
	})
	t.Run("other key", func(t *testing.T) {
		other, err := forward.NewOpener(forward.OpenerConfig{Key: bytes.Repeat([]byte{8}, forward.KeySize)})
		must.NoError(t, err)
		_, err = other.Open(b)
		var forged *forward.ForgedError
		must.ErrorAs[*forward.ForgedError](t, err, &forged)
	})
}

func TestOpenAcceptsReordered(t *testing.T) {
	s, o := newPair(t)
	var sent [][]byte
	for range 100 {
		b, err := s.AppendPacket(nil, header(1), nil)
		must.NoError(t, err)
		sent = append(sent, b)
	}
	for i := len(sent) - 1; i >= 0; i-- {
		_, err := o.Open(sent[i])
		must.NoError(t, err)
	}
}

func TestHeaderCheck(t *testing.T) {
	tests := map[string]func(*forward.Header){
		"phase":      func(h *forward.Header) { h.Phase = 9 },
		"candidates": func(h *forward.Header) { h.Candidates = nil },
		"at":         func(h *forward.Header) { h.Current = 3 },
		"asker":      func(h *forward.Header) { h.Initiator = 3 },
		"sidecar":    func(h *forward.Header) { h.Candidates[0].Sidecar = netip.AddrPort{} },
	}
	for field, change := range tests {
		t.Run(field, func(t *testing.T) {
			h := header(3)
			change(h)
			var got *forward.HeaderError
			must.ErrorAs[*forward.HeaderError](t, h.Check(), &got)
			must.Eq(t, field, got.Field)
		})
	}
}

func FuzzOpen(f *testing.F) {
	s, o := newPair(f)
	b, err := s.AppendPacket(nil, header(3), []byte("packet"))
	must.NoError(f, err)
	f.Add(b)
	f.Add([]byte{1, 1})
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = o.Open(b)
	})
}

func FuzzHeader(f *testing.F) {
	s, o := newPair(f)
	b, err := s.AppendPacket(nil, header(3), nil)
	must.NoError(f, err)
	d, err := o.Open(b)
	must.NoError(f, err)
	f.Add(d.Body)
	f.Add([]byte{0x9a, 1, 2})
	f.Fuzz(func(t *testing.T, b []byte) {
		var h forward.Header
		if err := forward.NewHeaderDecoder().Decode(b, &h); err != nil {
			return
		}
		must.NoError(t, h.Check())
	})
}

func BenchmarkSealPacket(b *testing.B) {
	s, _ := newPair(b)
	h := header(7)
	packet := make([]byte, 200)
	buf := make([]byte, 0, 2048)
	b.ReportAllocs()
	for b.Loop() {
		buf, _ = s.AppendPacket(buf, h, packet)
	}
}

func BenchmarkOpenPacket(b *testing.B) {
	s, o := newPair(b)
	h := header(7)
	dec := forward.NewHeaderDecoder()
	var got forward.Header
	buf := make([]byte, 0, 2048)
	packet := make([]byte, 200)
	b.ReportAllocs()
	for b.Loop() {
		buf, _ = s.AppendPacket(buf, h, packet)
		d, err := o.Open(buf)
		if err != nil {
			b.Fatal(err)
		}
		if err := dec.Decode(d.Body, &got); err != nil {
			b.Fatal(err)
		}
	}
}
