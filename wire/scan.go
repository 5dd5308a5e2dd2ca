package wire

import (
	"encoding/binary"
	"fmt"
)

const (
	// MaxDepth is the maximum nesting depth of maps and arrays.
	MaxDepth = 16
	// MaxElements is the maximum number of elements of an array or pairs of a map.
	MaxElements = 1 << 15
)

// ScanError reports bytes that are malformed or exceed MaxDepth or MaxElements.
type ScanError struct {
	// Offset is the position in bytes at which the scan stopped.
	Offset int
	// Reason describes the fault at that position.
	Reason string
}

func (e *ScanError) Error() string {
	return fmt.Sprintf("msgpack at byte %d: %s", e.Offset, e.Reason)
}

// Scan returns nil when b is exactly one complete msgpack value within MaxDepth
// and MaxElements, and *ScanError otherwise. It allocates nothing but that error,
// so it is safe to call on untrusted bytes.
func Scan(b []byte) error {
	s := scanner{b: b}
	if err := s.skipWhole(); err != nil {
		return err
	}
	if s.offset != len(b) {
		return s.scanError("trailing bytes after the value")
	}
	return nil
}

// scanner skips one value after another.
type scanner struct {
	b      []byte
	offset int // from 0 to len(b)
	// pending is the number of values that each open map and array still expects.
	pending [MaxDepth + 1]int
	depth   int // index in pending
}

// skipWhole skips a value and the values inside.
func (s *scanner) skipWhole() error {
	s.pending[0] = 1
	for s.depth = 0; s.depth >= 0; {
		if s.pending[s.depth] == 0 {
			s.depth--
			continue
		}
		s.pending[s.depth]--
		if err := s.skipValue(); err != nil {
			return err
		}
	}
	return nil
}

func (s *scanner) scanError(reason string) error {
	return &ScanError{Offset: s.offset, Reason: reason}
}

// skipValue skips a scalar, or opens a map or an array.
func (s *scanner) skipValue() error {
	if s.offset == len(s.b) {
		return s.scanError("missing value")
	}
	code := s.b[s.offset]
	s.offset++
	switch {
	case code <= 0x7f || code >= 0xe0: // integers of one byte
		return nil
	case code <= 0x8f: // maps of up to 15 pairs
		return s.openContainer(int(code&0x0f), 2)
	case code <= 0x9f: // arrays of up to 15 elements
		return s.openContainer(int(code&0x0f), 1)
	case code <= 0xbf: // strings of up to 31 bytes
		return s.skipBytes(int(code & 0x1f))
	}
	return s.skipTyped(code)
}

// skipTyped handles the type codes from 0xc0 to 0xdf.
func (s *scanner) skipTyped(code byte) error {
	switch code {
	case 0xc0, 0xc2, 0xc3: // nil, false, true
		return nil
	case 0xc4, 0xc5, 0xc6: // bytes with a length of 1, 2 or 4 bytes
		return s.skipSized(1<<(code-0xc4), 0)
	case 0xc7, 0xc8, 0xc9: // extension with a length of 1, 2 or 4 bytes, followed by its type
		return s.skipSized(1<<(code-0xc7), 1)
	case 0xca, 0xcb: // floats
		return s.skipBytes(4 << (code - 0xca))
	case 0xcc, 0xcd, 0xce, 0xcf: // unsigned integers
		return s.skipBytes(1 << (code - 0xcc))
	case 0xd0, 0xd1, 0xd2, 0xd3: // signed integers
		return s.skipBytes(1 << (code - 0xd0))
	case 0xd4, 0xd5, 0xd6, 0xd7, 0xd8: // fixed-length extension with its type
		return s.skipBytes(1<<(code-0xd4) + 1)
	case 0xd9, 0xda, 0xdb: // strings with a length of 1, 2 or 4 bytes
		return s.skipSized(1<<(code-0xd9), 0)
	case 0xdc, 0xdd: // arrays with a length of 2 or 4 bytes
		return s.openCounted(2<<(code-0xdc), 1)
	case 0xde, 0xdf: // maps with a length of 2 or 4 bytes
		return s.openCounted(2<<(code-0xde), 2)
	}
	return s.scanError("unknown type code")
}

// skipSized skips a length field of width bytes, extra bytes, and the bytes that
// the length field counts.
func (s *scanner) skipSized(width, extra int) error {
	n, err := s.readLength(width)
	if err != nil {
		return err
	}
	return s.skipBytes(n + extra)
}

// openCounted opens a map or an array whose length field has width bytes.
func (s *scanner) openCounted(width, valuesPerElement int) error {
	n, err := s.readLength(width)
	if err != nil {
		return err
	}
	return s.openContainer(n, valuesPerElement)
}

// openContainer opens a map or an array of n elements.
func (s *scanner) openContainer(n, valuesPerElement int) error {
	if n > MaxElements || n*valuesPerElement > len(s.b)-s.offset {
		return s.scanError("more elements than allowed or remaining")
	}
	if s.depth == MaxDepth {
		return s.scanError("nested too deeply")
	}
	s.depth++
	s.pending[s.depth] = n * valuesPerElement
	return nil
}

func (s *scanner) skipBytes(n int) error {
	if n > len(s.b)-s.offset {
		return s.scanError("length exceeds the remaining bytes")
	}
	s.offset += n
	return nil
}

// readLength reads a big-endian length of 1, 2 or 4 bytes.
func (s *scanner) readLength(width int) (int, error) {
	start := s.offset
	if err := s.skipBytes(width); err != nil {
		return 0, err
	}
	switch width {
	case 1:
		return int(s.b[start]), nil
	case 2:
		return int(binary.BigEndian.Uint16(s.b[start:])), nil
	}
	return int(binary.BigEndian.Uint32(s.b[start:])), nil
}
