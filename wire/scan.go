package wire

import (
	"encoding/binary"
	"fmt"
)

const (
	// MaxDepth is how deep maps and arrays nest.
	MaxDepth = 16
	// MaxElements is how many elements one array has, or how many pairs one map.
	MaxElements = 1 << 15
)

// ScanError reports bytes that no decoder should be given.
type ScanError struct {
	// Offset is where the scan stopped, in bytes.
	Offset int
	// Reason says what is wrong there.
	Reason string
}

func (e *ScanError) Error() string {
	return fmt.Sprintf("msgpack at byte %d: %s", e.Offset, e.Reason)
}

// Scan returns nil when b is one msgpack value whose maps, arrays and strings
// are all there and within MaxDepth and MaxElements. It allocates nothing, so it is
// safe to call on any bytes. It reports *ScanError.
func Scan(b []byte) error {
	var s scanner
	s.b = b
	s.pending[0] = 1
	for s.depth >= 0 {
		if s.pending[s.depth] == 0 {
			s.depth--
			continue
		}
		s.pending[s.depth]--
		if err := s.value(); err != nil {
			return err
		}
	}
	if s.at != len(b) {
		return s.fault("bytes after the value")
	}
	return nil
}

// scanner steps over one value after another.
type scanner struct {
	b  []byte
	at int // from 0 to len(b)
	// pending holds how many values each open map and array still lacks.
	pending [MaxDepth + 1]int
	depth   int // index in pending
}

func (s *scanner) fault(text string) error {
	return &ScanError{Offset: s.at, Reason: text}
}

// value steps over a scalar, or opens a map or an array.
func (s *scanner) value() error {
	if s.at == len(s.b) {
		return s.fault("a value is missing")
	}
	code := s.b[s.at]
	s.at++
	switch {
	case code <= 0x7f || code >= 0xe0:
		return nil
	case code <= 0x8f:
		return s.open(int(code&0x0f), 2)
	case code <= 0x9f:
		return s.open(int(code&0x0f), 1)
	case code <= 0xbf:
		return s.skip(int(code & 0x1f))
	}
	return s.coded(code)
}

// coded handles the codes from 0xc0 to 0xdf.
func (s *scanner) coded(code byte) error {
	switch code {
	case 0xc0, 0xc2, 0xc3: // nil, false, true
		return nil
	case 0xc4, 0xc5, 0xc6: // bytes with a length of 1, 2 or 4 bytes
		return s.sized(1<<(code-0xc4), 0)
	case 0xc7, 0xc8, 0xc9: // extension, with its kind after the length
		return s.sized(1<<(code-0xc7), 1)
	case 0xca, 0xcb: // floats
		return s.skip(4 << (code - 0xca))
	case 0xcc, 0xcd, 0xce, 0xcf: // unsigned numbers
		return s.skip(1 << (code - 0xcc))
	case 0xd0, 0xd1, 0xd2, 0xd3: // signed numbers
		return s.skip(1 << (code - 0xd0))
	case 0xd4, 0xd5, 0xd6, 0xd7, 0xd8: // extension of a fixed length, with its kind
		return s.skip(1<<(code-0xd4) + 1)
	case 0xd9, 0xda, 0xdb: // strings with a length of 1, 2 or 4 bytes
		return s.sized(1<<(code-0xd9), 0)
	case 0xdc, 0xdd: // arrays with a length of 2 or 4 bytes
		return s.counted(2<<(code-0xdc), 1)
	case 0xde, 0xdf: // maps with a length of 2 or 4 bytes
		return s.counted(2<<(code-0xde), 2)
	}
	return s.fault("unknown code")
}

// sized steps over a length of width bytes, extra bytes and as many as the length says.
func (s *scanner) sized(width, extra int) error {
	n, err := s.length(width)
	if err != nil {
		return err
	}
	return s.skip(n + extra)
}

// counted opens a map or an array whose length has width bytes.
func (s *scanner) counted(width, each int) error {
	n, err := s.length(width)
	if err != nil {
		return err
	}
	return s.open(n, each)
}

// open expects n elements of each values.
func (s *scanner) open(n, each int) error {
	if n > MaxElements || n*each > len(s.b)-s.at {
		return s.fault("more elements than allowed or left")
	}
	if s.depth == MaxDepth {
		return s.fault("nested too deep")
	}
	s.depth++
	s.pending[s.depth] = n * each
	return nil
}

func (s *scanner) skip(n int) error {
	if n > len(s.b)-s.at {
		return s.fault("longer than what is left")
	}
	s.at += n
	return nil
}

// length reads a big-endian number of 1, 2 or 4 bytes.
func (s *scanner) length(width int) (int, error) {
	from := s.at
	if err := s.skip(width); err != nil {
		return 0, err
	}
	switch width {
	case 1:
		return int(s.b[from]), nil
	case 2:
		return int(binary.BigEndian.Uint16(s.b[from:])), nil
	}
	return int(binary.BigEndian.Uint32(s.b[from:])), nil
}
