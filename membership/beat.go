package membership

import (
	"fmt"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

// Role is what a process does.
type Role uint8

// The roles of processes.
const (
	Balancer Role = 1
	Sidecar  Role = 2
)

// String returns the name of the role.
func (r Role) String() string {
	switch r {
	case Balancer:
		return "balancer"
	case Sidecar:
		return "sidecar"
	}
	return "unknown"
}

// Load is what a sidecar tells of its upstream.
type Load struct {
	// Flows is how many flows are open or opening.
	Flows int `msgpack:"f,omitempty"`
	// Active is how many requests wait for an answer.
	Active int `msgpack:"a,omitempty"`
	// Busy is the mean of Active over the last second, in thousandths.
	Busy int `msgpack:"b,omitempty"`
	// Silent is true when the upstream has not reacted to what was delivered to it.
	Silent bool `msgpack:"s,omitempty"`
	// Refusing is true when the upstream lately returned openings.
	Refusing bool `msgpack:"r,omitempty"`
	// Failing is true when the upstream resets or does not answer requests.
	Failing bool `msgpack:"e,omitempty"`
}

// Versions is what a process has of routes and upstreams.
type Versions struct {
	// Version is that of the routes. 0 before the first.
	Version uint64
	// State is the state of the store that the upstreams stand for. Zero before the first.
	State registry.State
	// FormerHash stands for what is known of the time before the era; 0 for nothing.
	FormerHash uint32
}

// Heartbeat is a heartbeat.
type Heartbeat struct {
	Role       Role   `msgpack:"r,omitempty"`
	DataCentre string `msgpack:"d,omitempty"`
	// Incarnation differs each time the process starts.
	Incarnation uint32 `msgpack:"i,omitempty"`
	// Sequence grows with each beat of an incarnation, so that one that arrives
	// late or by a longer way does not replace a newer one.
	Sequence uint32 `msgpack:"q,omitempty"`
	// Version and State are what the sender has of routes and upstreams.
	Version uint64         `msgpack:"v,omitempty"`
	State   registry.State `msgpack:"n,omitempty"`
	// FormerHash stands for what the sender knows of the time before the era of State; 0 for nothing.
	FormerHash uint32 `msgpack:"o,omitempty"`
	// StoreAge is how long ago the sender, or a process that it heard of, had an answer of the store.
	StoreAge time.Duration `msgpack:"a,omitempty"`
	// Reading is true when the sender itself had an answer of the store within MaxStoreAge.
	Reading bool `msgpack:"g,omitempty"`
	// Stopping is true when the process is about to end.
	Stopping bool `msgpack:"s,omitempty"`
	// Load is valid in beats of sidecars.
	Load Load `msgpack:"l,omitempty"`
	// Balancers lists balancers that the sender believes to be alive: those of the
	// receiver's data centre, and the delegates of the others. It is empty in most beats.
	Balancers []registry.Host `msgpack:"b,omitempty"`
	// Unlisted lists live sidecars that a balancer hears and whose upstreams its list lacks.
	Unlisted []registry.Host `msgpack:"u,omitempty"`
	// Lost lists sidecars of its data centre that a balancer heard once and does not hear any more.
	Lost []registry.Host `msgpack:"x,omitempty"`
}

// Check reports *HeartbeatError when the beat cannot be used.
func (b *Heartbeat) Check() error {
	if b.Role != Balancer && b.Role != Sidecar {
		return &HeartbeatError{Text: "unknown role"}
	}
	if b.StoreAge < 0 || b.Load.Flows < 0 || b.Load.Active < 0 || b.Load.Busy < 0 {
		return &HeartbeatError{Text: "negative number"}
	}
	return nil
}

// HeartbeatError reports a heartbeat with content that makes no sense.
type HeartbeatError struct {
	Text string
}

// Error returns what is wrong.
func (e *HeartbeatError) Error() string {
	return fmt.Sprintf("heartbeat: %s", e.Text)
}
