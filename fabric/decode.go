package fabric

import (
	"encoding/binary"
	"net/netip"

	"github.com/corianderbay/corianderbay/flow"
	"github.com/gopacket/gopacket/layers"
)

// Layer names in errors.
const (
	layerGeneve = "geneve"
	layerIPv4   = "ipv4"
	layerIPv6   = "ipv6"
	layerTCP    = "tcp"
	layerUDP    = "udp"
)

// maxOptionsSize is the maximum size in bytes of the options that are decoded.
// gopacket's Geneve layer keeps its offset in 8 bits.
const maxOptionsSize = 240

const (
	defaultMaxPacket = 9000 // bytes
	ipv6HeaderSize   = 40   // bytes
)

// Frame is one decoded Geneve datagram.
type Frame struct {
	// VNI is the virtual network identifier.
	VNI uint32
	// IP is the unmodified inner packet, a subslice of the decoded datagram that
	// ends at the length in its IP header.
	IP []byte
	// Packet holds the decoded headers of IP.
	Packet flow.Packet
	// Payload is the subslice of IP after the TCP or UDP header.
	Payload []byte
	// Refusal is nil if the datagram carries none.
	Refusal *Refusal
}

// DecoderConfig holds the limits of a Decoder. The zero value selects the defaults.
type DecoderConfig struct {
	// MaxPacket is the maximum length in bytes of a decoded IP packet, from 20 to
	// the constant MaxPacket. Zero selects 9,000.
	MaxPacket int
}

// Decoder decodes datagrams from the fabric. It does not allocate for valid
// packets without options. It is not safe for concurrent use. It verifies no
// checksums; the two endpoints of the flow do.
//
// It calls the layers directly instead of through gopacket's parser, which would
// also decode a tunnel inside a caller's packet and overwrite the fields of the
// outer packet with those of the inner one.
type Decoder struct {
	cfg DecoderConfig

	geneve    layers.Geneve
	ip4       layers.IPv4
	ip6       layers.IPv6
	tcp       layers.TCP
	udp       layers.UDP
	truncated bool   // set by the codec of the current layer
	layer     string // the current layer
}

// NewDecoder returns a decoder.
func NewDecoder(cfg DecoderConfig) *Decoder {
	if cfg.MaxPacket == 0 {
		cfg.MaxPacket = defaultMaxPacket
	}
	return &Decoder{cfg: cfg}
}

// SetTruncated implements gopacket.DecodeFeedback for the layers.
func (d *Decoder) SetTruncated() {
	d.truncated = true
}

// Decode decodes a Geneve datagram that carries a packet from a caller. The frame
// refers to the datagram's bytes. The error is one of this package's types.
func (d *Decoder) Decode(datagram []byte) (Frame, error) {
	return d.decodeFrame(datagram, false)
}

// DecodeAnswerFrame is like Decode for a datagram whose packet is sent to the
// caller: the caller in the frame's key is the destination.
func (d *Decoder) DecodeAnswerFrame(datagram []byte) (Frame, error) {
	return d.decodeFrame(datagram, true)
}

// DecodePacket returns the decoded headers and the TCP or UDP payload of a
// caller's IP packet.
func (d *Decoder) DecodePacket(ip []byte) (flow.Packet, []byte, error) {
	f := Frame{IP: ip}
	err := d.decodePacket(&f, false)
	return f.Packet, f.Payload, err
}

// DecodeAnswer is like DecodePacket for a packet from an upstream: the caller in
// the key is the destination.
func (d *Decoder) DecodeAnswer(ip []byte) (flow.Packet, []byte, error) {
	f := Frame{IP: ip}
	err := d.decodePacket(&f, true)
	return f.Packet, f.Payload, err
}

func (d *Decoder) decodeFrame(datagram []byte, answer bool) (Frame, error) {
	var f Frame
	if err := d.decodeGeneve(datagram, &f); err != nil {
		return Frame{}, err
	}
	if err := d.decodePacket(&f, answer); err != nil {
		return Frame{}, err
	}
	return f, nil
}

