package steer

import (
	"encoding/binary"
	"fmt"

	"github.com/corianderbay/corianderbay/registry"
)

const (
	// MaxVisited is how many upstreams of a data centre are asked for one packet.
	MaxVisited = 1024

	headerSize = 20 + registry.StateSize // bytes before the list of visited hosts
	hostSize   = 4                       // bytes

	flagUnknownFlow = 1 // the balancer did not know the flow
	flagRemote      = 2 // the search began in another data centre
)

// Header goes before a packet from a balancer to a sidecar, and from one
// sidecar to the next.
type Header struct {
	// Balancer is the host that took the packet from the caller.
	Balancer registry.Host
	// Service is the service that the packet is for.
	Service registry.ServiceHash
	// Version is that of the routes that the balancer acted on.
	Version uint64
	// State is that of the newest list of upstreams that the balancer, or a sidecar on the way, acted on.
	State registry.State
	// UnknownFlow is true when the balancer did not know the flow.
	UnknownFlow bool
	// Remote is true when the search for the flow began in another data centre, from
	// where the others are asked.
	Remote bool
	// Visited lists the hosts that have passed the packet on; at most MaxVisited.
	Visited []registry.Host
	// SentTo names the data centres that the packet was sent to from here. It is
	// kept with a packet that is held, and not sent.
	SentTo []string
}

// Size returns the length of the encoded header in bytes.
func (h *Header) Size() int {
	return headerSize + hostSize*len(h.Visited)
}

// Append appends the encoded header.
func (h *Header) Append(b []byte) []byte {
	var flags byte
	if h.UnknownFlow {
		flags |= flagUnknownFlow
	}
	if h.Remote {
		flags |= flagRemote
	}
	b = append(b, flags, 0)
	b = binary.BigEndian.AppendUint16(b, uint16(len(h.Visited)))
	b = append(b, h.Balancer[:]...)
	b = binary.BigEndian.AppendUint32(b, uint32(h.Service))
	b = binary.BigEndian.AppendUint64(b, h.Version)
	b = h.State.Append(b)
	for i := range h.Visited {
		b = append(b, h.Visited[i][:]...)
	}
	return b
}

// Parse fills h from the start of b and returns the bytes after it. It reuses
// the list of visited hosts. It reports *HeaderError.
func (h *Header) Parse(b []byte) (rest []byte, err error) {
	if len(b) < headerSize {
		return nil, &HeaderError{Length: len(b)}
	}
	n := int(binary.BigEndian.Uint16(b[2:]))
	end := headerSize + hostSize*n
	if n > MaxVisited || len(b) < end {
		return nil, &HeaderError{Length: len(b), Visited: n}
	}
	h.UnknownFlow = b[0]&flagUnknownFlow != 0
	h.Remote = b[0]&flagRemote != 0
	copy(h.Balancer[:], b[4:8])
	h.Service = registry.ServiceHash(binary.BigEndian.Uint32(b[8:]))
	h.Version = binary.BigEndian.Uint64(b[12:])
	h.State = registry.ParseState(b[20:])
	h.Visited = h.Visited[:0]
	for i := range n {
		h.Visited = append(h.Visited, registry.Host(b[headerSize+hostSize*i:]))
	}
	return b[end:], nil
}

// hasVisited reports whether the host has passed the packet on.
func (h *Header) hasVisited(host registry.Host) bool {
	for i := range h.Visited {
		if h.Visited[i] == host {
			return true
		}
	}
	return false
}

// WithVisited returns a copy of h that names one more host.
func (h *Header) WithVisited(host registry.Host) Header {
	c := *h
	c.Visited = make([]registry.Host, 0, len(h.Visited)+1)
	c.Visited = append(c.Visited, h.Visited...)
	c.Visited = append(c.Visited, host)
	return c
}

// HeaderError reports a datagram that begins with no header.
type HeaderError struct {
	// Length is that of the datagram in bytes.
	Length int
	// Visited is how many hosts it announces.
	Visited int
}

// Error returns the length and the announced hosts.
func (e *HeaderError) Error() string {
	return fmt.Sprintf("a datagram of %d bytes with %d visited hosts holds no forwarding header", e.Length, e.Visited)
}
