package forward

import (
	"github.com/corianderbay/corianderbay/wire"
	"github.com/vmihailenco/msgpack/v5"
)

// Message is the content of a control datagram, encoded as MessagePack.
type Message interface {
	// Check returns an error if a field is missing or out of range.
	Check() error
}

// EncodeMessage returns the body of a control datagram. It returns the error of
// m.Check, or a *HeaderError if m cannot be encoded.
func EncodeMessage(m Message) ([]byte, error) {
	if err := m.Check(); err != nil {
		return nil, err
	}
	b, err := msgpack.Marshal(m)
	if err != nil {
		return nil, &HeaderError{Field: "message", Cause: err}
	}
	return b, nil
}

// DecodeMessage decodes the body of a control datagram into m and validates it.
// Unknown fields are ignored, so that processes of different releases can
// communicate. It returns a *HeaderError if body is not valid MessagePack for m, or
// the error of m.Check.
func DecodeMessage(body []byte, m Message) error {
	if err := wire.Scan(body); err != nil {
		return &HeaderError{Field: "message", Cause: err}
	}
	if err := msgpack.Unmarshal(body, m); err != nil {
		return &HeaderError{Field: "message", Cause: err}
	}
	return m.Check()
}
