package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/corianderbay/corianderbay/timer"
	"github.com/sourcegraph/conc"
)

// flushTimeout bounds how long Close waits for a reader that has stalled.
const flushTimeout = 200 * time.Millisecond

// Writer hands lines to another writer without ever waiting for it: what does
// not fit into its buffer is left out and counted. It is safe for concurrent use.
type Writer struct {
	w       io.Writer
	timer   *timer.Service
	lines   chan []byte
	dropped atomic.Uint64
	wg      conc.WaitGroup

	mu     sync.RWMutex
	closed bool
}

// NewWriter returns a Writer that keeps up to n lines for w. The caller closes it.
func NewWriter(w io.Writer, n int, t *timer.Service) *Writer {
	b := &Writer{w: w, timer: t, lines: make(chan []byte, n)}
	b.wg.Go(b.run)
	return b
}

// Write takes a copy of one line. It never fails and never waits.
func (b *Writer) Write(line []byte) (int, error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if b.closed {
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: Close flushes.
func (b *Writer) Sync() error { return nil }

// Dropped returns how many lines were left out.
func (b *Writer) Dropped() uint64 { return b.dropped.Load() }

// Close writes what is kept, unless the other writer stalls.
func (b *Writer) Close() {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return
	}
	b.closed = true
	close(b.lines)
	b.mu.Unlock()
	done := make(chan struct{})
	var wg conc.WaitGroup
	wg.Go(func() {
		b.wg.Wait()
		close(done)
	})
	sub := b.timer.After(flushTimeout)
	defer sub.Stop()
	select {
	case <-done:
	case <-sub.C:
	}
}

func (b *Writer) run() {
	for line := range b.lines {
		if _, err := b.w.Write(line); err != nil {
			b.dropped.Add(1)
		}
	}
}
