package report

import (
	"time"

	"github.com/corianderbay/corianderbay/bundle"
)

// Measures of objectives.
const (
	measureFlows   = "flows"
	measureAnswers = "answers"
	measureLatency = "latency"
)

// Objective is a service-level objective of the bundle in force.
type Objective struct {
	Name string `json:"name"`
	// Measure is "flows", "answers" or "latency".
	Measure string `json:"measure"`
	// Target is the ratio of events that must be good, above 0 and below 1.
	Target float64 `json:"target"`
	// Within is the latency threshold of a latency objective, above 0; zero for other measures.
	Within time.Duration `json:"within,omitempty"`
}

// NewObjective returns the published form of an objective of a bundle.
func NewObjective(o bundle.Objective) Objective {
	return Objective{Name: o.Name, Measure: o.Measure, Target: o.Target, Within: o.Within}
}

func (o Objective) check() error {
	switch {
	case o.Name == "":
		return &SnapshotError{Field: "objectives"}
	case o.Target <= 0 || o.Target >= 1:
		return &SnapshotError{Field: "target", Value: o.Name}
	case o.Measure == measureLatency && o.Within <= 0:
		return &SnapshotError{Field: "within", Value: o.Name}
	case o.Measure != measureFlows && o.Measure != measureAnswers && o.Measure != measureLatency:
		return &SnapshotError{Field: "measure", Value: o.Measure}
	}
	return nil
}

// count returns the bad events and all events of the objective.
func (o Objective) count(s Service) Count {
	switch o.Measure {
	case measureFlows:
		return Count{Bad: s.Broken, Total: s.Opened}
	case measureAnswers:
		return Count{Bad: s.Failed, Total: s.Answered + s.Failed}
	}
	total := s.Latency.Count()
	return Count{Bad: total - s.Latency.Within(o.Within), Total: total}
}

// Count is a number of events, and how many of them were bad.
type Count struct {
	Bad   uint64 `json:"bad"`
	Total uint64 `json:"total"`
}

// since returns what was counted after earlier by the same process.
func (c Count) since(earlier Count) Count {
	return Count{Bad: delta(c.Bad, earlier.Bad), Total: delta(c.Total, earlier.Total)}
}

// plus returns the sum of two counts.
func (c Count) plus(other Count) Count {
	return Count{Bad: c.Bad + other.Bad, Total: c.Total + other.Total}
}

// burn returns the burn rate: how many times faster than allowed the error budget
// is spent. Bad may exceed Total, since flows that break may have been opened
// before the window.
func (c Count) burn(target float64) float64 {
	total := max(c.Total, c.Bad)
	if total == 0 {
		return 0
	}
	return float64(c.Bad) / float64(total) / (1 - target)
}

// delta returns the growth of a counter, which restarts from zero with its process.
func delta(now, before uint64) uint64 {
	if now < before {
		return now
	}
	return now - before
}
