package standin_test

import (
	"encoding/binary"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/corianderbay/corianderbay/standin"
	"github.com/shoenig/test/must"
)

func TestDecodeAnswerRejectsCorruptBytes(t *testing.T) {
	b, err := standin.Answer{Caller: 1, ID: 2, Service: "report", Upstream: "r1", Status: standin.StatusDone, Body: []byte("body")}.Encode()
	must.NoError(t, err)
	for i := range b {
		_, err := standin.DecodeAnswer(b[:i])
		var wrong *standin.MessageError
		must.ErrorAs[*standin.MessageError](t, err, &wrong)
		b[i] ^= 1
		_, err = standin.DecodeAnswer(b)
		must.ErrorAs[*standin.MessageError](t, err, &wrong)
		b[i] ^= 1
	}
	_, err = standin.DecodeAnswer(b)
	must.NoError(t, err)
}

// FuzzMessage decodes the input as a complete frame and as the body of a frame with valid length and checksum.
func FuzzMessage(f *testing.F) {
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = standin.DecodeRequest(b)
		_, _ = standin.DecodeAnswer(b)
		frame := binary.BigEndian.AppendUint32(nil, uint32(len(b)+12))
		frame = append(frame, b...)
		frame = binary.BigEndian.AppendUint64(frame, xxhash.Sum64(frame))
		_, _ = standin.DecodeRequest(frame)
		_, _ = standin.DecodeAnswer(frame)
	})
}
