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

// Hash identifies the content of a version. It is truncated; the signatures of a
// bundle are verified over its full hash.
type Hash [HashSize]byte

// String returns the hash in hexadecimal.
func (h Hash) String() string {
	return hex.EncodeToString(h[:])
}

// Version identifies one version of a document.
type Version struct {
	// Sequence orders versions; the higher one takes precedence. 0 means no version.
	Sequence uint64
	Hash     Hash
}

// IsZero reports whether v means no version.
func (v Version) IsZero() bool {
	return v.Sequence == 0
}

// Conflicts reports whether v and o have the same sequence and different content.
func (v Version) Conflicts(o Version) bool {
	return v.Sequence == o.Sequence && v.Hash != o.Hash
}

// Compare compares by sequence and then by hash, where the lower hash is the
// higher version. It returns a negative number if v is below o, 0 if they are
// equal and a positive number if v is above o.
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

// Kind is the kind of a document.
type Kind uint8

// The kinds of documents that are replicated to all processes.
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

// Peer is an entry of the instance list.
type Peer struct {
	// Name is unique within a list.
	Name       string
	DataCentre string
	// Leaving is true if the process is about to stop.
	Leaving bool
}

// Digest summarizes the state of a process for its peers.
type Digest struct {
	// InForce is the bundle on which the process acts.
	InForce Version
	// Pending is a verified bundle above InForce that is not in force yet, or zero.
	Pending Version
	// List is the instance list that the process holds.
	List Version
	// Origin is the name of the process that received the most recent known answer from the platform; empty if none.
	Origin string
	// Age is the time in milliseconds since that answer.
	Age uint64
	// Request is a number that the receiver returns at once as the Reply of a digest; zero requests none.
	Request uint64
	// Reply is the Request that this digest answers, or zero.
	Reply uint64
}

// age returns Age as a duration of at most maxAge.
func (d Digest) age() time.Duration {
	return time.Duration(min(d.Age, maxAge)) * time.Millisecond
}

// maxAge bounds an age, in milliseconds, so that a bad value cannot overflow a duration.
const maxAge = uint64(24 * time.Hour / time.Millisecond)
