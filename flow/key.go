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

// String returns the name of the protocol in lower case.
func (p Protocol) String() string {
	switch p {
	case TCP:
		return "tcp"
	case UDP:
		return "udp"
	}
	return "other"
}

// keySize is the length of a key in bytes.
const keySize = 37

// Offsets of the parts of a key.
const (
	keyCaller      = 0
	keyCallerPort  = 16
	keyAddress     = 18
	keyAddressPort = 34
	keyProtocol    = 36
)

// Key identifies a flow by its 5-tuple. Keys are comparable.
type Key struct {
	// tuple holds the caller's IPv6-mapped address and port, the service's address
	// and port, and the protocol. It equals the encoded form, so that hashing needs
	// no copy.
	tuple [keySize]byte
}

// NewKey returns the key of the flow from caller to the service address.
func NewKey(p Protocol, caller, address netip.AddrPort) Key {
	var k Key
	from, to := caller.Addr().As16(), address.Addr().As16()
	copy(k.tuple[keyCaller:], from[:])
	copy(k.tuple[keyAddress:], to[:])
	binary.BigEndian.PutUint16(k.tuple[keyCallerPort:], caller.Port())
	binary.BigEndian.PutUint16(k.tuple[keyAddressPort:], address.Port())
	k.tuple[keyProtocol] = byte(p)
	return k
}

// Caller returns the caller's address and port.
func (k Key) Caller() netip.AddrPort {
	return k.end(keyCaller, keyCallerPort)
}

// Address returns the service address and port that the caller sends to.
func (k Key) Address() netip.AddrPort {
	return k.end(keyAddress, keyAddressPort)
}

// end returns the endpoint at these offsets.
func (k *Key) end(address, port int) netip.AddrPort {
	ip := netip.AddrFrom16([16]byte(k.tuple[address : address+16])).Unmap()
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(k.tuple[port:]))
}

// Destination is the address, port and protocol that a caller sends to.
type Destination [keySize - keyAddress]byte

// NewDestination returns the destination of flows to an address.
func NewDestination(p Protocol, address netip.AddrPort) Destination {
	return NewKey(p, netip.AddrPortFrom(address.Addr(), 0), address).Destination()
}

// Destination returns the destination of the caller's packets.
func (k Key) Destination() Destination {
	return Destination(k.tuple[keyAddress:])
}

// Protocol returns the protocol of the flow.
func (k Key) Protocol() Protocol {
	return Protocol(k.tuple[keyProtocol])
}

// Hash returns a hash of the key that is the same in every process.
func (k Key) Hash() uint64 {
	return xxhash.Sum64(k.tuple[:])
}

// MarshalBinary returns the encoded key: caller, its port, address, its port, protocol.
func (k Key) MarshalBinary() ([]byte, error) {
	return k.tuple[:], nil
}

// UnmarshalBinary decodes a key. It returns *KeySizeError when the length is wrong.
func (k *Key) UnmarshalBinary(b []byte) error {
	if len(b) != keySize {
		return &KeySizeError{Size: len(b)}
	}
	copy(k.tuple[:], b)
	return nil
}

// String returns the key as "tcp 10.0.0.1:4000 > 198.51.100.1:80".
func (k Key) String() string {
	return k.Protocol().String() + " " + k.Caller().String() + " > " + k.Address().String()
}

// KeySizeError reports an encoded key of the wrong length.
type KeySizeError struct {
	// Size is the length in bytes.
	Size int
}

// Error returns the actual and the expected length.
func (e *KeySizeError) Error() string {
	return fmt.Sprintf("flow: encoded key has %d bytes, want %d", e.Size, keySize)
}
