package fabric

import (
	"net/netip"

	"github.com/corianderbay/corianderbay/flow"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// Flags are the flags of a TCP segment.
type Flags uint8

// The TCP flags. Values are their bits in the TCP header.
const (
	FIN Flags = 0x01
	SYN Flags = 0x02
	RST Flags = 0x04
	PSH Flags = 0x08
	ACK Flags = 0x10
)

// Has reports whether all flags in want are set.
func (f Flags) Has(want Flags) bool {
	return f&want == want
}

const (
	defaultTTL    = 64
	defaultWindow = 65535 // bytes
)

// Segment is an IP packet with a TCP segment.
type Segment struct {
	// Source and Destination must be of the same address family.
	Source, Destination netip.AddrPort
	Flags               Flags
	Sequence            uint32
	// Acknowledged is the acknowledgement number. It is sent even without the ACK flag.
	Acknowledged uint32
	// Window is in bytes. Zero selects 65,535.
	Window  uint16
	Payload []byte
}

// Encode returns the complete IP packet with checksums in a new slice. It returns
// *AddressError or *SizeError.
func (s Segment) Encode() ([]byte, error) {
	if s.Window == 0 {
		s.Window = defaultWindow
	}
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(s.Source.Port()),
		DstPort: layers.TCPPort(s.Destination.Port()),
		Seq:     s.Sequence,
		Ack:     s.Acknowledged,
		Window:  s.Window,
		FIN:     s.Flags.Has(FIN),
		SYN:     s.Flags.Has(SYN),
		RST:     s.Flags.Has(RST),
		PSH:     s.Flags.Has(PSH),
		ACK:     s.Flags.Has(ACK),
	}
	return encode(s.Source, s.Destination, layers.IPProtocolTCP, tcp, s.Payload)
}

// Datagram is an IP packet with a UDP datagram.
type Datagram struct {
	// Source and Destination must be of the same address family.
	Source, Destination netip.AddrPort
	Payload             []byte
}

// Encode returns the complete IP packet with checksums in a new slice. It returns
// *AddressError or *SizeError.
func (g Datagram) Encode() ([]byte, error) {
	udp := &layers.UDP{
		SrcPort: layers.UDPPort(g.Source.Port()),
		DstPort: layers.UDPPort(g.Destination.Port()),
	}
	return encode(g.Source, g.Destination, layers.IPProtocolUDP, udp, g.Payload)
}

// DatagramAnswer returns the IP packet that carries payload from the service
// address of a flow to its caller. It returns the errors of Datagram.Encode.
func DatagramAnswer(k flow.Key, payload []byte) ([]byte, error) {
	return Datagram{Source: k.Address(), Destination: k.Caller(), Payload: payload}.Encode()
}

// Reset returns the IP packet with the TCP reset that answers a caller's
// segment, according to RFC 9293 section 3.10.7.1 for a closed connection. It
// returns *NoResetError for a segment that is a reset, *ProtocolError for a
// packet that is not TCP, and the errors of Decoder.DecodePacket.
func Reset(ip []byte) ([]byte, error) {
	d := NewDecoder(DecoderConfig{MaxPacket: MaxPacket})
	p, payload, err := d.DecodePacket(ip)
	if err != nil {
		return nil, err
	}
	if p.Key.Protocol() != flow.TCP {
		return nil, &ProtocolError{Got: uint8(p.Key.Protocol())}
	}
	return reset(p, d.Flags(), payload)
}

func reset(p flow.Packet, flags Flags, payload []byte) ([]byte, error) {
	if p.Reset {
		return nil, &NoResetError{}
	}
	s := Segment{Source: p.Key.Address(), Destination: p.Key.Caller()}
	if p.HasAck {
		s.Flags = RST
		s.Sequence = p.Acknowledged
		return s.Encode()
	}
	s.Flags = RST | ACK
	s.Acknowledged = p.Sequence + segmentLength(flags, payload)
	return s.Encode()
}

// segmentLength returns the number of sequence numbers that a segment occupies.
func segmentLength(flags Flags, payload []byte) uint32 {
	n := uint32(len(payload))
	if flags.Has(SYN) {
		n++
	}
	if flags.Has(FIN) {
		n++
	}
	return n
}

// Refuse returns the IP packet that answers the caller's refused packet ip: a
// reset for TCP, and for UDP a datagram with the refused payload, from which the
// caller identifies the request. The datagram must be sent with a refusal option,
// see Append; for the reset the option is optional. It returns *NoResetError and
// the errors of Decoder.DecodePacket.
func Refuse(ip []byte) ([]byte, error) {
	return NewDecoder(DecoderConfig{MaxPacket: MaxPacket}).Refuse(ip)
}

// Refuse is like the function Refuse, but reuses the decoder.
func (d *Decoder) Refuse(ip []byte) ([]byte, error) {
	p, payload, err := d.DecodePacket(ip)
	if err != nil {
		return nil, err
	}
	if p.Key.Protocol() == flow.UDP {
		return DatagramAnswer(p.Key, payload)
	}
	return reset(p, d.Flags(), payload)
}

// transport is a layer whose checksum covers the addresses of the network layer.
type transport interface {
	gopacket.SerializableLayer
	SetNetworkLayerForChecksum(gopacket.NetworkLayer) error
}

// network is a layer with addresses.
type network interface {
	gopacket.SerializableLayer
	gopacket.NetworkLayer
}

func encode(src, dst netip.AddrPort, p layers.IPProtocol, t transport, payload []byte) ([]byte, error) {
	from, to := src.Addr().Unmap(), dst.Addr().Unmap()
	if !from.IsValid() || !to.IsValid() || from.Is4() != to.Is4() {
		return nil, &AddressError{Source: src.String(), Destination: dst.String()}
	}
	n := networkLayer(from, to, p)
	if err := t.SetNetworkLayerForChecksum(n); err != nil {
		return nil, &AddressError{Source: src.String(), Destination: dst.String()}
	}
	b := gopacket.NewSerializeBufferExpectedSize(maxHeaderSize, len(payload))
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(b, opts, n, t, gopacket.Payload(payload)); err != nil {
		return nil, &MalformedError{Layer: n.LayerType().String(), Cause: err}
	}
	if len(b.Bytes()) > MaxPacket {
		return nil, &SizeError{Size: len(b.Bytes()), Max: MaxPacket}
	}
	return b.Bytes(), nil
}

// maxHeaderSize is the size in bytes of an IPv6 header and a TCP header without options.
const maxHeaderSize = 60

func networkLayer(from, to netip.Addr, p layers.IPProtocol) network {
	if from.Is4() {
		return &layers.IPv4{
			Version:  4,
			TTL:      defaultTTL,
			Flags:    layers.IPv4DontFragment,
			Protocol: p,
			SrcIP:    from.AsSlice(),
			DstIP:    to.AsSlice(),
		}
	}
	return &layers.IPv6{
		Version:    6,
		HopLimit:   defaultTTL,
		NextHeader: p,
		SrcIP:      from.AsSlice(),
		DstIP:      to.AsSlice(),
	}
}
