package forward

import (
	"crypto/cipher"
	"encoding/binary"
	"sync"
)

const maxSessions = 16384

// OpenerConfig holds the settings of an Opener.
type OpenerConfig struct {
	// Key is the cluster key, KeySize bytes long, that all processes share.
	Key []byte
}

// Opener authenticates the datagrams that a process receives and rejects replays.
// It is safe for concurrent use.
type Opener struct {
	key []byte

	mu       sync.RWMutex
	sessions map[uint64]*session // by sender; at most maxSessions entries, each added after an authentic datagram
}

// Datagram is an authenticated datagram. Its slices alias the received bytes.
type Datagram struct {
	Kind   Kind
	Sender uint64
	// Body is the encoded header or control message.
	Body []byte
	// Packet is the caller's unmodified packet. It is empty for control messages.
	Packet []byte
}

// NewOpener returns an Opener. It returns a *KeyError if the key has the wrong length.
func NewOpener(cfg OpenerConfig) (*Opener, error) {
	if len(cfg.Key) != KeySize {
		return nil, &KeyError{Size: len(cfg.Key)}
	}
	return &Opener{key: cfg.Key, sessions: make(map[uint64]*session)}, nil
}

// Open authenticates b and splits it into its parts. It returns a *TruncatedError,
// *VersionError, *ForgedError or *ReplayError if the datagram must be dropped.
func (o *Opener) Open(b []byte) (Datagram, error) {
	if len(b) < prefixSize+tagSize {
		return Datagram{}, &TruncatedError{Size: len(b)}
	}
	if b[0] != protocolVersion {
		return Datagram{}, &VersionError{Got: b[0]}
	}
	sender := binary.BigEndian.Uint64(b[senderOffset:])
	counter := binary.BigEndian.Uint64(b[counterOffset:])
	s, found := o.session(sender)
	if s == nil {
		return Datagram{}, &ForgedError{Sender: sender}
	}
	signed := b[:len(b)-tagSize]
	tag := b[len(b)-tagSize:]
	nonce := b[nonceOffset : nonceOffset+nonceSize]
	if _, err := s.aead.Open(nil, nonce, tag, signed); err != nil {
		return Datagram{}, &ForgedError{Sender: sender}
	}
	if !found {
		s = o.addSession(sender, s)
	}
	if !s.markReceived(counter) {
		return Datagram{}, &ReplayError{Sender: sender, Counter: counter}
	}
	size := int(binary.BigEndian.Uint16(b[lengthOffset:]))
	if prefixSize+size > len(signed) {
		return Datagram{}, &TruncatedError{Size: len(b)}
	}
	return Datagram{
		Kind:   Kind(b[1]),
		Sender: sender,
		Body:   signed[prefixSize : prefixSize+size],
		Packet: signed[prefixSize+size:],
	}, nil
}

// session returns the session of sender, or a new one that is not stored yet. s is
// nil if no key can be derived.
func (o *Opener) session(sender uint64) (s *session, found bool) {
	o.mu.RLock()
	s, found = o.sessions[sender]
	o.mu.RUnlock()
	if found {
		return s, true
	}
	aead, err := deriveAEAD(o.key, sender)
	if err != nil {
		return nil, false
	}
	return &session{aead: aead}, false
}

// addSession stores s after the first authentic datagram of its sender, and returns
// the session to use: another goroutine may have stored one already.
func (o *Opener) addSession(sender uint64, s *session) *session {
	o.mu.Lock()
	defer o.mu.Unlock()
	if existing, ok := o.sessions[sender]; ok {
		return existing
	}
	if len(o.sessions) >= maxSessions {
		o.evictLowest()
	}
	o.sessions[sender] = s
	return s
}

// evictLowest removes the session with the lowest counter. The replay window of its
// sender is lost and starts empty with the sender's next datagram.
func (o *Opener) evictLowest() {
	var victim uint64
	lowest := ^uint64(0)
	for sender, s := range o.sessions {
		if top := s.highest(); top < lowest {
			lowest = top
			victim = sender
		}
	}
	delete(o.sessions, victim)
}

const (
	windowWords = 64               // of 64 bits
	windowBits  = windowWords * 64 // 4096 counters in the window
)

// session holds the derived key and the replay window of one sender.
type session struct {
	aead cipher.AEAD

	mu     sync.Mutex
	top    uint64              // highest accepted counter
	window [windowWords]uint64 // bit c mod windowBits is set if counter c was accepted, for c in (top-windowBits, top]
}

// markReceived marks counter as received. It returns false if counter was received
// before, is older than the window, or is 0, which no sender uses.
func (s *session) markReceived(counter uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if counter == 0 {
		return false
	}
	if counter > s.top {
		s.advance(counter)
		s.set(counter)
		return true
	}
	if s.top-counter >= windowBits {
		return false
	}
	if s.isSet(counter) {
		return false
	}
	s.set(counter)
	return true
}

func (s *session) highest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.top
}

// advance moves the top of the window to counter and clears the bits that enter the window.
func (s *session) advance(counter uint64) {
	if counter-s.top >= windowBits {
		s.window = [windowWords]uint64{}
		s.top = counter
		return
	}
	for c := s.top + 1; c <= counter; c++ {
		s.window[c%windowBits/64] &^= 1 << (c % 64)
	}
	s.top = counter
}

func (s *session) set(c uint64) {
	s.window[c%windowBits/64] |= 1 << (c % 64)
}

func (s *session) isSet(c uint64) bool {
	return s.window[c%windowBits/64]&(1<<(c%64)) != 0
}
