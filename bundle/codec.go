package bundle

import (
	"fmt"

	"github.com/corianderbay/corianderbay/wire"
)

const (
	// MaxSection is the size of one encoded section, in bytes.
	MaxSection = 512 << 10
	// MaxManifest is the size of an encoded manifest, in bytes. The platform holds values of 1 MB.
	MaxManifest = 1_000_000
	// MaxFrozen is the size of a whole encoded bundle, in bytes.
	MaxFrozen = 32 << 20
)

// TooLargeError reports something above its size limit.
type TooLargeError struct {
	What string
	// Size and Max are in bytes.
	Size, Max int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s of %d bytes is larger than %d bytes", e.What, e.Size, e.Max)
}

// DecodeError reports bytes that are not the one encoding of what they should hold.
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

// EncodeError reports a value that msgpack cannot write.
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

// encode returns the one encoding of v.
func encode(what string, v any) ([]byte, error) {
	b, err := wire.Encode(v)
	if err != nil {
		return nil, &EncodeError{What: what, Cause: err}
	}
	return b, nil
}

// decode fills v from b. It refuses any encoding but the one that encode
// writes, so that equal content has equal hashes.
func decode(what string, limit int, b []byte, v any) error {
	if len(b) > limit {
		return &TooLargeError{What: what, Size: len(b), Max: limit}
	}
	if err := wire.DecodeCanonical(b, v); err != nil {
		return &DecodeError{What: what, Cause: err}
	}
	return nil
}
