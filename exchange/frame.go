package exchange

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"fmt"
	"io"
	"math"

	"github.com/cockroachdb/errors"
	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/wire"
)

const (
	// maxFrameSize is the maximum length of a compressed frame in bytes.
	maxFrameSize = 4 << 20
	// maxContentSize is the maximum length of a decompressed frame in bytes.
	maxContentSize = 32 << 20
	// prefixSize is the size of the prefix in bytes: the version, where 0 stands for
	// membership.Format1, and the length in 3 bytes. Lengths in the frames of commit
	// 524ed58 have 4 bytes, of which the first is always 0.
	prefixSize = 4
	// maxPrefixLength is the maximum length in bytes that a prefix can hold. It exceeds
	// maxFrameSize.
	maxPrefixLength = 1<<24 - 1
)

// query requests the routes newer than Version and the upstreams newer than State.
type query struct {
	Version uint64         `msgpack:"v"`
	State   registry.State `msgpack:"s"`
}

// writeFrame writes v as one frame of a version: the prefix and the compressed msgpack
// encoding of v. It returns an error of package wire, *FrameError or an error of w. When
// receivers would reject the frame, it writes only a prefix that they reject.
func writeFrame(w io.Writer, f membership.Format, v any) error {
	frame, err := encodeFrame(f, v)
	if err != nil {
		_, _ = w.Write(prefixOf(f, maxPrefixLength)) // the caller gets the error that came first
		return err
	}
	_, err = w.Write(frame)
	return err
}

// encodeFrame returns v as one frame of a version. It returns an error of package wire, or
// *FrameError.
func encodeFrame(f membership.Format, v any) ([]byte, error) {
	body, err := wire.Encode(v)
	if err != nil {
		return nil, err
	}
	if err := wire.Scan(body); err != nil {
		return nil, err
	}
	if len(body) > maxContentSize {
		return nil, &FrameError{Length: uint32(min(uint64(len(body)), math.MaxUint32))}
	}
	var buf bytes.Buffer
	buf.Write(make([]byte, prefixSize))
	fw, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := fw.Write(body); err != nil {
		return nil, err
	}
	if err := fw.Close(); err != nil {
		return nil, err
	}
	frame := buf.Bytes()
	n := uint32(len(frame) - prefixSize)
	if n > maxFrameSize {
		return nil, &FrameError{Length: n}
	}
	copy(frame, prefixOf(f, n))
	return frame, nil
}

// prefixOf returns the prefix of a frame of n bytes; n is at most maxPrefixLength.
func prefixOf(f membership.Format, n uint32) []byte {
	prefix := binary.BigEndian.AppendUint32(nil, n)
	if f > membership.Format1 {
		prefix[0] = byte(f)
	}
	return prefix
}

// readFrame reads one frame of a version up to newest into v and returns the version. It
// returns *VersionError, *FrameError, or an error of package wire or of r.
func readFrame(r io.Reader, newest membership.Format, v any) (membership.Format, error) {
	var prefix [prefixSize]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return 0, err
	}
	f := max(membership.Format1, membership.Format(prefix[0]))
	if f > newest {
		return 0, &VersionError{Have: newest, Got: f}
	}
	prefix[0] = 0
	n := binary.BigEndian.Uint32(prefix[:])
	if n > maxFrameSize {
		return 0, &FrameError{Length: n}
	}
	fr := flate.NewReader(io.LimitReader(r, int64(n)))
	body, err := io.ReadAll(io.LimitReader(fr, maxContentSize))
	if err != nil {
		return 0, err
	}
	return f, wire.Decode(body, v)
}

// readUpdate reads an update from one frame of a version up to newest. Its parts may be
// out of range, since older builds relay them.
func readUpdate(r io.Reader, newest membership.Format) (registry.Update, error) {
	var u registry.Update
	_, err := readFrame(r, newest, &u)
	return u, err
}

// unreadableAnswer reports whether err means that a peer sent a frame, or announced one, that this
// process cannot read.
func unreadableAnswer(err error) bool {
	var frame *FrameError
	var scan *wire.ScanError
	var decode *wire.DecodeError
	var canonical *wire.NonCanonicalError
	return errors.As(err, &frame) || errors.As(err, &scan) || errors.As(err, &decode) || errors.As(err, &canonical)
}

// FrameError reports a frame whose length in bytes exceeds the limit.
type FrameError struct {
	Length uint32
}

// Error returns the length and the limit.
func (e *FrameError) Error() string {
	return fmt.Sprintf("frame of %d bytes exceeds the limit of %d bytes", e.Length, maxFrameSize)
}
