package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f}, nil
}

// at returns the seconds since the start.
func (r *record) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", r.at(time.Now()), fmt.Sprintf(format, args...))
}
