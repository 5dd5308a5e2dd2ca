package forward

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"sync/atomic"
)

// KeySize is the length of the cluster key in bytes.
const KeySize = 32

// Overhead is the number of bytes that sealing adds to the encoded header and the packet.
const Overhead = prefixSize + tagSize

const (
	protocolVersion = 1
	prefixSize      = 20 // bytes: version 1, kind 1, sender 8, counter 8, length of the header or message 2
	senderOffset    = 2
	counterOffset   = 10
	lengthOffset    = 18
	nonceOffset     = 6 // the nonce is the last 4 bytes of the sender and the counter
	nonceSize       = 12
	tagSize         = 16
	derivedKeySize  = 16
	derivationLabel = "corianderbay forward 1"
)

// Kind is the type of a datagram's content.
type Kind uint8

// Kinds of datagrams.
const (
	KindPacket  Kind = 1 // a Header and a caller's packet
	KindHints   Kind = 2 // a flow.OwnerHints
	KindReport  Kind = 3 // a flow.PeerReport
	KindLoad    Kind = 4 // a load.Report
	KindSilence Kind = 5 // a flow.SilenceReport
)

// SealerConfig holds the settings of a Sealer.
type SealerConfig struct {
	// Key is the cluster key, KeySize bytes long, that all processes share.
	Key []byte
	// Sender identifies one run of a process. No other run may use the same value, now
	// or later, because the key is derived from it and the counter in the nonce restarts
	// with each run. Choose it at random at each start.
	Sender uint64
}

// Sealer adds a header and an authentication tag to the datagrams that a process
// sends. Datagrams are authenticated but not encrypted. A Sealer is safe for concurrent use.
type Sealer struct {
	sender  uint64
	aead    cipher.AEAD
	counter atomic.Uint64 // counter of the last datagram; never reused, since it is part of the nonce
	scratch sync.Pool     // of *headerEncoder
}

// NewSealer returns a Sealer. It returns a *KeyError if the key has the wrong length.
func NewSealer(cfg SealerConfig) (*Sealer, error) {
	aead, err := deriveAEAD(cfg.Key, cfg.Sender)
	if err != nil {
		return nil, err
	}
	s := &Sealer{sender: cfg.Sender, aead: aead}
	s.scratch.New = func() any { return newHeaderEncoder() }
	return s, nil
}

// AppendPacket overwrites dst with a sealed datagram that contains h and the caller's
// packet, and returns the extended slice. It does not allocate if dst has enough
// capacity. It returns a *HeaderError if h is invalid or cannot be encoded.
func (s *Sealer) AppendPacket(dst []byte, h *Header, packet []byte) ([]byte, error) {
	b := s.begin(dst, KindPacket)
	e := s.scratch.Get().(*headerEncoder)
	b, err := e.append(b, h)
	s.scratch.Put(e)
	if err != nil {
		return nil, err
	}
	binary.BigEndian.PutUint16(b[lengthOffset:], uint16(len(b)-prefixSize))
	b = append(b, packet...)
	return s.finish(b), nil
}

// AppendMessage overwrites dst with a sealed datagram that contains an encoded
// control message of at most 65,535 bytes, and returns the extended slice.
func (s *Sealer) AppendMessage(dst []byte, kind Kind, body []byte) []byte {
	b := s.begin(dst, kind)
	binary.BigEndian.PutUint16(b[lengthOffset:], uint16(len(body)))
	b = append(b, body...)
	return s.finish(b)
}

func (s *Sealer) begin(dst []byte, kind Kind) []byte {
	var prefix [prefixSize]byte
	prefix[0] = protocolVersion
	prefix[1] = byte(kind)
	binary.BigEndian.PutUint64(prefix[senderOffset:], s.sender)
	binary.BigEndian.PutUint64(prefix[counterOffset:], s.counter.Add(1))
	return append(dst[:0], prefix[:]...)
}

func (s *Sealer) finish(b []byte) []byte {
	nonce := b[nonceOffset : nonceOffset+nonceSize]
	return s.aead.Seal(b, nonce, nil, b)
}

func deriveAEAD(key []byte, sender uint64) (cipher.AEAD, error) {
	if len(key) != KeySize {
		return nil, &KeyError{Size: len(key)}
	}
	var salt [8]byte
	binary.BigEndian.PutUint64(salt[:], sender)
	derived, err := hkdf.Key(sha256.New, key, salt[:], derivationLabel, derivedKeySize)
	if err != nil {
		return nil, &HeaderError{Field: "key", Cause: err}
	}
	block, err := aes.NewCipher(derived)
	if err != nil {
		return nil, &HeaderError{Field: "key", Cause: err}
	}
	return cipher.NewGCM(block)
}
