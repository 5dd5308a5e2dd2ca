package fabric

import "encoding/binary"

// Lengths in bytes.
const (
	// Overhead is the maximum that Append adds to a packet.
	Overhead = geneveHeaderSize + refusalOptionSize
	// MaxPacket is the length of the longest IP packet that fits in one UDP datagram with Overhead.
	MaxPacket = maxDatagramSize - Overhead

	geneveHeaderSize = 8
	maxDatagramSize  = 65507
)

const (
	typeIPv4 = 0x0800
	typeIPv6 = 0x86dd

	flagCritical = 0x40
	maxVNI       = 1<<24 - 1
)

// Append appends the Geneve datagram that carries the IP packet ip, and the
// refusal if it is not nil, to dst. It does not allocate if dst has enough
// capacity. Only the version of the packet is decoded. On failure it returns
// dst unchanged and *TruncatedError, *VersionError, *SizeError, *VNIError or
// *RefusalError.
func Append(dst []byte, vni uint32, ip []byte, refusal *Refusal) ([]byte, error) {
	protocol, err := protocolType(ip)
	if err != nil {
		return dst, err
	}
	if len(ip) > MaxPacket {
		return dst, &SizeError{Size: len(ip), Max: MaxPacket}
	}
	if vni > maxVNI {
		return dst, &VNIError{Got: vni}
	}
	var words, flags byte
	if refusal != nil {
		if err := refusal.Check(); err != nil {
			return dst, err
		}
		words = refusalOptionSize / 4
		flags = flagCritical
	}
	dst = append(dst, words, flags)
	dst = binary.BigEndian.AppendUint16(dst, protocol)
	dst = binary.BigEndian.AppendUint32(dst, vni<<8)
	if refusal != nil {
		dst = refusal.appendOption(dst)
	}
	return append(dst, ip...), nil
}

// protocolType returns the Geneve protocol type for an IP packet.
func protocolType(ip []byte) (uint16, error) {
	if len(ip) == 0 {
		return 0, &TruncatedError{Layer: layerIPv4}
	}
	switch version := ip[0] >> 4; version {
	case 4:
		return typeIPv4, nil
	case 6:
		return typeIPv6, nil
	default:
		return 0, &VersionError{Layer: layerIPv4, Got: version}
	}
}
