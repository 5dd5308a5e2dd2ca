package report

import (
	"encoding/json"
	"time"
)

// Name is the expvar name under which a process publishes its Snapshot.
const Name = "corianderbay"

// Snapshot holds the counters of one process since its start. Each event is
// counted by exactly one process: the one that decided on it or observed it.
// Decoding a Snapshot from JSON checks its invariants.
type Snapshot struct {
	// Process is the name of the process, unique among running processes.
	Process string `json:"process"`
	// Started is when the process started, with all counters at zero.
	Started time.Time `json:"started"`
	// Services are unique by name.
	Services []Service `json:"services"`
}

// Service holds the counters of one service.
type Service struct {
	Name string `json:"name"`
	// Objectives are those of the bundle in force, unique by name.
	Objectives []Objective `json:"objectives,omitempty"`
	// Opened counts accepted flows.
	Opened uint64 `json:"opened"`
	// Broken counts flows that ended although neither side had closed them.
	Broken uint64 `json:"broken"`
	// Answered counts requests with a complete answer.
	Answered uint64 `json:"answered"`
	// Failed counts requests that ended without a complete answer, except refused ones.
	Failed uint64 `json:"failed"`
	// Refused is unique by reason.
	Refused []Refusal `json:"refused,omitempty"`
	// Latency holds the times to the complete answer in microseconds.
	Latency Histogram `json:"latency"`
	// Waits holds the times that openings waited for a slot in microseconds.
	Waits Histogram `json:"waits"`
	// Hops holds the numbers of sidecars that handled the opening of a flow.
	Hops Histogram `json:"hops"`
	// Upstreams are unique by name. A sidecar publishes only its own upstream.
	Upstreams []Upstream `json:"upstreams,omitempty"`
}

// Refusal is the number of refusals with one reason.
type Refusal struct {
	Reason string `json:"reason"`
	Count  uint64 `json:"count"`
}

// Upstream is the current load of one upstream.
type Upstream struct {
	Name string `json:"name"`
	// Slots is at least 1.
	Slots int `json:"slots"`
	// Busy is the number of slots in use, at least 0.
	Busy int `json:"busy"`
	// Queue is the number of waiting requests, at least 0.
	Queue int `json:"queue"`
	// Connections is the number of flows that the upstream holds, at least 0.
	Connections int `json:"connections"`
	// Weight is the relative share of new flows, at least 1.
	Weight int `json:"weight"`
	// Leaving is true for an upstream that takes no new flows.
	Leaving bool `json:"leaving,omitempty"`
}

// Check returns a *SnapshotError if the snapshot violates an invariant.
func (s Snapshot) Check() error {
	if s.Process == "" {
		return &SnapshotError{Field: "process"}
	}
	if s.Started.IsZero() {
		return &SnapshotError{Field: "started"}
	}
	names := make(map[string]bool, len(s.Services))
	for _, service := range s.Services {
		if service.Name == "" || names[service.Name] {
			return &SnapshotError{Field: "services", Value: service.Name}
		}
		names[service.Name] = true
		if err := service.check(); err != nil {
			return err
		}
	}
	return nil
}

func (s Service) check() error {
	for _, o := range s.Objectives {
		if err := o.check(); err != nil {
			return err
		}
	}
	for _, u := range s.Upstreams {
		if u.Name == "" || u.Slots < 1 || u.Busy < 0 || u.Queue < 0 || u.Connections < 0 || u.Weight < 1 {
			return &SnapshotError{Field: "upstreams", Value: u.Name}
		}
	}
	return nil
}

// UnmarshalJSON implements json.Unmarshaler. It returns a *SnapshotError if the
// decoded snapshot violates an invariant.
func (s *Snapshot) UnmarshalJSON(b []byte) error {
	type plain Snapshot
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	if err := Snapshot(p).Check(); err != nil {
		return err
	}
	*s = Snapshot(p)
	return nil
}