func (d *Decoder) decodeGeneve(datagram []byte, f *Frame) (err error) {
	if len(datagram) < geneveHeaderSize {
		return &TruncatedError{Layer: layerGeneve}
	}
	if version := datagram[0] >> 6; version != 0 {
		return &VersionError{Layer: layerGeneve, Got: version}
	}
	if size := int(datagram[0]&0x3f) * 4; size > maxOptionsSize {
		return &SizeError{Size: size, Max: maxOptionsSize}
	}
	defer d.recoverPanic(&err)
	d.startLayer(layerGeneve)
	if err := d.layerError(d.geneve.DecodeFromBytes(datagram, d)); err != nil {
		return err
	}
	f.VNI = d.geneve.VNI
	f.IP = d.geneve.Payload
	if len(d.geneve.Options) != 0 {
		if err := d.options(f); err != nil {
			return err
		}
	}
	return checkType(uint16(d.geneve.Protocol), f.IP)
}

// options decodes the refusal option, ignores other non-critical options and
// rejects other critical ones.
func (d *Decoder) options(f *Frame) error {
	size := 0
	for _, o := range d.geneve.Options {
		size += int(o.Length)
		if o.Class == optionClass && o.Type == refusalType {
			r, err := decodeRefusal(o.Data)
			if err != nil {
				return err
			}
			if f.Refusal != nil {
				return &MalformedError{Layer: layerGeneve, Field: "second refusal"}
			}
			f.Refusal = &r
			continue
		}
		if o.Type&criticalType != 0 {
			return &OptionError{Class: o.Class, Type: o.Type}
		}
	}
	if size != int(d.geneve.OptionsLength) {
		return &MalformedError{Layer: layerGeneve, Field: "option length"}
	}
	return nil
}

// checkType checks that the Geneve protocol type matches the version of the packet.
func checkType(got uint16, ip []byte) error {
	if got != typeIPv4 && got != typeIPv6 {
		return &ProtocolTypeError{Got: got}
	}
	want, err := protocolType(ip)
	if err != nil {
		return err
	}
	if got == want {
		return nil
	}
	layer := layerIPv4
	if got == typeIPv6 {
		layer = layerIPv6
	}
	return &VersionError{Layer: layer, Got: ip[0] >> 4}
}

// decodePacket decodes f.IP, trims it to the length in its header and sets f.Packet and f.Payload.
func (d *Decoder) decodePacket(f *Frame, answer bool) (err error) {
	if len(f.IP) > d.cfg.MaxPacket {
		return &SizeError{Size: len(f.IP), Max: d.cfg.MaxPacket}
	}
	protocol, err := protocolType(f.IP)
	if err != nil {
		return err
	}
	defer d.recoverPanic(&err)
	if protocol == typeIPv4 {
		return d.decodeIPv4(f, answer)
	}
	return d.decodeIPv6(f, answer)
}

func (d *Decoder) decodeIPv4(f *Frame, answer bool) error {
	d.startLayer(layerIPv4)
	if err := d.layerError(d.ip4.DecodeFromBytes(f.IP, d)); err != nil {
		return err
	}
	size := int(binary.BigEndian.Uint16(f.IP[2:]))
	if size == 0 {
		return &MalformedError{Layer: layerIPv4, Field: "length"}
	}
	if d.ip4.Flags&layers.IPv4MoreFragments != 0 || d.ip4.FragOffset != 0 {
		return &FragmentError{}
	}
	f.IP = f.IP[:size]
	src := netip.AddrFrom4([4]byte(d.ip4.SrcIP))
	dst := netip.AddrFrom4([4]byte(d.ip4.DstIP))
	return d.decodeTransport(f, answer, src, dst, d.ip4.Protocol, d.ip4.Payload)
}

