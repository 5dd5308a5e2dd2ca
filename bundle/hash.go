package bundle

import (
	"crypto/sha256"
	"encoding/hex"
)

// Hash is a SHA-256 digest. Hashes are comparable with ==.
type Hash [sha256.Size]byte

// HashOf returns the hash of b.
func HashOf(b []byte) Hash {
	return sha256.Sum256(b)
}

// ParseHash parses a hash of 64 hexadecimal digits. It fails with *HashError.
func ParseHash(s string) (Hash, error) {
	var h Hash
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(h) {
		return Hash{}, &HashError{Value: s}
	}
	copy(h[:], b)
	return h, nil
}

// String returns the hash as 64 hexadecimal digits.
func (h Hash) String() string {
	return hex.EncodeToString(h[:])
}

// IsZero reports whether h is the zero value, which means that there is no hash.
func (h Hash) IsZero() bool {
	return h == Hash{}
}

// MarshalText returns the hash as 64 hexadecimal digits.
func (h Hash) MarshalText() ([]byte, error) {
	return []byte(h.String()), nil
}

// UnmarshalText parses a hash of 64 hexadecimal digits. It fails with *HashError.
func (h *Hash) UnmarshalText(b []byte) error {
	parsed, err := ParseHash(string(b))
	if err != nil {
		return err
	}
	*h = parsed
	return nil
}

// MarshalBinary returns the 32 bytes of the hash.
func (h Hash) MarshalBinary() ([]byte, error) {
	return h[:], nil
}

// UnmarshalBinary reads the hash from its 32 bytes. It fails with *HashError for
// another length.
func (h *Hash) UnmarshalBinary(b []byte) error {
	if len(b) != len(h) {
		return &HashError{Value: hex.EncodeToString(b)}
	}
	copy(h[:], b)
	return nil
}

// HashError reports text or bytes that are not a SHA-256 hash.
type HashError struct {
	Value string
}

func (e *HashError) Error() string {
	return "not a SHA-256 hash: " + e.Value
}
