package report

import (
	"cmp"
	"slices"
	"time"
)

// Sample holds the counts of one process for its objectives at one point in time.
type Sample struct {
	At      time.Time        `json:"at"`
	Process string           `json:"process"`
	Started time.Time        `json:"started"`
	Counts  []ObjectiveCount `json:"counts"`
}

// ObjectiveCount is the count of one objective of one service.
type ObjectiveCount struct {
	Service   string  `json:"service"`
	Objective string  `json:"objective"`
	Target    float64 `json:"target"`
	Count
}

// NewSample returns the sample of a snapshot that was read at now.
func NewSample(s Snapshot, now time.Time) Sample {
	sample := Sample{At: now, Process: s.Process, Started: s.Started}
	for _, service := range s.Services {
		for _, o := range service.Objectives {
			sample.Counts = append(sample.Counts, ObjectiveCount{
				Service:   service.Name,
				Objective: o.Name,
				Target:    o.Target,
				Count:     o.count(service),
			})
		}
	}
	return sample
}

// count returns the count of the objective k; zero if the sample has none.
func (s Sample) count(k objectiveKey) Count {
	for _, c := range s.Counts {
		if c.key() == k {
			return c.Count
		}
	}
	return Count{}
}

func (c ObjectiveCount) key() objectiveKey {
	return objectiveKey{service: c.Service, objective: c.Objective}
}

// objectiveKey identifies one objective of one service.
type objectiveKey struct{ service, objective string }

// increment is what one process counted between two points in time.
type increment struct {
	from, to time.Time // from <= to
	count    Count
}

// History derives the counts over time windows from samples of processes, which
// may start, stop and restart. The zero value is empty. It is not safe for
// concurrent use.
type History struct {
	last       map[string]Sample
	increments map[objectiveKey][]increment
	targets    map[objectiveKey]float64
	latest     time.Time
}

// Add adds the next sample of a process; a sample older than the previous one is
// ignored. The counts of the first sample, or of the first one after a restart,
// are attributed to the time since the start of the process.
func (h *History) Add(s Sample) {
	if h.last == nil {
		h.last = make(map[string]Sample)
		h.increments = make(map[objectiveKey][]increment)
		h.targets = make(map[objectiveKey]float64)
	}
	before, ok := h.last[s.Process]
	if ok && s.At.Before(before.At) {
		return
	}
	from := before.At
	if !ok || !s.Started.Equal(before.Started) {
		before = Sample{}
		from = s.Started
	}
	for _, c := range s.Counts {
		h.targets[c.key()] = c.Target
		p := increment{from: from, to: s.At, count: c.since(before.count(c.key()))}
		h.increments[c.key()] = append(h.increments[c.key()], p)
	}
	h.last[s.Process] = s
	if s.At.After(h.latest) {
		h.latest = s.At
	}
}

// Trim drops data that is older than the longest window.
func (h *History) Trim() {
	windows := Windows()
	oldest := h.latest.Add(-windows[len(windows)-1].Long)
	for k, points := range h.increments {
		h.increments[k] = slices.DeleteFunc(points, func(p increment) bool { return p.to.Before(oldest) })
	}
}

// Burns returns the burn rate of each objective over each window that ends at the
// latest sample, ordered by service, objective and window.
func (h *History) Burns() []BurnRow {
	return h.burnsAt(h.latest)
}

func (h *History) burnsAt(now time.Time) []BurnRow {
	var burns []BurnRow
	for _, k := range h.keys() {
		for _, w := range Windows() {
			burns = append(burns, h.burn(k, w, now))
		}
	}
	return burns
}

func (h *History) keys() []objectiveKey {
	keys := make([]objectiveKey, 0, len(h.increments))
	for k := range h.increments {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b objectiveKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.objective, b.objective))
	})
	return keys
}

func (h *History) burn(k objectiveKey, w Window, now time.Time) BurnRow {
	long, covered := h.sum(k, w.Long, now)
	target := h.targets[k]
	b := BurnRow{
		Service:   k.service,
		Objective: k.objective,
		Target:    target,
		Window:    w.Name,
		Count:     long,
		Long:      long.burn(target),
		Coverage:  covered.Seconds(),
	}
	b.Short = b.Long
	if w.Short > 0 {
		short, _ := h.sum(k, w.Short, now)
		b.Short = short.burn(target)
	}
	b.Alert = covered >= w.MinCoverage && b.Long >= w.Threshold && b.Short >= w.Threshold
	return b
}

// sum returns what was counted within the window of the given length that ends
// at now, and how much of the window the samples cover. An increment that begins
// before the window is not included.
func (h *History) sum(k objectiveKey, length time.Duration, now time.Time) (Count, time.Duration) {
	var sum Count
	first := now
	begin := now.Add(-length)
	for _, p := range h.increments[k] {
		if p.from.Before(begin) || p.to.After(now) {
			continue
		}
		sum = sum.plus(p.count)
		if p.from.Before(first) {
			first = p.from
		}
	}
	return sum, now.Sub(first)
}

// BurnRow holds the burn rate of one objective over one window: how many times
// faster than allowed its error budget is spent. At 1, exactly the budget is spent.
type BurnRow struct {
	Service   string  `json:"service"`
	Objective string  `json:"objective"`
	Target    float64 `json:"target"`
	Window    string  `json:"window"`
	// Long and Short are the burn rates over the two times of the window.
	Long  float64 `json:"long"`
	Short float64 `json:"short"`
	// Coverage is how much of the window the samples cover, in seconds.
	Coverage float64 `json:"seen"`
	Count
	// Alert is true if both burn rates are at or above the threshold and the samples
	// cover enough of the window.
	Alert bool `json:"alert"`
}
