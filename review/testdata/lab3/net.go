package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// The bits of a packet's flags.
const (
	flagRST     = 2
	flagFIN     = 4
	flagACK     = 8
	flagBounced = 16
	flagSYN     = 32
)

const headSize = 31 // bytes

// packet is a packet of a flow, as the users' PROTOCOL.md describes it.
type packet struct {
	src, dst netip.AddrPort
	flags    byte
	echo     uint32
	seq, ack uint32
	data     []byte
}

// keyedSum stands in for the sum whose key only clients and backends know. It covers all fields
// but echo, the padding bits of the flags, and BOUNCED.
func keyedSum(b []byte) uint32 {
	c := append([]byte("a key of clients and backends"), b...)
	c = c[:len(c):len(c)]
	h := c[len(c)-len(b):]
	clear(h[0:4])
	h[18] &= flagSYN | flagACK | flagFIN | flagRST
	clear(h[19:23])
	return crc32.ChecksumIEEE(c)
}

// encode returns the bytes of a packet with its sum.
func encode(p *packet) []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	binary.BigEndian.PutUint16(b[4:], uint16(len(p.data)))
	binary.BigEndian.PutUint16(b[6:], p.src.Port())
	binary.BigEndian.PutUint16(b[8:], p.dst.Port())
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[10:], dst[:])
	copy(b[14:], src[:])
	b[18] = p.flags
	binary.BigEndian.PutUint32(b[23:], p.seq)
	binary.BigEndian.PutUint32(b[27:], p.ack)
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[19:], keyedSum(b))
	return b
}

// decode decodes a packet. sound reports whether its sum is right, and reset whether it is a
// reset of the system's own: no data and a sum of 0.
func decode(b []byte) (p packet, sound, reset, ok bool) {
	if len(b) < headSize || int(binary.BigEndian.Uint16(b[4:])) != len(b)-headSize {
		return p, false, false, false
	}
	host := func(at int) netip.Addr { return netip.AddrFrom4([4]byte(b[at : at+4])) }
	p = packet{
		src:   netip.AddrPortFrom(host(14), binary.BigEndian.Uint16(b[6:])),
		dst:   netip.AddrPortFrom(host(10), binary.BigEndian.Uint16(b[8:])),
		flags: b[18],
		echo:  binary.BigEndian.Uint32(b),
		seq:   binary.BigEndian.Uint32(b[23:]),
		ack:   binary.BigEndian.Uint32(b[27:]),
		data:  append([]byte(nil), b[headSize:]...),
	}
	sum := binary.BigEndian.Uint32(b[19:])
	sound = sum == keyedSum(b)
	reset = sum == 0 && len(p.data) == 0 && p.flags&flagRST != 0
	return p, sound, reset, true
}
