package report

import (
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// plotSeries holds named time series.
type plotSeries struct {
	first  time.Time // time of the first point of any series
	points map[string]plotter.XYs
}

func newPlotSeries() *plotSeries {
	return &plotSeries{points: make(map[string]plotter.XYs)}
}

// add appends a point to a series. No point may be earlier than the first one added.
func (l *plotSeries) add(name string, at time.Time, value float64) {
	if l.first.IsZero() {
		l.first = at
	}
	l.points[name] = append(l.points[name], plotter.XY{X: at.Sub(l.first).Seconds(), Y: value})
}

// draw plots the series into a PNG or SVG file. With an empty path it does nothing.
func (l *plotSeries) draw(path, title, unit string) error {
	if path == "" {
		return nil
	}
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds since " + l.first.UTC().Format(time.DateTime) + " UTC"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	if err := l.addTo(p); err != nil {
		return &FileError{Path: path, cause: err}
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return &FileError{Path: path, cause: err}
	}
	return nil
}

func (l *plotSeries) addTo(p *plot.Plot) error {
	for i, name := range l.names() {
		line, points, err := plotter.NewLinePoints(l.points[name])
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		points.Color = plotutil.Color(i)
		p.Add(line, points)
		p.Legend.Add(name, line)
	}
	p.Legend.Top = true
	return nil
}

func (l *plotSeries) names() []string {
	names := make([]string, 0, len(l.points))
	for name := range l.points {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
