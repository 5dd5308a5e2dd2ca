package report

import (
	"cmp"
	"slices"
)

// SpreadRow is how evenly one service's load lies over its upstreams.
type SpreadRow struct {
	Service string `json:"service"`
	// Upstreams counts those that take new flows in the latest round.
	Upstreams int `json:"upstreams"`
	// Connections and Busy are the maximum over the mean for each weight, the
	// mean over all rounds and the worst.
	Connections Imbalance `json:"connections"`
	Busy        Imbalance `json:"busy"`
	// Opened, Broken and Refused were counted during the report; with one
	// sample, since the processes started.
	Opened  uint64    `json:"opened"`
	Broken  uint64    `json:"broken"`
	Refused []Refusal `json:"refused"`
	// Wait50 and Wait99 are quantiles of the waits in microseconds.
	Wait50 int64 `json:"wait50"`
	Wait99 int64 `json:"wait99"`
	// Hops is the mean and Hops99 the quantile of the sidecars that handled an opening.
	Hops   float64 `json:"hops"`
	Hops99 int64   `json:"hops99"`
}

// Imbalance is the maximum over the mean; 1 is even, 0 is no load at all.
type Imbalance struct {
	Mean  float64 `json:"mean"`
	Worst float64 `json:"worst"`
}

// spread gathers rounds. The zero value is empty.
type spread struct {
	last     map[string]Snapshot // by process
	services map[string]*serviceSpread
}

// serviceSpread is what was gathered of one service.
type serviceSpread struct {
	upstreams         int
	connections, busy []float64 // one value a round with load
	row               SpreadRow
	waits, hops       Histogram
}

// add takes the next round.
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

// reset forgets what was counted in the first of several rounds: it belongs to
// the time before the report.
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

// service returns the counters of a service; zero when there are none.
func (s Snapshot) service(name string) Service {
	for _, service := range s.Services {
		if service.Name == name {
			return service
		}
	}
	return Service{}
}

// addCounts adds what a process counted since earlier.
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

// addImbalances adds the imbalance of one round.
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

// imbalance returns the maximum over the mean; 0 when there is no load.
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

// rows returns the rows in the order of the services' names.
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
	row.Wait50 = s.waits.Quantile(50)
	row.Wait99 = s.waits.Quantile(99)
	row.Hops = s.hops.Mean()
	row.Hops99 = s.hops.Quantile(99)
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
