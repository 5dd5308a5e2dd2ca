package forward

import (
	"bytes"
	"net/netip"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	headerFields    = 11
	candidateFields = 4
	addressSize4    = 6  // IPv4 address and port
	addressSize6    = 18 // IPv6 address and port
)

// sliceWriter is an io.Writer and io.ByteWriter that appends to a byte slice.
type sliceWriter struct {
	b []byte
}

func (w *sliceWriter) Write(p []byte) (int, error) {
	w.b = append(w.b, p...)
	return len(p), nil
}

func (w *sliceWriter) WriteByte(c byte) error {
	w.b = append(w.b, c)
	return nil
}

// headerEncoder encodes headers and reuses its buffers. It is not safe for concurrent use.
type headerEncoder struct {
	w       sliceWriter
	enc     *msgpack.Encoder
	address [addressSize6]byte
	err     error // first error; once set, all methods are no-ops
}

func newHeaderEncoder() *headerEncoder {
	e := &headerEncoder{}
	e.enc = msgpack.NewEncoder(&e.w)
	return e
}

// append appends the encoded h to dst. It returns a *HeaderError if h is invalid.
func (e *headerEncoder) append(dst []byte, h *Header) ([]byte, error) {
	if err := h.Check(); err != nil {
		return nil, err
	}
	e.w.b = dst
	e.err = nil
	e.header(h)
	b := e.w.b
	e.w.b = nil
	if e.err != nil {
		return nil, &HeaderError{Field: "header", Cause: e.err}
	}
	return b, nil
}

func (e *headerEncoder) header(h *Header) {
	e.array(headerFields)
	e.uint(uint64(h.Service))
	e.uint(h.Version)
	e.uint(uint64(h.Phase))
	e.uint(uint64(h.Hops))
	e.uint(uint64(h.Current))
	e.uint(uint64(h.Initiator))
	e.uint(uint64(h.Passed))
	e.bool(h.Uncertain)
	e.array(len(h.Loads))
	for _, l := range h.Loads {
		e.uint(uint64(l))
	}
	e.addrPort(h.Balancer)
	e.array(len(h.Candidates))
	for i := range h.Candidates {
		e.candidate(&h.Candidates[i])
	}
}

func (e *headerEncoder) candidate(c *Candidate) {
	e.array(candidateFields)
	e.uint(uint64(c.Upstream))
	e.uint(uint64(c.Service))
	e.addrPort(c.Sidecar)
	e.bool(c.Leaving)
}

func (e *headerEncoder) array(n int) {
	if e.err == nil {
		e.err = e.enc.EncodeArrayLen(n)
	}
}

func (e *headerEncoder) uint(v uint64) {
	if e.err == nil {
		e.err = e.enc.EncodeUint(v)
	}
}

func (e *headerEncoder) bool(v bool) {
	if e.err == nil {
		e.err = e.enc.EncodeBool(v)
	}
}

func (e *headerEncoder) addrPort(a netip.AddrPort) {
	if e.err != nil {
		return
	}
	n := putAddrPort(&e.address, a)
	e.err = e.enc.EncodeBytes(e.address[:n])
}

func putAddrPort(b *[addressSize6]byte, a netip.AddrPort) int {
	n := 16
	ip := a.Addr()
	if ip.Is4() || ip.Is4In6() {
		n = 4
		ip4 := ip.As4()
		copy(b[:], ip4[:])
	} else {
		ip16 := ip.As16()
		copy(b[:], ip16[:])
	}
	b[n] = byte(a.Port() >> 8)
	b[n+1] = byte(a.Port())
	return n + 2
}

// HeaderDecoder decodes headers without allocating. It is not safe for concurrent use.
type HeaderDecoder struct {
	r       bytes.Reader
	dec     *msgpack.Decoder
	address [addressSize6]byte
	field   string // field being decoded
	err     error  // first error; once set, all methods are no-ops
}

