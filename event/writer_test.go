package event_test

import (
	"bytes"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/timer"
	"github.com/shoenig/test/must"
	"go.uber.org/zap/zapcore"
)

// TestStalledReaderDoesNotBlockWriter fills a pipe that nobody reads: Write must
// drop lines instead of blocking.
func TestStalledReaderDoesNotBlockWriter(t *testing.T) {
	r, w, err := os.Pipe()
	must.NoError(t, err)
	b := event.NewWriter(w, 10, timer.New(timer.Config{}))
	line := []byte(strings.Repeat("x", 4096) + "\n")
	for range 1000 {
		n, err := b.Write(line)
		must.NoError(t, err)
		must.Eq(t, len(line), n)
	}
	must.Positive(t, b.Dropped())
	// Once the reader resumes, the buffered lines arrive complete.
	read := make(chan []byte)
	go func() {
		all, _ := io.ReadAll(r)
		read <- all
	}()
	b.Close()
	must.NoError(t, w.Close())
	all := <-read
	must.Eq(t, 0, len(all)%len(line))
	must.Eq(t, 1000-int(b.Dropped()), len(all)/len(line))
}

// TestSamplingBoundsLinesPerEvent emits one event more often than its limit per
// second, which must not suppress another event.
func TestSamplingBoundsLinesPerEvent(t *testing.T) {
	var buf bytes.Buffer
	w := event.NewWriter(&buf, 200, timer.New(timer.Config{}))
	log := event.NewSampled(w, zapcore.InfoLevel, "test", 5)
	for range 100 {
		log.Emit(event.PacketDropped)
	}
	log.Emit(event.FlowRefused)
	w.Close()
	must.Eq(t, 100, int(log.Omitted())+strings.Count(buf.String(), "packet-dropped"))
	must.Between(t, 5, strings.Count(buf.String(), "packet-dropped"), 10) // the run may span two seconds
	must.Eq(t, 1, strings.Count(buf.String(), "flow-refused"))
}

// TestCountIncludesOmittedLines guards against counters that miss the events whose lines were
// left out, which are those that come most often.
func TestCountIncludesOmittedLines(t *testing.T) {
	w := event.NewWriter(io.Discard, 200, timer.New(timer.Config{}))
	log := event.NewSampled(w, zapcore.ErrorLevel, "test", 5)
	for range 100 {
		log.Emit(event.EntryUnusable)
	}
	w.Close()
	must.Eq(t, 100, log.Count(event.EntryUnusable))
	must.Eq(t, 0, log.Count(event.DatagramUnusable))
	must.Eq(t, 0, log.Count(0))
}
