package membership

import (
	"fmt"
	"time"
	"unicode/utf8"

	"github.com/corianderbay/corianderbay/registry"
)

// Role is the function of a process.
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

// Load is a sidecar's report of the load of its upstream.
type Load struct {
	// Flows is the number of flows that are open or opening.
	Flows int `msgpack:"f,omitempty"`
	// Active is the number of requests that wait for an answer.
	Active int `msgpack:"a,omitempty"`
	// Busy is the mean of Active over the last second, in thousandths.
	Busy int `msgpack:"b,omitempty"`
	// Silent is true when the upstream has not reacted to delivered packets.
	Silent bool `msgpack:"s,omitempty"`
	// Refusing is true when the upstream recently returned opening packets.
	Refusing bool `msgpack:"r,omitempty"`
	// Failing is true when the upstream resets requests or does not answer them.
	Failing bool `msgpack:"e,omitempty"`
	// Ended is true when the upstream has ended and holds no flow. It is only valid in
	// heartbeats of sidecars that are stopping.
	Ended bool `msgpack:"z,omitempty"`
	// Work is the mean time in tenths of a millisecond for which a request occupies a slot
	// of the upstream; 0 when it is not known.
	Work int `msgpack:"w,omitempty"`
	// Window is the maximum number of concurrent requests while the upstream ramps up; 0
	// when there is no such limit.
	Window int `msgpack:"c,omitempty"`
}

// Ingress is a balancer's report of its link to the routers. The zero value means that the
// link is not known.
type Ingress struct {
	// Link is the capacity of the link in kbit/s; 0 when it is not known.
	Link int `msgpack:"k,omitempty"`
	// Traffic is the mean traffic over about a second in kbit/s, of the direction with more.
	Traffic int `msgpack:"t,omitempty"`
	// Standby is true when the balancer keeps itself out of the rotation of the routers.
	Standby bool `msgpack:"h,omitempty"`
}

// UsedPercent returns the used part of the link in percent; 0 when the link is not known.
func (g Ingress) UsedPercent() int {
	if g.Link == 0 {
		return 0
	}
	return 100 * g.Traffic / g.Link
}

// Versions identifies the routes and upstreams that a process has.
type Versions struct {
	// Version is the version of the routes. 0 before the first.
	Version uint64
	// State is the store state that the upstreams reflect. Zero before the first.
	State registry.State
	// FormerHash is the hash of the records from before the era; 0 for none.
	FormerHash uint32
}

// Heartbeat is the periodic message of a process about itself.
type Heartbeat struct {
	Role       Role   `msgpack:"r,omitempty"`
	DataCentre string `msgpack:"d,omitempty"`
	// Incarnation differs after each start of the process.
	Incarnation uint32 `msgpack:"i,omitempty"`
	// Sequence grows with each heartbeat of an incarnation, so that a heartbeat that is
	// delayed or relayed does not replace a newer one.
	Sequence uint32 `msgpack:"q,omitempty"`
	// Version and State identify the routes and upstreams of the sender, as in Versions.
	Version uint64         `msgpack:"v,omitempty"`
	State   registry.State `msgpack:"n,omitempty"`
	// FormerHash is the hash of the sender's records from before the era of State; 0 for none.
	FormerHash uint32 `msgpack:"o,omitempty"`
	// StoreAge is the time since the newest answer of the store to any process that the sender has a report of.
	StoreAge time.Duration `msgpack:"a,omitempty"`
	// Reading is true when the store answered the sender itself within MaxStoreAge.
	Reading bool `msgpack:"g,omitempty"`
	// Stopping is true when the process is about to stop.
	Stopping bool `msgpack:"s,omitempty"`
	// Load is only valid in heartbeats of sidecars.
	Load Load `msgpack:"l,omitempty"`
	// Balancers lists the balancers that the sender considers alive: those of the receiver's
	// data centre, and the delegates of the others. It is empty in most heartbeats.
	Balancers []registry.Host `msgpack:"b,omitempty"`
	// Unlisted lists live sidecars of a balancer whose upstreams are not in the list of upstreams.
	Unlisted []registry.Host `msgpack:"u,omitempty"`
	// Lost lists sidecars of a balancer's data centre whose heartbeats stopped.
	Lost []registry.Host `msgpack:"x,omitempty"`
	// Placed is the number of flows that a balancer placed in the last second.
	Placed int `msgpack:"p,omitempty"`
	// Ingress is only valid in heartbeats of balancers. Digests do not include it, since
	// only the balancers of the data centre need it.
	Ingress Ingress `msgpack:"j,omitempty"`
	// Lossy is true when the sender misses so many heartbeats that others may be alive
	// although it does not receive them.
	Lossy bool `msgpack:"y,omitempty"`
	// Format is the version in which the heartbeat was received, or in which its sender was
	// received by the process that reports it. Load.Work, Load.Window, Placed, Lossy and Ingress are
	// unknown unless it is at least Format2. 0 when the heartbeat was not received.
	Format Format `msgpack:"-"`
}

// WithFormat returns a copy of the heartbeat with only the fields of a version.
func (b Heartbeat) WithFormat(f Format) Heartbeat {
	b.Format = f
	if f < Format2 {
		b.Load.Work, b.Load.Window, b.Placed, b.Lossy = 0, 0, 0, false
		b.Ingress = Ingress{}
	}
	return b
}

// laterFields reports whether the heartbeat has fields that version 1 does not have.
func (b *Heartbeat) laterFields() bool {
	return b.Load.Work != 0 || b.Load.Window != 0 || b.Placed != 0 || b.Lossy || b.Ingress != Ingress{}
}

// Check reports *HeartbeatError when the heartbeat is invalid.
func (b *Heartbeat) Check() error {
	if b.Role != Balancer && b.Role != Sidecar {
		return &HeartbeatError{Text: "unknown role"}
	}
	if err := checkDataCentre(b.DataCentre); err != nil {
		return err
	}
	if b.StoreAge < 0 || b.Load.Flows < 0 || b.Load.Active < 0 || b.Load.Busy < 0 {
		return &HeartbeatError{Text: "negative store age or load"}
	}
	if b.Load.Work < 0 || b.Load.Window < 0 || b.Placed < 0 || b.Ingress.Link < 0 || b.Ingress.Traffic < 0 {
		return &HeartbeatError{Text: "negative work, window, number of placed flows, link or traffic"}
	}
	if b.Format == Format1 && b.laterFields() {
		return &HeartbeatError{Text: "field of a later version"}
	}
	return nil
}

// checkDataCentre reports *HeartbeatError when the name of a data centre is too long or no UTF-8.
func checkDataCentre(name string) error {
	if len(name) > registry.MaxNameSize || !utf8.ValidString(name) {
		return &HeartbeatError{Text: "data centre has no valid name"}
	}
	return nil
}

// HeartbeatError reports an invalid heartbeat or digest.
type HeartbeatError struct {
	Text string
}

// Error returns the fault.
func (e *HeartbeatError) Error() string {
	return fmt.Sprintf("heartbeat: %s", e.Text)
}