func (d *Decoder) decodeIPv6(f *Frame, answer bool) error {
	d.startLayer(layerIPv6)
	if err := d.layerError(d.ip6.DecodeFromBytes(f.IP, d)); err != nil {
		return err
	}
	if d.ip6.Length == 0 {
		return &MalformedError{Layer: layerIPv6, Field: "length"}
	}
	next := d.ip6.NextHeader
	if d.ip6.HopByHop != nil {
		next = d.ip6.HopByHop.NextHeader
	}
	if next == layers.IPProtocolIPv6Fragment {
		return &FragmentError{}
	}
	src := netip.AddrFrom16([16]byte(d.ip6.SrcIP))
	dst := netip.AddrFrom16([16]byte(d.ip6.DstIP))
	// A key stores IPv4 addresses in this form, so the key of such a packet would
	// equal that of an IPv4 flow.
	if src.Is4In6() || dst.Is4In6() {
		return &MalformedError{Layer: layerIPv6, Field: "IPv4-mapped address"}
	}
	f.IP = f.IP[:ipv6HeaderSize+int(d.ip6.Length)]
	return d.decodeTransport(f, answer, src, dst, next, d.ip6.Payload)
}

func (d *Decoder) decodeTransport(f *Frame, answer bool, src, dst netip.Addr, p layers.IPProtocol, segment []byte) error {
	var from, to uint16
	switch p {
	case layers.IPProtocolTCP:
		d.startLayer(layerTCP)
		if err := d.layerError(d.tcp.DecodeFromBytes(segment, d)); err != nil {
			return err
		}
		from, to = uint16(d.tcp.SrcPort), uint16(d.tcp.DstPort)
		f.Packet = d.tcpPacket(answer)
		f.Payload = d.tcp.Payload
	case layers.IPProtocolUDP:
		d.startLayer(layerUDP)
		if err := d.layerError(d.udp.DecodeFromBytes(segment, d)); err != nil {
			return err
		}
		if d.udp.Length == 0 {
			return &MalformedError{Layer: layerUDP, Field: "length"}
		}
		from, to = uint16(d.udp.SrcPort), uint16(d.udp.DstPort)
		f.Packet = flow.Packet{}
		f.Payload = d.udp.Payload
	default:
		return &ProtocolError{Got: uint8(p)}
	}
	caller, address := netip.AddrPortFrom(src, from), netip.AddrPortFrom(dst, to)
	if answer {
		caller, address = address, caller
	}
	f.Packet.Key = flow.NewKey(flow.Protocol(p), caller, address)
	f.Packet.Size = len(f.IP)
	return nil
}

func (d *Decoder) tcpPacket(answer bool) flow.Packet {
	return flow.Packet{
		Opening:      d.tcp.SYN && d.tcp.ACK == answer,
		Closing:      d.tcp.RST || d.tcp.FIN,
		Reset:        d.tcp.RST,
		Sequence:     d.tcp.Seq,
		HasAck:       d.tcp.ACK,
		Acknowledged: d.tcp.Ack,
	}
}

// Flags returns the flags of the most recently decoded TCP segment.
func (d *Decoder) Flags() Flags {
	var f Flags
	if d.tcp.FIN {
		f |= FIN
	}
	if d.tcp.SYN {
		f |= SYN
	}
	if d.tcp.RST {
		f |= RST
	}
	if d.tcp.PSH {
		f |= PSH
	}
	if d.tcp.ACK {
		f |= ACK
	}
	return f
}

func (d *Decoder) startLayer(layer string) {
	d.layer = layer
	d.truncated = false
}

// layerError returns the typed error for the result of the current layer's codec.
func (d *Decoder) layerError(err error) error {
	if d.truncated {
		return &TruncatedError{Layer: d.layer}
	}
	if err != nil {
		return &MalformedError{Layer: d.layer, Cause: err}
	}
	return nil
}

// recoverPanic converts a panic of a layer's codec into *MalformedError.
func (d *Decoder) recoverPanic(err *error) {
	if v := recover(); v != nil {
		*err = &MalformedError{Layer: d.layer, Cause: &PanicError{Value: v}}
	}
}
