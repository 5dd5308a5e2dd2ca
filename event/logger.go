// Package event defines the numbered events that processes log, and the
// logger that writes them through zap. docs/EVENTS.md lists the same catalogue
// for operators; a test keeps the two equal.
//
// Start with Logger.Emit and Catalogue.
package event

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Config holds the settings of a Logger. The zero value discards every event.
type Config struct {
	// Core receives the entries. Nil discards them.
	Core zapcore.Core
	// Process is the name of the process, written with every entry.
	Process string
}

// Logger writes numbered events. It is safe for concurrent use.
type Logger struct {
	zap     *zap.Logger
	entries map[Number]Entry // read-only after New
	// counts has a counter for each event of the catalogue; the map is read-only after New.
	counts  map[Number]*atomic.Uint64
	omitted func() uint64 // nil if no line is ever omitted
}

// New returns a Logger that writes to cfg.Core.
func New(cfg Config) *Logger {
	core := cfg.Core
	if core == nil {
		core = zapcore.NewNopCore()
	}
	entries := make(map[Number]Entry)
	counts := make(map[Number]*atomic.Uint64)
	for _, e := range Catalogue() {
		entries[e.Number] = e
		counts[e.Number] = new(atomic.Uint64)
	}
	return &Logger{
		zap:     zap.New(core).With(zap.String("process", cfg.Process)),
		entries: entries,
		counts:  counts,
	}
}

// NewJSON returns a Logger that writes events of at least level to w, one JSON
// object per line.
func NewJSON(w zapcore.WriteSyncer, level zapcore.Level, process string) *Logger {
	return New(Config{Core: newJSONCore(w, level), Process: process})
}

// NewSampled is like NewJSON, but writes at most perSecond lines per second for
// each event. Omitted counts the lines beyond that and those that w dropped.
func NewSampled(w *Writer, level zapcore.Level, process string, perSecond int) *Logger {
	sampled := new(atomic.Uint64)
	count := zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			sampled.Add(1)
		}
	})
	core := zapcore.NewSamplerWithOptions(newJSONCore(w, level), time.Second, perSecond, 0, count)
	l := New(Config{Core: core, Process: process})
	l.omitted = func() uint64 { return sampled.Load() + w.Dropped() }
	return l
}

func newJSONCore(w zapcore.WriteSyncer, level zapcore.Level) zapcore.Core {
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.ISO8601TimeEncoder
	return zapcore.NewCore(zapcore.NewJSONEncoder(enc), zapcore.Lock(w), level)
}

// Emit writes the event with its number, its name and the fields.
// An event that is not in the catalogue is written at error level.
func (l *Logger) Emit(n Number, fields ...zap.Field) {
	e, ok := l.entries[n]
	if !ok {
		e = Entry{Number: n, Name: "unknown-event", Level: zapcore.ErrorLevel}
	} else {
		l.counts[n].Add(1)
	}
	ce := l.zap.Check(e.Level, e.Name)
	if ce == nil {
		return
	}
	ce.Write(append([]zap.Field{zap.Int("event", int(n))}, fields...)...)
}

// Enabled reports whether the level of the event is logged, so that callers can
// avoid building its fields.
func (l *Logger) Enabled(n Number) bool {
	e, ok := l.entries[n]
	return !ok || l.zap.Core().Enabled(e.Level)
}

// Count returns how often Emit was called with an event of the catalogue, whether a line was
// written or not.
func (l *Logger) Count(n Number) uint64 {
	c, ok := l.counts[n]
	if !ok {
		return 0
	}
	return c.Load()
}

// Omitted returns the number of lines omitted since the start.
func (l *Logger) Omitted() uint64 {
	if l.omitted == nil {
		return 0
	}
	return l.omitted()
}

// Sync flushes buffered entries.
func (l *Logger) Sync() error {
	return l.zap.Sync()
}