// NewHeaderDecoder returns a HeaderDecoder.
func NewHeaderDecoder() *HeaderDecoder {
	d := &HeaderDecoder{}
	d.dec = msgpack.NewDecoder(&d.r)
	return d
}

// Decode decodes b into h and reuses the capacity of h.Candidates. It returns a
// *HeaderError if b is not a valid header; the content of h is then undefined.
func (d *HeaderDecoder) Decode(b []byte, h *Header) error {
	d.r.Reset(b)
	d.dec.ResetReader(&d.r)
	d.err = nil
	d.header(h)
	if d.err != nil {
		return &HeaderError{Field: d.field, Cause: d.err}
	}
	return h.Check()
}

func (d *HeaderDecoder) header(h *Header) {
	d.array("header", headerFields)
	h.Service = bundle.ServiceID(d.uint32("service"))
	h.Version = d.uint("version")
	h.Phase = Phase(d.uint8("phase"))
	h.Hops = d.uint8("hops")
	h.Current = d.uint8("at")
	h.Initiator = d.uint8("asker")
	h.Passed = d.uint32("passed")
	h.Uncertain = d.bool("doubt")
	d.array("loads", len(h.Loads))
	for i := range h.Loads {
		h.Loads[i] = d.uint32("loads")
	}
	h.Balancer = d.addrPort("balancer")
	n := d.length("candidates")
	h.Candidates = h.Candidates[:0]
	for range n {
		h.Candidates = append(h.Candidates, d.candidate())
	}
}

func (d *HeaderDecoder) candidate() Candidate {
	d.array("candidate", candidateFields)
	return Candidate{
		Upstream: bundle.UpstreamID(d.uint32("upstream")),
		Service:  bundle.ServiceID(d.uint32("service")),
		Sidecar:  d.addrPort("sidecar"),
		Leaving:  d.bool("leaving"),
	}
}

func (d *HeaderDecoder) length(field string) int {
	if d.err != nil {
		return 0
	}
	d.field = field
	n, err := d.dec.DecodeArrayLen()
	if err != nil {
		d.err = err
		return 0
	}
	if n < 0 || n > MaxCandidates {
		d.err = &HeaderError{Field: field}
		return 0
	}
	return n
}

func (d *HeaderDecoder) array(field string, want int) {
	n := d.length(field)
	if d.err == nil && n != want {
		d.err = &HeaderError{Field: field}
	}
}

func (d *HeaderDecoder) uint(field string) uint64 {
	if d.err != nil {
		return 0
	}
	d.field = field
	v, err := d.dec.DecodeUint64()
	d.err = err
	return v
}

func (d *HeaderDecoder) uint32(field string) uint32 {
	v := d.uint(field)
	if d.err == nil && v > 1<<32-1 {
		d.err = &HeaderError{Field: field}
	}
	return uint32(v)
}

func (d *HeaderDecoder) uint8(field string) uint8 {
	v := d.uint(field)
	if d.err == nil && v > 1<<8-1 {
		d.err = &HeaderError{Field: field}
	}
	return uint8(v)
}

func (d *HeaderDecoder) bool(field string) bool {
	if d.err != nil {
		return false
	}
	d.field = field
	v, err := d.dec.DecodeBool()
	d.err = err
	return v
}

func (d *HeaderDecoder) addrPort(field string) netip.AddrPort {
	if d.err != nil {
		return netip.AddrPort{}
	}
	d.field = field
	n, err := d.dec.DecodeBytesLen()
	if err != nil {
		d.err = err
		return netip.AddrPort{}
	}
	if n != addressSize4 && n != addressSize6 {
		d.err = &HeaderError{Field: field}
		return netip.AddrPort{}
	}
	if err := d.dec.ReadFull(d.address[:n]); err != nil {
		d.err = err
		return netip.AddrPort{}
	}
	ip, _ := netip.AddrFromSlice(d.address[:n-2])
	port := uint16(d.address[n-2])<<8 | uint16(d.address[n-1])
	return netip.AddrPortFrom(ip, port)
}
