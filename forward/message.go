package forward

import (
	"github.com/corianderbay/corianderbay/wire"
	"github.com/vmihailenco/msgpack/v5"
)

// Message is what a control datagram carries. It checks itself.
type Message interface {
	Check() error
}

// EncodeMessage returns the body of a control datagram. It reports
// *HeaderError when the message does not check or encode.
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

// DecodeMessage fills m from the body of a control datagram and checks it.
// Fields that this release does not know are passed over, so that two releases
// live together. It reports *HeaderError, or what m's Check reports.
func DecodeMessage(body []byte, m Message) error {
	if err := wire.Scan(body); err != nil {
		return &HeaderError{Field: "message", Cause: err}
	}
	if err := msgpack.Unmarshal(body, m); err != nil {
		return &HeaderError{Field: "message", Cause: err}
	}
	return m.Check()
}
