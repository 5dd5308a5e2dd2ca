package exchange

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/wire"
)

const (
	// maxFrameSize is the maximum length of a compressed frame in bytes.
	maxFrameSize = 4 << 20
	// maxContentSize is the maximum length of a decompressed frame in bytes.
	maxContentSize = 32 << 20
	lengthSize     = 4 // bytes of the length prefix
)

// query requests the routes newer than Version and the upstreams newer than State.
type query struct {
	Version uint64         `msgpack:"v"`
	State   registry.State `msgpack:"s"`
}

// writeFrame writes v as one frame: a big-endian length and the compressed msgpack encoding of v.
func writeFrame(w io.Writer, v any) error {
	body, err := wire.Encode(v)
	if err != nil {
		return err
	}
	var buf bytes.Buffer
	buf.Write(make([]byte, lengthSize))
	fw, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return err
	}
	if _, err := fw.Write(body); err != nil {
		return err
	}
	if err := fw.Close(); err != nil {
		return err
	}
	frame := buf.Bytes()
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-lengthSize))
	_, err = w.Write(frame)
	return err
}

// readFrame reads one frame into v. It returns *FrameError, or an error of package wire or of r.
func readFrame(r io.Reader, v any) error {
	var prefix [lengthSize]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(prefix[:])
	if n > maxFrameSize {
		return &FrameError{Length: n}
	}
	fr := flate.NewReader(io.LimitReader(r, int64(n)))
	body, err := io.ReadAll(io.LimitReader(fr, maxContentSize))
	if err != nil {
		return err
	}
	return wire.Decode(body, v)
}

// readUpdate reads an update from one frame and validates it.
func readUpdate(r io.Reader) (registry.Update, error) {
	var u registry.Update
	if err := readFrame(r, &u); err != nil {
		return registry.Update{}, err
	}
	return u, u.Check()
}

// FrameError reports a frame whose compressed length in bytes exceeds the limit.
type FrameError struct {
	Length uint32
}

// Error returns the length and the limit.
func (e *FrameError) Error() string {
	return fmt.Sprintf("frame of %d bytes exceeds the limit of %d bytes", e.Length, maxFrameSize)
}
