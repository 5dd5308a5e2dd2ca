package converge

import (
	"bytes"
	"cmp"
	"encoding/hex"
	"strconv"
	"time"
)

// HashSize is the length in bytes of a Hash.
const HashSize = 16

// Hash identifies the content of a version. The signatures of a bundle are
// checked over its full hash apart from this one.
type Hash [HashSize]byte

// String returns the hash in hexadecimal digits.
func (h Hash) String() string {
	return hex.EncodeToString(h[:])
}

// Version is a numbered content. The zero value stands for none.
type Version struct {
	// Sequence orders versions; the higher one wins. Zero is below every version.
	Sequence uint64
	Hash     Hash
}

// IsZero reports whether v stands for no version.
func (v Version) IsZero() bool {
	return v.Sequence == 0
}

// Conflicts reports whether both are the same number with other content.
func (v Version) Conflicts(o Version) bool {
	return v.Sequence == o.Sequence && v.Hash != o.Hash
}

// Compare orders by sequence and then by hash, the lower hash being the higher version.
func (v Version) Compare(o Version) int {
	if c := cmp.Compare(v.Sequence, o.Sequence); c != 0 {
		return c
	}
	return bytes.Compare(o.Hash[:], v.Hash[:])
}

// String returns the version as "12:0f3a...".
func (v Version) String() string {
	return strconv.FormatUint(v.Sequence, 10) + ":" + v.Hash.String()
}

// Kind says which of the two documents is meant.
type Kind uint8

// The documents that processes agree on.
const (
	KindBundle Kind = 1
	KindList   Kind = 2
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case KindBundle:
		return "bundle"
	case KindList:
		return "list"
	}
	return "unknown"
}

// Peer is another process as the instance list shows it.
type Peer struct {
	// Name is unique in a list.
	Name       string
	DataCentre string
	// Leaving is true for a process that is about to stop.
	Leaving bool
}

// Digest is what a process tells its peers about itself.
type Digest struct {
	// InForce is the bundle that the process acts on.
	InForce Version
	// Pending is a checked bundle above InForce that is not in force yet, or zero.
	Pending Version
	// List is the instance list that the process holds.
	List Version
	// Origin names the process whose answer from the platform is the freshest known; empty is none.
	Origin string
	// Age is the time in milliseconds since that answer.
	Age uint64
	// Request wants a digest in return whose Answer is the same number; zero wants none.
	Request uint64
	// Reply is the number of the question that this digest was sent for, or zero.
	Reply uint64
}

// age returns the time since the answer that Origin got.
func (d Digest) age() time.Duration {
	return time.Duration(min(d.Age, maxAge)) * time.Millisecond
}

// maxAge bounds an age in milliseconds.
const maxAge = uint64(24 * time.Hour / time.Millisecond)
