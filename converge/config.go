package converge

import (
	"math/rand/v2"
	"time"
)

// TickInterval is how often an edge sends a Tick.
const TickInterval = 250 * time.Millisecond

const (
	defaultReaders        = 3
	defaultNeighbours     = 4
	defaultMinReplies     = 3
	defaultDigestInterval = time.Second
	defaultSettleTime     = 1500 * time.Millisecond
	defaultMaxSettleTime  = 4 * time.Second
	defaultReplyTimeout   = 2 * time.Second
	defaultListTimeout    = 30 * time.Second
	defaultPauseThreshold = 2 * time.Second
	defaultPeerTimeout    = 3 * time.Second
	defaultFetchTimeout   = 3 * time.Second
	defaultReaderTimeout  = 10 * time.Second
	defaultRetryInterval  = 2 * time.Second
	defaultRotateInterval = time.Minute
)

// Config holds the settings of a Member. Zero durations and counts select the defaults.
type Config struct {
	// Name is the process's own name in the instance list.
	Name string
	// DataCentre is where the process runs.
	DataCentre string
	// Rand is the source of random choices. It is used by the Member alone.
	Rand *rand.Rand
	// Seeds are peers from the settings, which a process dials also when no list names them.
	Seeds []Peer
	// Readers is how many processes of a data centre read the platform. Zero selects 3.
	Readers int
	// Neighbours is how many peers a process dials. Zero selects 4.
	Neighbours int
	// MinReplies is how many peers a process asks before it acts. Zero selects 3.
	MinReplies int
	// DigestInterval is the time between two digests to a peer. Zero selects 1 s.
	DigestInterval time.Duration
	// SettleTime is how long a bundle stays pending, at least twice the time in which
	// a digest reaches every process. Zero selects 1.5 s.
	SettleTime time.Duration
	// MaxSettleTime bounds the time without a bundle in force while new ones keep coming. Zero selects 4 s.
	MaxSettleTime time.Duration
	// ReplyTimeout is how long a process waits for Answers before fewer will do. Zero selects 2 s.
	ReplyTimeout time.Duration
	// ListTimeout is how long a process that reaches the platform waits for an instance list
	// before it acts without one. Zero selects 30 s.
	ListTimeout time.Duration
	// PauseThreshold is the gap between ticks that counts as a pause. Zero selects 2 s.
	PauseThreshold time.Duration
	// PeerTimeout is the silence after which a connection is closed. Zero selects 3 s.
	PeerTimeout time.Duration
	// FetchTimeout is how long a fetch may take. Zero selects 3 s.
	FetchTimeout time.Duration
	// ReaderTimeout is the age of the freshest answer from the platform at which other processes start to read.
	// Zero selects 10 s.
	ReaderTimeout time.Duration
	// RetryInterval is the time between two dials of peers that could not be reached. Zero selects 2 s.
	RetryInterval time.Duration
	// RotateInterval is the time after which one neighbour is exchanged for another. Zero selects 1 min.
	RotateInterval time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.Readers, defaultReaders)
	setDefault(&c.Neighbours, defaultNeighbours)
	setDefault(&c.MinReplies, defaultMinReplies)
	setDefault(&c.DigestInterval, defaultDigestInterval)
	setDefault(&c.SettleTime, defaultSettleTime)
	setDefault(&c.MaxSettleTime, defaultMaxSettleTime)
	setDefault(&c.ReplyTimeout, defaultReplyTimeout)
	setDefault(&c.ListTimeout, defaultListTimeout)
	setDefault(&c.PauseThreshold, defaultPauseThreshold)
	setDefault(&c.PeerTimeout, defaultPeerTimeout)
	setDefault(&c.FetchTimeout, defaultFetchTimeout)
	setDefault(&c.ReaderTimeout, defaultReaderTimeout)
	setDefault(&c.RetryInterval, defaultRetryInterval)
	setDefault(&c.RotateInterval, defaultRotateInterval)
	return c
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
