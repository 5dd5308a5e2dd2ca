package report

import (
	"context"
	"io"
	"time"
)

// Burn samples the processes and writes the burn rates of their objectives to w.
// It returns a *ConfigError for a setting out of range, a *NoProcessError if no
// process responded, a *FileError if a file of cfg cannot be read or written, and
// the error of ctx if it is done first.
func Burn(ctx context.Context, cfg Config, w io.Writer) error {
	if err := cfg.Check(); err != nil {
		return err
	}
	cfg = cfg.withDefaults()
	var h History
	if err := h.load(cfg.SampleFile); err != nil {
		return err
	}
	out := burnOutput{Missing: []string{}}
	series := newPlotSeries()
	var added []Sample
	err := collect(ctx, cfg, func(r Round) {
		for _, s := range r.Snapshots {
			sample := NewSample(s, r.At)
			h.Add(sample)
			added = append(added, sample)
		}
		out.Missing = errorMessages(r.Missing)
		series.addBurns(r.At, h.Burns())
	})
	if err != nil {
		return err
	}
	if err := appendSamples(cfg.SampleFile, added); err != nil {
		return err
	}
	out.Burns = h.Burns()
	if err := series.draw(cfg.PlotFile, "Burn rate over the shortest window", "burn"); err != nil {
		return err
	}
	return out.write(w, cfg.JSON)
}

// Spread samples the processes and writes how evenly the load is distributed over
// the upstreams to w. It returns the same errors as Burn.
func Spread(ctx context.Context, cfg Config, w io.Writer) error {
	if err := cfg.Check(); err != nil {
		return err
	}
	cfg = cfg.withDefaults()
	var s spread
	out := spreadOutput{Missing: []string{}}
	series := newPlotSeries()
	rounds := 0
	err := collect(ctx, cfg, func(r Round) {
		s.add(r)
		if rounds == 0 && cfg.Samples > 1 {
			s.reset()
		}
		rounds++
		out.Missing = errorMessages(r.Missing)
		series.addSpread(r.At, s.services)
	})
	if err != nil {
		return err
	}
	out.Services = s.rows()
	if err := series.draw(cfg.PlotFile, "Connections, ratio of maximum to mean", "max/mean"); err != nil {
		return err
	}
	return out.write(w, cfg.JSON)
}

// addBurns adds the burn rates over the shortest window as points at the given time.
func (l *plotSeries) addBurns(at time.Time, burns []BurnRow) {
	shortest := Windows()[0].Name
	for _, b := range burns {
		if b.Window == shortest {
			l.add(b.Service+" "+b.Objective, at, b.Short)
		}
	}
}

// addSpread adds the latest imbalance of each service as a point at the given time.
func (l *plotSeries) addSpread(at time.Time, services map[string]*serviceSpread) {
	for name, s := range services {
		if n := len(s.connections); n > 0 {
			l.add(name, at, s.connections[n-1])
		}
	}
}

func errorMessages(errs []error) []string {
	m := make([]string, 0, len(errs))
	for _, err := range errs {
		m = append(m, err.Error())
	}
	return m
}
