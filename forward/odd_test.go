package forward_test

import (
	"bytes"
	"testing"

	"github.com/corianderbay/corianderbay/forward"
	"github.com/shoenig/test/must"
)

// report is a control message with an unbounded field.
type report struct {
	Names []string `msgpack:"names"`
}

func (*report) Check() error { return nil }

// TestOddDatagramsAreRejected guards against bodies of datagrams that end the process which
// decodes them. A stack overflow cannot be recovered from.
func TestOddDatagramsAreRejected(t *testing.T) {
	const size = 65_000
	for name, body := range map[string][]byte{
		"empty":         {},
		"nested lists":  bytes.Repeat([]byte{0x91}, size),
		"nested maps":   bytes.Repeat([]byte("\x81\xa1x"), size/3),
		"unknown field": append([]byte("\x81\xa1x"), bytes.Repeat([]byte{0x91}, size)...),
		"long list":     append([]byte("\x81\xa5names\xdd\xff\xff\xff\xff"), bytes.Repeat([]byte{0xa0}, size)...),
		"large numbers": append([]byte{0x9b}, bytes.Repeat([]byte("\xcf\xff\xff\xff\xff\xff\xff\xff\xff"), 11)...),
		"nested field":  append([]byte{0x9b}, bytes.Repeat([]byte{0x91}, size)...),
	} {
		must.Error(t, forward.DecodeMessage(body, new(report)), must.Sprint(name))
		var h forward.Header
		must.Error(t, forward.NewHeaderDecoder().Decode(body, &h), must.Sprint(name))
	}
}
