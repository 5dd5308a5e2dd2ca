// Package wire encodes and decodes the msgpack values that processes exchange, and decodes
// the JSON texts of other programs.
//
// It is safe to decode untrusted bytes. For a short message that declares a long
// list, the msgpack library would allocate the whole list up front; a scan that
// allocates nothing rejects such messages first.
//
// Start with Encode, Decode and DecodeJSON.
package wire

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// Encode returns the canonical encoding of v: fields in struct order and numbers
// in their shortest form. It returns *EncodeError.
func Encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, &EncodeError{Cause: err}
	}
	return buf.Bytes(), nil
}

// Decode decodes b into v, a pointer. It rejects unknown fields, trailing bytes and every
// encoding other than that of Encode but for the order of the pairs of a map: the msgpack
// library takes names that are given twice, nil for any type, and numbers of another type.
// It returns *ScanError, *DecodeError, *NonCanonicalError or *EncodeError.
func Decode(b []byte, v any) error {
	return decode(b, v, equalUnordered)
}

// DecodeCanonical is like Decode but also rejects another order of the pairs of a map, so
// that equal content has equal hashes.
func DecodeCanonical(b []byte, v any) error {
	return decode(b, v, bytes.Equal)
}

// decode decodes b into v and compares b with the encoding of v.
func decode(b []byte, v any, equal func(a, b []byte) bool) error {
	if err := Scan(b); err != nil {
		return err
	}
	dec := msgpack.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields(true)
	if err := dec.Decode(v); err != nil {
		return &DecodeError{Cause: err}
	}
	reencoded, err := Encode(v)
	if err != nil {
		return err
	}
	if !equal(reencoded, b) {
		return &NonCanonicalError{}
	}
	return nil
}

// EncodeError reports a value that msgpack cannot encode. Its message has no subject,
// so that an error that wraps it can put one before it.
type EncodeError struct {
	Cause error
}

func (e *EncodeError) Error() string { return "cannot be encoded: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }

// DecodeError reports bytes that do not decode to a value of the expected type. Its
// message has no subject, so that an error that wraps it can put one before it.
type DecodeError struct {
	Cause error
}

func (e *DecodeError) Error() string { return "cannot be decoded: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// NonCanonicalError reports bytes that are not the canonical encoding of their value.
// Its message has no subject, so that an error that wraps it can put one before it.
type NonCanonicalError struct{}

func (e *NonCanonicalError) Error() string { return "is not in canonical encoding" }
