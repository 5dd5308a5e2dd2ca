package steer

import (
	"encoding/binary"
	"fmt"

	"github.com/corianderbay/corianderbay/registry"
)

const (
	// MaxVisited is the maximum number of upstreams in a data centre that one packet is
	// offered to.
	MaxVisited = 1024

	headerSize = 20 + registry.StateSize // bytes before the list of visited hosts
	hostSize   = 4                       // bytes

	flagUnknownFlow = 1 // the flow was not in the balancer's table
	flagRemote      = 2 // the sender also covers all other data centres
	flagsKnown      = flagUnknownFlow | flagRemote

	// maxVersion is the highest version of the routes that a header can hold.
	maxVersion = 1<<63 - 1
	// bitPinned is added to the version. Builds without it take the version for newer than
	// theirs, so that their routes do not decide on the opening, either.
	bitPinned = 1 << 63
)

// Header precedes a packet that a balancer sends to a sidecar, or one sidecar to the
// next.
type Header struct {
	// Balancer is the host that received the packet from the caller.
	Balancer registry.Host
	// Service is the service that the packet is for.
	Service registry.ServiceHash
	// Version is the version of the routes that the balancer used, at most maxVersion.
	Version uint64
	// Pinned is true when no other routes than the balancer's decide on an opening. It is
	// false in headers of builds without it.
	Pinned bool
	// State is the newest state of the upstream list that the balancer or a sidecar on
	// the path used.
	State registry.State
	// UnknownFlow is true when the flow was not in the balancer's table.
	UnknownFlow bool
	// Remote is true when the receiver must not send the packet to other data centres,
	// because the sender does: a sidecar of the data centre where the search started, or
	// a balancer that retries the search.
	Remote bool
	// Visited lists the hosts that have passed the packet on, at most MaxVisited.
	Visited []registry.Host
	// SentTo lists the data centres that this sidecar has sent the packet to. It is
	// kept while the packet is held, and not encoded.
	SentTo []string
}

// Size returns the length of the encoded header in bytes.
func (h *Header) Size() int {
	return headerSize + hostSize*len(h.Visited)
}

// Append appends the encoded header to b.
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
	version := h.Version & maxVersion
	if h.Pinned {
		version |= bitPinned
	}
	b = binary.BigEndian.AppendUint64(b, version)
	b = h.State.Append(b)
	for i := range h.Visited {
		b = append(b, h.Visited[i][:]...)
	}
	return b
}

// Parse decodes a header from the start of b and returns the remaining bytes. It reuses
// the slice of visited hosts. It returns a *HeaderError for an invalid header.
func (h *Header) Parse(b []byte) (rest []byte, err error) {
	if len(b) < headerSize || b[0]&^flagsKnown != 0 || b[1] != 0 {
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
	version := binary.BigEndian.Uint64(b[12:])
	h.Version, h.Pinned = version&maxVersion, version&bitPinned != 0
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

// WithVisited returns a copy of h with one more visited host.
func (h *Header) WithVisited(host registry.Host) Header {
	c := *h
	c.Pinned = true
	c.Visited = make([]registry.Host, 0, len(h.Visited)+1)
	c.Visited = append(c.Visited, h.Visited...)
	c.Visited = append(c.Visited, host)
	return c
}

// asRemote returns a copy of h for a receiver that must not send the packet to other data
// centres.
func (h *Header) asRemote() Header {
	c := *h
	c.Remote, c.SentTo = true, nil
	return c
}

// HeaderError reports a datagram without a valid forwarding header: one that is cut off, or
// has a flag that no version has.
type HeaderError struct {
	// Length is the length of the datagram in bytes.
	Length int
	// Visited is the number of visited hosts that the header announces.
	Visited int
}

// Error returns the length and the number of announced hosts.
func (e *HeaderError) Error() string {
	return fmt.Sprintf("invalid forwarding header: datagram of %d bytes with %d visited hosts", e.Length, e.Visited)
}
