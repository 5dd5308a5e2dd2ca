package flow

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Protocol is an IP protocol number.
type Protocol uint8

// The protocols that flows use.
const (
	TCP Protocol = 6
	UDP Protocol = 17
)

// String returns the customary name of the protocol.
func (p Protocol) String() string {
	switch p {
	case TCP:
		return "tcp"
	case UDP:
		return "udp"
	}
	return "other"
}

// Key identifies a flow by its 5-tuple. Keys are comparable. IPv4 addresses
// are held in their IPv6-mapped form.
type Key struct {
	caller      [16]byte
	address     [16]byte
	callerPort  uint16
	addressPort uint16
	protocol    Protocol
}

// NewKey returns the key of the flow from caller to the service address.
func NewKey(p Protocol, caller, address netip.AddrPort) Key {
	return Key{
		caller:      caller.Addr().As16(),
		address:     address.Addr().As16(),
		callerPort:  caller.Port(),
		addressPort: address.Port(),
		protocol:    p,
	}
}

// Caller returns the caller's address and port.
func (k Key) Caller() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.caller).Unmap(), k.callerPort)
}

// Address returns the service address and port that the caller sends to.
func (k Key) Address() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.address).Unmap(), k.addressPort)
}

// Protocol returns the protocol of the flow.
func (k Key) Protocol() Protocol {
	return k.protocol
}

// keySize is the length of an encoded key in bytes.
const keySize = 37

// Hash returns the same number for the key in every process.
func (k Key) Hash() uint64 {
	b := k.encode()
	return xxhash.Sum64(b[:])
}

// MarshalBinary returns the encoded key: caller, address, their ports, protocol.
func (k Key) MarshalBinary() ([]byte, error) {
	b := k.encode()
	return b[:], nil
}

// UnmarshalBinary decodes a key. It reports *KeySizeError for another length.
func (k *Key) UnmarshalBinary(b []byte) error {
	if len(b) != keySize {
		return &KeySizeError{Size: len(b)}
	}
	copy(k.caller[:], b[0:16])
	copy(k.address[:], b[16:32])
	k.callerPort = binary.BigEndian.Uint16(b[32:])
	k.addressPort = binary.BigEndian.Uint16(b[34:])
	k.protocol = Protocol(b[36])
	return nil
}

func (k Key) encode() [keySize]byte {
	var b [keySize]byte
	copy(b[0:16], k.caller[:])
	copy(b[16:32], k.address[:])
	binary.BigEndian.PutUint16(b[32:], k.callerPort)
	binary.BigEndian.PutUint16(b[34:], k.addressPort)
	b[36] = byte(k.protocol)
	return b
}

// String returns the key as "tcp 10.0.0.1:4000 > 198.51.100.1:80".
func (k Key) String() string {
	return k.protocol.String() + " " + k.Caller().String() + " > " + k.Address().String()
}

// KeySizeError reports an encoded key of the wrong length.
type KeySizeError struct {
	// Size is the length in bytes.
	Size int
}

// Error returns the length and the one that is wanted.
func (e *KeySizeError) Error() string {
	return fmt.Sprintf("flow: encoded key has %d bytes, want %d", e.Size, keySize)
}
