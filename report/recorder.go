package report

import (
	"encoding/json"
	"slices"
	"sync"
	"time"
)

// Recorder collects the Snapshot of one process. It implements expvar.Var and is
// safe for concurrent use; each service has its own lock.
type Recorder struct {
	process string
	started time.Time

	mu       sync.RWMutex
	services map[string]*ServiceRecorder
}

// NewRecorder returns a Recorder for a process that started at started.
func NewRecorder(process string, started time.Time) *Recorder {
	return &Recorder{process: process, started: started, services: make(map[string]*ServiceRecorder)}
}

// Service returns the recorder of a service, which it creates on the first call for a name.
func (r *Recorder) Service(name string) *ServiceRecorder {
	r.mu.RLock()
	s, ok := r.services[name]
	r.mu.RUnlock()
	if ok {
		return s
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.services[name]; ok {
		return s
	}
	s = &ServiceRecorder{service: Service{Name: name}}
	r.services[name] = s
	return s
}

// Snapshot returns the current counters, with services ordered by name.
func (r *Recorder) Snapshot() Snapshot {
	r.mu.RLock()
	defer r.mu.RUnlock()
	s := Snapshot{Process: r.process, Started: r.started}
	for _, name := range sortedNames(r.services) {
		s.Services = append(s.Services, r.services[name].snapshot())
	}
	return s
}

// String implements expvar.Var.
func (r *Recorder) String() string {
	b, err := json.Marshal(r.Snapshot())
	if err != nil {
		return "null"
	}
	return string(b)
}

// ServiceRecorder collects the counters of one service. It is safe for concurrent use.
type ServiceRecorder struct {
	mu      sync.Mutex
	service Service
}

// Opened counts an accepted flow. visits is the number of sidecars that handled
// its opening, and wait how long the opening waited for a slot.
func (s *ServiceRecorder) Opened(visits int, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service.Opened++
	s.service.Hops.Record(int64(visits))
	s.service.Waits.RecordTime(wait)
}

// Broken counts a flow that ended although neither side had closed it.
func (s *ServiceRecorder) Broken() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service.Broken++
}

// Answered counts a request whose complete answer was sent after took.
func (s *ServiceRecorder) Answered(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service.Answered++
	s.service.Latency.RecordTime(took)
}

// Failed counts a request that ended without a complete answer.
func (s *ServiceRecorder) Failed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service.Failed++
}

// Refused counts a refusal with the given reason.
func (s *ServiceRecorder) Refused(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.service.Refused, func(r Refusal) bool { return r.Reason == reason })
	if i < 0 {
		s.service.Refused = append(s.service.Refused, Refusal{Reason: reason, Count: 1})
		return
	}
	s.service.Refused[i].Count++
}

// SetObjectives replaces the objectives with those of the bundle in force.
func (s *ServiceRecorder) SetObjectives(objectives []Objective) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service.Objectives = slices.Clone(objectives)
}

// SetUpstream sets the current load of the upstream with the name u.Name.
func (s *ServiceRecorder) SetUpstream(u Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.service.Upstreams, func(o Upstream) bool { return o.Name == u.Name })
	if i < 0 {
		s.service.Upstreams = append(s.service.Upstreams, u)
		return
	}
	s.service.Upstreams[i] = u
}

// snapshot returns an independent copy of the counters.
func (s *ServiceRecorder) snapshot() Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.service
	c.Objectives = slices.Clone(c.Objectives)
	c.Refused = slices.Clone(c.Refused)
	c.Upstreams = slices.Clone(c.Upstreams)
	c.Latency = c.Latency.Clone()
	c.Waits = c.Waits.Clone()
	c.Hops = c.Hops.Clone()
	return c
}

func sortedNames(services map[string]*ServiceRecorder) []string {
	names := make([]string, 0, len(services))
	for name := range services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
