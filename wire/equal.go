package wire

import "bytes"

// equalUnordered reports whether a and b encode the same value apart from the order of the
// pairs of their maps. Scan must accept both.
func equalUnordered(a, b []byte) bool {
	if bytes.Equal(a, b) {
		return true
	}
	if len(a) != len(b) || a[0] != b[0] {
		return false
	}
	x, y := container(a), container(b)
	if !x.opened || len(x.values) != len(y.values) {
		return false // two scalars, which differ
	}
	if x.keyed {
		return equalPairs(x.values, y.values)
	}
	for i := range x.values {
		if !equalUnordered(x.values[i], y.values[i]) {
			return false
		}
	}
	return true
}

// equalPairs compares two lists in which each key is followed by its value.
func equalPairs(a, b [][]byte) bool {
	other := make(map[string][]byte, len(b)/2)
	for i := 0; i < len(b); i += 2 {
		other[string(b[i])] = b[i+1]
	}
	if len(other) != len(b)/2 {
		return false // a key is given twice
	}
	for i := 0; i < len(a); i += 2 {
		value, found := other[string(a[i])]
		if !found || !equalUnordered(a[i+1], value) {
			return false
		}
		delete(other, string(a[i]))
	}
	return len(other) == 0
}

// contents holds the values inside an array or a map.
type contents struct {
	// opened is false for a scalar, which has no values inside.
	opened bool
	// keyed is true for a map, whose values are a key and its value by turns.
	keyed  bool
	values [][]byte
}

// container returns the values inside the value b.
func container(b []byte) contents {
	s := scanner{b: b}
	s.depth = 0
	if s.skipValue() != nil || s.depth == 0 {
		return contents{}
	}
	c := contents{opened: true, keyed: isMap(b[0])}
	for n := s.pending[s.depth]; n > 0; n-- {
		start := s.offset
		if s.skipWhole() != nil {
			return contents{}
		}
		c.values = append(c.values, b[start:s.offset])
	}
	return c
}

// isMap reports whether the type code is that of a map.
func isMap(code byte) bool {
	return code&0xf0 == 0x80 || code == 0xde || code == 0xdf
}
