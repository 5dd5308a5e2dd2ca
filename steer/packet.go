package steer

import (
	"github.com/cespare/xxhash/v2"
	"github.com/corianderbay/corianderbay/registry"
)

// Flags are the control bits of a packet.
type Flags uint8

// The control bits.
const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
	// Returned marks a packet that the upstream does not accept and sends back.
	Returned
)

// Has reports whether all bits of o are set.
func (f Flags) Has(o Flags) bool {
	return f&o == o
}

// Packet is the decoded header of one packet of a flow.
type Packet struct {
	Source      registry.Endpoint
	Destination registry.Endpoint
	Flags       Flags
	// Tag is the value that the sidecar wrote into the packet before delivery; a
	// returned packet carries it back.
	Tag          uint32
	Sequence     uint32
	Acknowledged uint32
	// Data is the length of the payload in bytes.
	Data int
}

// CallerKey returns the key of the flow of a packet that the caller sent.
func (p *Packet) CallerKey() Key {
	return Key{Caller: p.Source, Address: p.Destination}
}

// UpstreamKey returns the key of the flow of a packet that the upstream sent.
func (p *Packet) UpstreamKey() Key {
	return Key{Caller: p.Destination, Address: p.Source}
}

// Opens reports whether the packet requests a new flow.
func (p *Packet) Opens() bool {
	return p.Flags&(SYN|ACK|RST) == SYN
}

// Key identifies a flow by its two endpoints. It is comparable and holds no pointers.
type Key struct {
	Caller  registry.Endpoint
	Address registry.Endpoint
}

// KeySize is the length of an encoded key in bytes.
const KeySize = 12

// Append appends the encoded key, KeySize bytes, to b.
func (k Key) Append(b []byte) []byte {
	b = append(b, k.Caller.Host[:]...)
	b = append(b, byte(k.Caller.Port>>8), byte(k.Caller.Port))
	b = append(b, k.Address.Host[:]...)
	return append(b, byte(k.Address.Port>>8), byte(k.Address.Port))
}

// ParseKey decodes the key at the start of b, which must have at least KeySize bytes.
func ParseKey(b []byte) Key {
	var k Key
	copy(k.Caller.Host[:], b[0:4])
	k.Caller.Port = uint16(b[4])<<8 | uint16(b[5])
	copy(k.Address.Host[:], b[6:10])
	k.Address.Port = uint16(b[10])<<8 | uint16(b[11])
	return k
}

// Hash returns a hash of the key that is the same in every process.
func (k Key) Hash() uint64 {
	var b [KeySize]byte
	return xxhash.Sum64(k.Append(b[:0]))
}

// rank returns the rendezvous hash of a host for a flow: the host with the lowest value
// comes first.
func rank(hash uint64, h registry.Host) uint64 {
	var b [12]byte
	for i := range 8 {
		b[i] = byte(hash >> (8 * i))
	}
	copy(b[8:], h[:])
	return xxhash.Sum64(b[:])
}
