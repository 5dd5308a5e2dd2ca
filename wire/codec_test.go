package wire_test

import (
	"bytes"
	"errors"
	"testing"

	"github.com/corianderbay/corianderbay/wire"
	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
)

type message struct {
	Names []string `msgpack:"names"`
	Parts [][]byte `msgpack:"parts"`
	Count int64    `msgpack:"count"`
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	want := message{Names: []string{"a", ""}, Parts: [][]byte{bytes.Repeat([]byte("x"), 70_000)}, Count: -3}
	raw, err := wire.Encode(want)
	must.NoError(t, err)
	var got message
	must.NoError(t, wire.DecodeCanonical(raw, &got))
	must.Eq(t, want, got)
}

func TestDecodeRejectsInvalidInput(t *testing.T) {
	tests := map[string]string{
		"empty":          "",
		"missing list":   "\x81\xa5parts\xdd\xff\xff\xff\xff",
		"short map":      "\x82\xa1a\x01\x01",
		"short list":     "\x81\xa5parts\x93\xc0",
		"missing bytes":  "\x81\xa5parts\x91\xc6\xff\xff\xff\xff",
		"unknown field":  "\x81\xa5other\x01",
		"unknown code":   "\xc1",
		"trailing bytes": "\x80\x00",
		"too deep":       "\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\xc0",
		"wrong type":     "\x81\xa5count\xa1x",
	}
	for name, raw := range tests {
		t.Run(name, func(t *testing.T) {
			must.Error(t, wire.Decode([]byte(raw), new(message)))
		})
	}
	list := append([]byte("\x81\xa5parts\xdd\x00\x00\x80\x01"), bytes.Repeat([]byte{0xc0}, wire.MaxElements+1)...)
	var bounds *wire.ScanError
	must.True(t, errors.As(wire.Decode(list, new(message)), &bounds))
}

// TestDeepNestingIsRejected guards against values that nest until the stack overflows, which
// ends a process, also in fields that no type has.
func TestDeepNestingIsRejected(t *testing.T) {
	for _, depth := range []int{wire.MaxDepth + 1, 20_000, 10_000_000} {
		for name, raw := range map[string][]byte{
			"lists":            bytes.Repeat([]byte{0x91}, depth),
			"closed lists":     append(bytes.Repeat([]byte{0x91}, depth), 0xc0),
			"maps":             bytes.Repeat([]byte("\x81\xa1x"), depth),
			"lists of 32 bits": bytes.Repeat([]byte{0xdd, 0, 0, 0, 1}, depth),
			"known field":      append([]byte("\x81\xa5names"), bytes.Repeat([]byte{0x91}, depth)...),
			"unknown field":    append([]byte("\x81\xa5other"), append(bytes.Repeat([]byte{0x91}, depth), 0xc0)...),
			"key of a map":     bytes.Repeat([]byte{0x81}, depth),
		} {
			var bounds *wire.ScanError
			must.True(t, errors.As(wire.Decode(raw, new(message)), &bounds), must.Sprint(name, depth))
		}
	}
}

func TestDecodeCanonicalRejectsOtherEncodings(t *testing.T) {
	raw := []byte("\x83\xa5parts\xc0\xa5names\xc0\xa5count\x01")
	must.NoError(t, wire.Decode(raw, new(message)))
	var exact *wire.NonCanonicalError
	must.True(t, errors.As(wire.DecodeCanonical(raw, new(message)), &exact))
}

// TestDecodeRejectsOtherTypes guards against fields that are given twice, or with a value of
// another type, of which the msgpack library takes the last, or converts it.
func TestDecodeRejectsOtherTypes(t *testing.T) {
	for name, raw := range map[string]string{
		"field twice":          "\x84\xa5names\xc0\xa5parts\xc0\xa5count\x01\xa5count\x02",
		"equal field twice":    "\x84\xa5names\xc0\xa5parts\xc0\xa5count\x01\xa5count\x01",
		"field missing":        "\x82\xa5names\xc0\xa5parts\xc0",
		"nil as a number":      "\x83\xa5names\xc0\xa5parts\xc0\xa5count\xc0",
		"float as a number":    "\x83\xa5names\xc0\xa5parts\xc0\xa5count\xcb\x3f\xf0\x00\x00\x00\x00\x00\x00",
		"number too wide":      "\x83\xa5names\xc0\xa5parts\xc0\xa5count\xd3\x00\x00\x00\x00\x00\x00\x00\x01",
		"bytes as a text":      "\x83\xa5names\x91\xc4\x01a\xa5parts\xc0\xa5count\x01",
		"text as bytes":        "\x83\xa5names\xc0\xa5parts\x91\xa1a\xa5count\x01",
		"nil as a whole":       "\xc0",
		"name as bytes":        "\x83\xa5names\xc0\xa5parts\xc0\xc4\x05count\x01",
		"name in another case": "\x83\xa5names\xc0\xa5parts\xc0\xa5Count\x01",
	} {
		must.Error(t, wire.Decode([]byte(raw), new(message)), must.Sprint(name))
	}
}

type nested struct {
	Maps map[string]map[string]int `msgpack:"maps"`
	List []map[string]bool         `msgpack:"list"`
}

// TestDecodeTakesPairsInAnyOrder guards against messages that cannot be read because maps have
// no order of their own.
func TestDecodeTakesPairsInAnyOrder(t *testing.T) {
	v := nested{Maps: make(map[string]map[string]int), List: []map[string]bool{{"x": true, "y": false, "z": true}}}
	for _, name := range []string{"a", "b", "c"} {
		v.Maps[name] = map[string]int{"one": 1, "two": 2, "three": 70_000}
	}
	for range 50 {
		raw, err := wire.Encode(v)
		must.NoError(t, err)
		var got nested
		must.NoError(t, wire.Decode(raw, &got))
		must.Eq(t, v, got)
	}
	must.Error(t, wire.Decode([]byte("\x82\xa4maps\xc0\xa4list\x91\x82\xa1x\xc3\xa1x\xc3"), new(nested)))
	must.Error(t, wire.Decode([]byte("\x82\xa4maps\xc0\xa4list\x91\x82\xa1x\xc3\xa1x\xc2"), new(nested)))
}

// FuzzScan checks that the msgpack library reads every input that Scan accepts
// completely.
func FuzzScan(f *testing.F) {
	valid, err := wire.Encode(message{Names: []string{"a"}, Parts: [][]byte{{1}}, Count: 1 << 40})
	must.NoError(f, err)
	f.Add(valid)
	f.Add([]byte("\xc7\x01\x05x\xde\x00\x01\xa1k\xdc\x00\x01\xcb\x00\x00\x00\x00\x00\x00\x00\x00"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if wire.Scan(raw) != nil {
			return
		}
		r := bytes.NewReader(raw)
		must.NoError(t, msgpack.NewDecoder(r).Skip())
		must.Eq(t, 0, r.Len())
		_ = wire.Decode(raw, new(message))
	})
}
