package bundle

import (
	"crypto/sha256"
	"encoding/hex"
)

// Hash is a SHA-256 sum. Hashes are comparable.
type Hash [sha256.Size]byte

// HashOf returns the hash of b.
func HashOf(b []byte) Hash {
	return sha256.Sum256(b)
}

// ParseHash reads a hash from its 64 hexadecimal digits. It reports *HashError for other text.
func ParseHash(s string) (Hash, error) {
	var h Hash
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(h) {
		return Hash{}, &HashError{Value: s}
	}
	copy(h[:], b)
	return h, nil
}

// String returns the hash in hexadecimal digits.
func (h Hash) String() string {
	return hex.EncodeToString(h[:])
}

// IsZero returns true for the zero value, which stands for no hash.
func (h Hash) IsZero() bool {
	return h == Hash{}
}

// MarshalText returns the hash in hexadecimal digits.
func (h Hash) MarshalText() ([]byte, error) {
	return []byte(h.String()), nil
}

// UnmarshalText reads the hash from hexadecimal digits.
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

// UnmarshalBinary reads the hash from its 32 bytes.
func (h *Hash) UnmarshalBinary(b []byte) error {
	if len(b) != len(h) {
		return &HashError{Value: hex.EncodeToString(b)}
	}
	copy(h[:], b)
	return nil
}

// HashError reports text or bytes that are not a hash.
type HashError struct {
	Value string
}

func (e *HashError) Error() string {
	return "not a SHA-256 hash: " + e.Value
}
