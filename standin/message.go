package standin

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/corianderbay/corianderbay/wire"
	"github.com/vmihailenco/msgpack/v5"
)

// Sizes in bytes. A frame consists of a length, a msgpack body and a checksum over both.
const (
	messageHeaderSize   = 4
	messageChecksumSize = 8
	maxMessageSize      = 1 << 20
)

// Request is a request of a Caller to an Upstream.
type Request struct {
	// Caller is unique among all flows of a trial.
	Caller uint64 `msgpack:"caller"`
	// ID is unique among the requests of one caller. Retransmissions and retries reuse it.
	ID uint64 `msgpack:"id"`
	// Attempt starts at 0 and increases with each retry after a refusal or a shed answer.
	Attempt    uint32 `msgpack:"attempt"`
	Idempotent bool   `msgpack:"idempotent"`
	// Size is the length in bytes of the requested answer's body, from 0 to maxBodySize.
	Size int `msgpack:"size"`
	// MaxWait is how long the request may wait for a slot. Zero means no limit.
	MaxWait time.Duration `msgpack:"within"`
}

const maxBodySize = maxMessageSize - 1024 // bytes

// Encode returns the framed request.
func (r Request) Encode() ([]byte, error) {
	return encodeMessage(&r)
}

// DecodeRequest decodes the request in one complete frame. It returns *MessageError if it is invalid.
func DecodeRequest(frame []byte) (Request, error) {
	var r Request
	if err := decodeMessage(frame, &r); err != nil {
		return Request{}, err
	}
	if r.Size < 0 || r.Size > maxBodySize || r.MaxWait < 0 {
		return Request{}, &MessageError{Part: "fields"}
	}
	return r, nil
}

// Status is the result of a request at an Upstream.
type Status uint8

// Statuses of an answer.
const (
	// StatusDone means that the request ran.
	StatusDone Status = 1
	// StatusShed means that the request did not run because the queue was full.
	StatusShed Status = 2
	// StatusExpired means that the request did not run because it exceeded its MaxWait.
	StatusExpired Status = 3
)

// Answer is the response of an Upstream to a Request.
type Answer struct {
	// Caller, ID and Attempt are those of the request.
	Caller  uint64 `msgpack:"caller"`
	ID      uint64 `msgpack:"id"`
	Attempt uint32 `msgpack:"attempt"`
	// Service and Upstream are the configured names of the upstream.
	Service  string `msgpack:"service"`
	Upstream string `msgpack:"upstream"`
	Status   Status `msgpack:"status"`
	Body     []byte `msgpack:"body"`
}

// Encode returns the framed answer.
func (a Answer) Encode() ([]byte, error) {
	return encodeMessage(&a)
}

// DecodeAnswer decodes the answer in one complete frame. It returns *MessageError if it is invalid.
func DecodeAnswer(frame []byte) (Answer, error) {
	var a Answer
	if err := decodeMessage(frame, &a); err != nil {
		return Answer{}, err
	}
	if a.Status < StatusDone || a.Status > StatusExpired {
		return Answer{}, &MessageError{Part: "fields"}
	}
	return a, nil
}

func encodeMessage(v any) ([]byte, error) {
	body, err := msgpack.Marshal(v)
	if err != nil {
		return nil, &MessageError{Part: "body", Cause: err}
	}
	size := messageHeaderSize + len(body) + messageChecksumSize
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, size), uint32(size))
	frame = append(frame, body...)
	return binary.BigEndian.AppendUint64(frame, xxhash.Sum64(frame)), nil
}

func decodeMessage(frame []byte, v any) error {
	size, err := messageSize(frame)
	if err != nil {
		return err
	}
	if size == 0 || size != len(frame) {
		return &MessageError{Part: "length"}
	}
	sum := size - messageChecksumSize
	if xxhash.Sum64(frame[:sum]) != binary.BigEndian.Uint64(frame[sum:]) {
		return &MessageError{Part: "checksum"}
	}
	if err := wire.Scan(frame[messageHeaderSize:sum]); err != nil {
		return &MessageError{Part: "body", Cause: err}
	}
	if err := msgpack.Unmarshal(frame[messageHeaderSize:sum], v); err != nil {
		return &MessageError{Part: "body", Cause: err}
	}
	return nil
}

// messageSize returns the length of the frame at the start of b, or 0 if b is shorter than the length field.
func messageSize(b []byte) (int, error) {
	if len(b) < messageHeaderSize {
		return 0, nil
	}
	size := int(binary.BigEndian.Uint32(b))
	if size < messageHeaderSize+messageChecksumSize || size > maxMessageSize {
		return 0, &MessageError{Part: "length"}
	}
	return size, nil
}

// splitMessage splits the first complete frame off a stream. The frame is nil if it is incomplete.
func splitMessage(stream []byte) (frame, rest []byte, err error) {
	size, err := messageSize(stream)
	if err != nil || size == 0 || size > len(stream) {
		return nil, stream, err
	}
	return stream[:size], stream[size:], nil
}
