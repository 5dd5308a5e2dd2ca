package report

import (
	"cmp"
	"slices"
)

// SpreadRow describes how evenly the load of one service is distributed over its upstreams.
type SpreadRow struct {
	Service string `json:"service"`
	// Upstreams is the number of upstreams that accept new flows in the latest round.
	Upstreams int `json:"upstreams"`
	// Connections is the imbalance of flows relative to the weights, and Busy the
	// imbalance of the fraction of slots in use.
	Connections Imbalance `json:"connections"`
	Busy        Imbalance `json:"busy"`
	// Opened, Broken and Refused are counted from the first to the last sample, or
	// since the processes started if there is only one sample.
	Opened  uint64    `json:"opened"`
	Broken  uint64    `json:"broken"`
	Refused []Refusal `json:"refused"`
	// WaitP50 and WaitP99 are percentiles of the waits for a slot, in microseconds.
	WaitP50 int64 `json:"wait50"`
	WaitP99 int64 `json:"wait99"`
	// Hops is the mean, and HopsP99 the 99th percentile, of the number of sidecars
	// that handled an opening.
	Hops    float64 `json:"hops"`
	HopsP99 int64   `json:"hops99"`
}

// Imbalance is the ratio of the maximum to the mean over upstreams, as the mean
// and the worst of all rounds with load. 1 is an even distribution, 0 no load.
type Imbalance struct {
	Mean  float64 `json:"mean"`
	Worst float64 `json:"worst"`
}

// spread accumulates rounds. The zero value is empty.
type spread struct {
	last     map[string]Snapshot // by process
	services map[string]*serviceSpread
}

// serviceSpread accumulates the data of one service.
type serviceSpread struct {
	upstreams         int
	connections, busy []float64 // one value per round with load
	row               SpreadRow
	waits, hops       Histogram
}

// add adds the next round.
func (s *spread) add(r Round) {
	if s.last == nil {
		s.last = make(map[string]Snapshot)
		s.services = make(map[string]*serviceSpread)
	}
	upstreams := make(map[string][]Upstream)
	for _, snapshot := range r.Snapshots {
		before, ok := s.last[snapshot.Process]
		restarted := ok && !before.Started.Equal(snapshot.Started)
		for _, service := range snapshot.Services {
			earlier := before.service(service.Name)
			if restarted {
				earlier = Service{}
			}
			s.service(service.Name).addCounts(service, earlier)
			upstreams[service.Name] = append(upstreams[service.Name], service.Upstreams...)
		}
		s.last[snapshot.Process] = snapshot
	}
	for name, u := range upstreams {
		s.service(name).addImbalances(u)
	}
}

// reset discards the counts of the first of several rounds, which belong to the
// time before the report.
func (s *spread) reset() {
	for _, service := range s.services {
		service.row = SpreadRow{}
		service.waits = Histogram{}
		service.hops = Histogram{}
	}
}

func (s *spread) service(name string) *serviceSpread {
	service, ok := s.services[name]
	if !ok {
		service = &serviceSpread{}
		s.services[name] = service
	}
	return service
}

// service returns the counters of a service; zero if there are none.
func (s Snapshot) service(name string) Service {
	for _, service := range s.Services {
		if service.Name == name {
			return service
		}
	}
	return Service{}
}

// addCounts adds what one process counted since earlier.
func (s *serviceSpread) addCounts(now, earlier Service) {
	s.row.Opened += delta(now.Opened, earlier.Opened)
	s.row.Broken += delta(now.Broken, earlier.Broken)
	for _, r := range now.Refused {
		s.addRefusals(r.Reason, delta(r.Count, earlier.refused(r.Reason)))
	}
	s.waits.Merge(now.Waits.Since(earlier.Waits))
	s.hops.Merge(now.Hops.Since(earlier.Hops))
}

func (s Service) refused(reason string) uint64 {
	for _, r := range s.Refused {
		if r.Reason == reason {
			return r.Count
		}
	}
	return 0
}

func (s *serviceSpread) addRefusals(reason string, n uint64) {
	for i := range s.row.Refused {
		if s.row.Refused[i].Reason == reason {
			s.row.Refused[i].Count += n
			return
		}
	}
	s.row.Refused = append(s.row.Refused, Refusal{Reason: reason, Count: n})
}

// addImbalances adds the imbalances of one round.
func (s *serviceSpread) addImbalances(upstreams []Upstream) {
	upstreams = slices.DeleteFunc(upstreams, func(u Upstream) bool { return u.Leaving })
	s.upstreams = len(upstreams)
	connections := imbalance(upstreams, func(u Upstream) float64 {
		return float64(u.Connections) / float64(u.Weight)
	})
	busy := imbalance(upstreams, func(u Upstream) float64 {
		return float64(u.Busy) / float64(u.Slots)
	})
	if connections > 0 {
		s.connections = append(s.connections, connections)
	}
	if busy > 0 {
		s.busy = append(s.busy, busy)
	}
}

// imbalance returns the ratio of the maximum to the mean load; 0 if there is no load.
func imbalance(upstreams []Upstream, load func(Upstream) float64) float64 {
	highest, sum := 0.0, 0.0
	for _, u := range upstreams {
		highest = max(highest, load(u))
		sum += load(u)
	}
	if sum == 0 {
		return 0
	}
	return highest * float64(len(upstreams)) / sum
}

// rows returns one row per service, ordered by name.
func (s *spread) rows() []SpreadRow {
	rows := make([]SpreadRow, 0, len(s.services))
	for name, service := range s.services {
		rows = append(rows, service.buildRow(name))
	}
	slices.SortFunc(rows, func(a, b SpreadRow) int { return cmp.Compare(a.Service, b.Service) })
	return rows
}

func (s *serviceSpread) buildRow(name string) SpreadRow {
	row := s.row
	row.Service = name
	row.Upstreams = s.upstreams
	row.Connections = newImbalance(s.connections)
	row.Busy = newImbalance(s.busy)
	row.WaitP50 = s.waits.Quantile(50)
	row.WaitP99 = s.waits.Quantile(99)
	row.Hops = s.hops.Mean()
	row.HopsP99 = s.hops.Quantile(99)
	slices.SortFunc(row.Refused, func(a, b Refusal) int { return cmp.Compare(a.Reason, b.Reason) })
	return row
}

func newImbalance(values []float64) Imbalance {
	var i Imbalance
	for _, v := range values {
		i.Mean += v / float64(len(values))
		i.Worst = max(i.Worst, v)
	}
	return i
}
