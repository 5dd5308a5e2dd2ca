package exchange

import (
	"encoding/binary"
	"math"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/shoenig/test/must"
)

// This file reads msgpack on its own, from the specification of the format, so that the fuzz
// targets compare the decoders with something that shares no code with them.

// packed is a msgpack value.
type packed struct {
	code byte
	// text is the content of a string or of bytes.
	text string
	// number is that of an integer; negative ones are in two's complement.
	number uint64
	// inside has the elements of an array, or the keys and values of a map by turns.
	inside []*packed
	isMap  bool
}

// parsePacked returns the first value of b and the bytes after it, or nil.
func parsePacked(b []byte) (v *packed, rest []byte) {
	if len(b) == 0 {
		return nil, nil
	}
	v, b = &packed{code: b[0]}, b[1:]
	switch c := v.code; {
	case c <= 0x7f || c >= 0xe0:
		v.number = uint64(int64(int8(c)))
		return v, b
	case c <= 0x8f:
		return v.fill(b, uint64(c&0x0f), true)
	case c <= 0x9f:
		return v.fill(b, uint64(c&0x0f), false)
	case c <= 0xbf:
		return v.cut(b, uint64(c&0x1f))
	case c <= 0xc3:
		return v, b
	}
	// The width in bytes of the number that follows the code.
	width := map[byte]int{
		0xc4: 1, 0xc5: 2, 0xc6: 4, 0xca: 4, 0xcb: 8, 0xcc: 1, 0xcd: 2, 0xce: 4, 0xcf: 8, 0xd0: 1, 0xd1: 2, 0xd2: 4, 0xd3: 8,
		0xd9: 1, 0xda: 2, 0xdb: 4, 0xdc: 2, 0xdd: 4, 0xde: 2, 0xdf: 4,
	}[v.code]
	if width == 0 || len(b) < width {
		return nil, nil
	}
	n := binary.BigEndian.Uint64(append(make([]byte, 8-width), b[:width]...))
	b = b[width:]
	switch c := v.code; {
	case c <= 0xc6 || c >= 0xd9 && c <= 0xdb:
		return v.cut(b, n)
	case c >= 0xdc:
		return v.fill(b, n, c >= 0xde)
	case c >= 0xd0: // signed
		shift := 64 - 8*width
		n = uint64(int64(n<<shift) >> shift)
	}
	v.number = n
	return v, b
}

// cut takes n bytes of content.
func (v *packed) cut(b []byte, n uint64) (*packed, []byte) {
	if n > uint64(len(b)) {
		return nil, nil
	}
	v.text = string(b[:n])
	return v, b[n:]
}

// fill takes n elements, or n pairs.
func (v *packed) fill(b []byte, n uint64, isMap bool) (*packed, []byte) {
	v.isMap = isMap
	if isMap {
		n *= 2
	}
	for range n {
		var e *packed
		if e, b = parsePacked(b); e == nil {
			return nil, nil
		}
		v.inside = append(v.inside, e)
	}
	return v, b
}

func (v *packed) isText() bool {
	return v.code >= 0xa0 && v.code <= 0xbf || v.code >= 0xd9 && v.code <= 0xdb
}

func (v *packed) isFloat() bool { return v.code == 0xca || v.code == 0xcb }

// shortest reports whether an integer has no shorter code.
func (v *packed) shortest() bool {
	n, signed := v.number, int64(v.number)
	switch v.code {
	case 0xcc:
		return n > math.MaxInt8
	case 0xcd:
		return n > math.MaxUint8
	case 0xce:
		return n > math.MaxUint16
	case 0xcf:
		return n > math.MaxUint32
	case 0xd0:
		return signed < -32
	case 0xd1:
		return signed < math.MinInt8
	case 0xd2:
		return signed < math.MinInt16
	case 0xd3:
		return signed < math.MinInt32
	}
	return true
}

// messageNames are the names of the fields of messages, by message.
var messageNames = map[string]string{
	"heartbeat": "r d i q v n o a g s l b u x p j y f e z w c k t h",
	"digest":    "d v n o s r i x",
	"offer":     "o n i",
	"query":     "v s",
	"update": "routes state whole from changes evacuations former formerevacuations key revision upstream id service address datacentre release slots " +
		"draining warmup born seq h p version idle services name targets idempotent timeout objective priority homes weight flows coldrate listens " +
		"status left missing changed active valid",
}

// nilNames are the fields of an update that may be nil: pointers, and lists without elements.
var nilNames = []string{"routes", "changes", "upstream", "targets", "services", "r", ""}

// checkAccepted checks that a message that was accepted has known fields alone, each once, and
// values of their types in their shortest form.
func checkAccepted(t *testing.T, message string, body []byte) {
	t.Helper()
	v, rest := parsePacked(body)
	must.NotNil(t, v)
	must.SliceEmpty(t, rest)
	must.True(t, v.isMap || message == "query")
	v.check(t, message, "")
}

// check checks a value in a field; elements of arrays have no field.
func (v *packed) check(t *testing.T, message, field string) {
	t.Helper()
	must.True(t, v.shortest(), must.Sprint(field, v.code))
	must.True(t, v.code != 0xc0 || slices.Contains(nilNames, field), must.Sprint("nil in ", field))
	must.True(t, !v.isFloat() || field == "coldrate", must.Sprint("float in ", field))
	if v.isText() && message != "update" { // names of an update are checked when it is applied
		must.True(t, utf8.ValidString(v.text))
	}
	if !v.isMap {
		for _, e := range v.inside {
			e.check(t, message, "")
		}
		return
	}
	seen := make(map[string]bool)
	for i := 0; i < len(v.inside); i += 2 {
		name := v.inside[i]
		must.True(t, name.isText())
		must.False(t, seen[name.text], must.Sprint(name.text, " is given twice"))
		seen[name.text] = true
		if field != "services" { // its names are those of services
			must.SliceContains(t, strings.Fields(messageNames[message]), name.text)
		}
		v.inside[i+1].check(t, message, name.text)
	}
}
