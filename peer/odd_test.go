package peer_test

import (
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/corianderbay/corianderbay/peer"
	"github.com/shoenig/test/must"
)

// frameOf returns a frame with a message of a type.
func frameOf(messageType byte, body []byte) []byte {
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(body)+1))
	return append(append(frame, messageType), body...)
}

// TestOddMessagesAreRejected guards against messages that end the process that reads them.
// A stack overflow cannot be recovered from.
func TestOddMessagesAreRejected(t *testing.T) {
	const depth = 4_000_000
	for name, body := range map[string][]byte{
		"nested lists":            bytes.Repeat([]byte{0x91}, depth),
		"nested maps":             bytes.Repeat([]byte{0x81, 0xa1, 'x'}, depth/3),
		"nested in unknown field": append([]byte("\x81\xa1x"), bytes.Repeat([]byte{0x91}, depth)...),
		"nested in a name":        append([]byte("\x81\xa4name"), bytes.Repeat([]byte{0x91}, depth)...),
		"long list":               append([]byte("\x81\xa5names\xdd\xff\xff\xff\xff"), bytes.Repeat([]byte{0xc0}, depth)...),
		"long text":               []byte("\x81\xa4name\xdb\xff\xff\xff\xffx"),
		"large number":            []byte("\x81\xa5count\xcf\xff\xff\xff\xff\xff\xff\xff\xff"),
	} {
		for messageType := range byte(10) {
			_, err := peer.ReadMessage(bytes.NewReader(frameOf(messageType, body)))
			must.Error(t, err, must.Sprint(name, messageType))
		}
	}
}
