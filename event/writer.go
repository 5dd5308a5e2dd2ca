package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/corianderbay/corianderbay/timer"
	"github.com/sourcegraph/conc"
)

// flushTimeout bounds how long Close waits for an underlying writer that is stalled.
const flushTimeout = 200 * time.Millisecond

// Writer writes lines to another writer asynchronously and never blocks on it:
// a line that does not fit into the buffer is dropped and counted. It is safe
// for concurrent use.
type Writer struct {
	w       io.Writer
	timer   *timer.Service
	lines   chan []byte
	dropped atomic.Uint64
	wg      conc.WaitGroup

	mu     sync.RWMutex
	closed bool
}

// NewWriter returns a Writer that buffers up to n lines for w. The caller must
// close it.
func NewWriter(w io.Writer, n int, t *timer.Service) *Writer {
	b := &Writer{w: w, timer: t, lines: make(chan []byte, n)}
	b.wg.Go(b.run)
	return b
}

// Write buffers a copy of one line. It never fails and never blocks.
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

// Sync does nothing; Close flushes the buffer.
func (b *Writer) Sync() error { return nil }

// Dropped returns the number of lines that were dropped or could not be written.
func (b *Writer) Dropped() uint64 { return b.dropped.Load() }

// Close writes the buffered lines and returns once they are written, or after
// flushTimeout if the underlying writer is stalled.
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
