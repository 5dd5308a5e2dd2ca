package peer

import (
	"encoding/binary"
	"io"

	"github.com/corianderbay/corianderbay/wire"
)

const (
	// MaxFrameSize is the maximum length in bytes of a frame without its length field.
	MaxFrameSize = 4 << 20

	lengthSize = 4 // bytes in the length field
)

// WriteMessage writes m to w as one frame: a big-endian length of 4 bytes, one
// byte for the type of the message, and its msgpack encoding. The length counts
// the type and the encoding. It returns *FrameError if that exceeds MaxFrameSize.
func WriteMessage(w io.Writer, m Message) error {
	body, err := wire.Encode(m)
	if err != nil {
		return err
	}
	n := len(body) + 1
	if n > MaxFrameSize {
		return &FrameError{Length: uint32(min(n, 1<<31))}
	}
	frame := make([]byte, 0, lengthSize+n)
	frame = binary.BigEndian.AppendUint32(frame, uint32(n))
	frame = append(frame, byte(m.message()))
	frame = append(frame, body...)
	_, err = w.Write(frame)
	return err
}

// ReadMessage reads one frame and decodes and validates its message. It returns
// *FrameError, *MessageError, an error of package wire, or the error of r.
func ReadMessage(r io.Reader) (Message, error) {
	var head [lengthSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n < 1 || n > MaxFrameSize {
		return nil, &FrameError{Length: n}
	}
	body, err := readBody(r, int(n))
	if err != nil {
		return nil, err
	}
	return decodeMessage(messageType(body[0]), body[1:])
}

// readBody reads n bytes. Its buffer grows with the bytes received, so that a
// large length alone does not cause a large allocation.
func readBody(r io.Reader, n int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return nil, err
	}
	if len(body) < n {
		return nil, io.ErrUnexpectedEOF
	}
	return body, nil
}
