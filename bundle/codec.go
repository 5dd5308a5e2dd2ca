package bundle

import (
	"fmt"

	"github.com/corianderbay/corianderbay/wire"
)

const (
	// MaxSection is the maximum size of an encoded section in bytes.
	MaxSection = 512 << 10
	// MaxManifest is the maximum size of an encoded manifest in bytes. The
	// platform stores values of up to 1 MB.
	MaxManifest = 1_000_000
	// MaxFrozen is the maximum size of a whole encoded bundle in bytes.
	MaxFrozen = 32 << 20
)

// TooLargeError reports encoded or authored data above its size limit.
type TooLargeError struct {
	What string
	// Size and Max are in bytes.
	Size, Max int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s of %d bytes is larger than %d bytes", e.What, e.Size, e.Max)
}

// DecodeError reports bytes that are not a canonical encoding of the expected
// value.
type DecodeError struct {
	What  string
	Cause error
}

func (e *DecodeError) Error() string {
	return e.What + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error {
	return e.Cause
}

// EncodeError reports a value that cannot be encoded.
type EncodeError struct {
	What  string
	Cause error
}

func (e *EncodeError) Error() string {
	return e.What + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error {
	return e.Cause
}

// encode returns the canonical encoding of v.
func encode(what string, v any) ([]byte, error) {
	b, err := wire.Encode(v)
	if err != nil {
		return nil, &EncodeError{What: what, Cause: err}
	}
	return b, nil
}

// decode decodes b into v. It rejects every encoding except the canonical one,
// so that equal content has equal hashes.
func decode(what string, limit int, b []byte, v any) error {
	if len(b) > limit {
		return &TooLargeError{What: what, Size: len(b), Max: limit}
	}
	if err := wire.DecodeCanonical(b, v); err != nil {
		return &DecodeError{What: what, Cause: err}
	}
	return nil
}
