package converge

import (
	"math/rand/v2"
	"time"
)

// TickInterval is the interval at which the caller of Member.Update passes a Tick.
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
	// Name is the name of this process in the instance list.
	Name string
	// DataCentre is the name of the data centre in which the process runs.
	DataCentre string
	// Rand is the source of random choices. The Member must be its only user.
	Rand *rand.Rand
	// Seeds are peers from the settings. The process may dial them even if no instance list contains them.
	Seeds []Peer
	// Readers is the number of processes per data centre that read the platform. Zero selects 3.
	Readers int
	// Neighbours is the number of peers that a process dials. Zero selects 4.
	Neighbours int
	// MinReplies is the number of peers whose reply a process awaits before it becomes ready. Zero selects 3.
	MinReplies int
	// DigestInterval is the time between two digests to a peer. Zero selects 1 s.
	DigestInterval time.Duration
	// SettleTime is the time for which a bundle stays pending. It must be at least
	// twice the time in which a digest reaches all processes. Zero selects 1.5 s.
	SettleTime time.Duration
	// MaxSettleTime bounds the time for which a succession of new bundles can keep
	// any of them from coming into force. Zero selects 4 s.
	MaxSettleTime time.Duration
	// ReplyTimeout is the time after which fewer replies than MinReplies suffice. Zero selects 2 s.
	ReplyTimeout time.Duration
	// ListTimeout is the time for which a process that reaches the platform, but no peer, waits for an
	// instance list before it becomes ready without one. Zero selects 30 s.
	ListTimeout time.Duration
	// PauseThreshold is the gap between ticks above which the process counts as paused. Zero selects 2 s.
	PauseThreshold time.Duration
	// PeerTimeout is the time without a digest after which a connection is closed. Zero selects 3 s.
	PeerTimeout time.Duration
	// FetchTimeout is the time after which a fetch fails. Zero selects 3 s.
	FetchTimeout time.Duration
	// ReaderTimeout is the age of the most recent answer from the platform above which
	// other processes start to read it. Zero selects 10 s.
	ReaderTimeout time.Duration
	// RetryInterval is the mean time between two dials of suspected peers. Zero selects 2 s.
	RetryInterval time.Duration
	// RotateInterval is the mean time after which a random neighbour is replaced. Zero selects 1 min.
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
