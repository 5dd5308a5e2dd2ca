package report

import (
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/corianderbay/corianderbay/timer"
)

// Config defines which processes a report reads and how it is printed. The zero
// value of a field selects its default.
type Config struct {
	// Addresses are the operator addresses of the processes, as "host:port".
	Addresses []string
	// Interval is the time between two samples, from 100 ms to 1 h. Zero selects 10 s.
	Interval time.Duration
	// Samples is the number of samples, at least 1. Zero selects 1.
	Samples int
	// Timeout is how long a process may take to respond. Zero selects 2 s.
	Timeout time.Duration
	// JSON selects JSON output instead of a table.
	JSON bool
	// PlotFile is the path of a .png or .svg file to draw into. Empty draws none.
	PlotFile string
	// SampleFile is the path of a file of samples that a burn report reads first and
	// appends to, so that windows may be longer than one run. Empty uses no file.
	SampleFile string
	// Client fetches from the processes. Nil selects a new client.
	Client *http.Client
	// Timer is the clock. Nil selects the process clock.
	Timer *timer.Service
}

const (
	defaultInterval = 10 * time.Second
	defaultTimeout  = 2 * time.Second
	minInterval     = 100 * time.Millisecond
)

// Check returns a *ConfigError if a setting is out of range.
func (c Config) Check() error {
	switch {
	case c.Interval != 0 && (c.Interval < minInterval || c.Interval > time.Hour):
		return &ConfigError{Field: "interval", Value: c.Interval.String()}
	case c.Samples < 0:
		return &ConfigError{Field: "samples", Value: strconv.Itoa(c.Samples)}
	case c.Timeout < 0:
		return &ConfigError{Field: "timeout", Value: c.Timeout.String()}
	case c.PlotFile != "" && !slices.Contains(plotKinds(), filepath.Ext(c.PlotFile)):
		return &ConfigError{Field: "plot", Value: c.PlotFile}
	}
	return nil
}

func plotKinds() []string {
	return []string{".png", ".svg"}
}

func (c Config) withDefaults() Config {
	if c.Interval == 0 {
		c.Interval = defaultInterval
	}
	if c.Samples == 0 {
		c.Samples = 1
	}
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	if c.Client == nil {
		c.Client = &http.Client{Timeout: c.Timeout}
	}
	if c.Timer == nil {
		c.Timer = timer.New(timer.Config{})
	}
	return c
}
