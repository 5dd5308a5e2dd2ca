// Package wire encodes and decodes the msgpack values that processes of the
// system send each other. It decodes bytes from anywhere: a short message that
// announces a long list, for which the msgpack library would allocate at once,
// is refused by a scan that allocates nothing.
//
// Start with Encode and Decode.
package wire

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// Encode returns the one encoding of v: fields in the order of the struct, and
// numbers in their shortest form. It reports *EncodeError.
func Encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, &EncodeError{Cause: err}
	}
	return buf.Bytes(), nil
}

// Decode fills v, a pointer, from b. It refuses unknown fields and bytes after
// the value. It reports *ScanError or *DecodeError.
func Decode(b []byte, v any) error {
	if err := Scan(b); err != nil {
		return err
	}
	dec := msgpack.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields(true)
	if err := dec.Decode(v); err != nil {
		return &DecodeError{Cause: err}
	}
	return nil
}

// DecodeCanonical is like Decode and refuses every encoding but the one that Encode
// writes, with *NonCanonicalError, so that equal content has equal hashes.
func DecodeCanonical(b []byte, v any) error {
	if err := Decode(b, v); err != nil {
		return err
	}
	again, err := Encode(v)
	if err != nil {
		return err
	}
	if !bytes.Equal(again, b) {
		return &NonCanonicalError{}
	}
	return nil
}

// EncodeError reports a value that msgpack cannot write.
type EncodeError struct {
	Cause error
}

func (e *EncodeError) Error() string { return "cannot be encoded: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }

// DecodeError reports bytes that do not hold a value of the wanted type.
type DecodeError struct {
	Cause error
}

func (e *DecodeError) Error() string { return "cannot be decoded: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// NonCanonicalError reports bytes that Encode would write otherwise.
type NonCanonicalError struct{}

func (e *NonCanonicalError) Error() string { return "is not in its one encoding" }
