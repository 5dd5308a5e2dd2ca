package registry

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Target is a service that a route sends new flows to.
type Target struct {
	Service string `msgpack:"service"`
	// Weight is the share of new flows, relative to the other targets; at least 1.
	Weight uint32 `msgpack:"weight"`
}

// Service holds the settings of a service. The zero value sets no limit.
type Service struct {
	// MaxFlows is the maximum number of flows of one upstream. 0 means no limit.
	MaxFlows int `msgpack:"flows"`
	// ColdRate is the number of openings per second that a cold upstream can serve. 0
	// means no limit.
	ColdRate float64 `msgpack:"coldrate,omitempty"`
	// Listens is true when each upstream accepts connections for health checks while it
	// runs, so that a refused connection shows that it does not.
	Listens bool `msgpack:"listens,omitempty"`
}

// Route maps an address to the services that receive its flows.
type Route struct {
	Name    string   `msgpack:"name"`
	Address Endpoint `msgpack:"address"`
	// Targets has at least one entry.
	Targets []Target `msgpack:"targets"`
	// Idempotent is true when callers may repeat the requests of the route.
	Idempotent bool `msgpack:"idempotent"`
	// Timeout is the maximum duration of a request; at most MaxTimeout in routes of a store.
	Timeout time.Duration `msgpack:"timeout"`
	// Objective is the target latency of a request.
	Objective time.Duration `msgpack:"objective"`
	// Priority is 0 for the most important requests.
	Priority int `msgpack:"priority"`
	// Homes are the regions whose upstreams may receive the route's flows. Empty permits all.
	Homes []string `msgpack:"homes,omitempty"`
}

// Allows reports whether the route may send flows to the service.
func (r *Route) Allows(service string) bool {
	for i := range r.Targets {
		if r.Targets[i].Service == service {
			return true
		}
	}
	return false
}

// Service returns the service for a new flow with the given hash. Equal hashes
// select the same service in every process.
func (r *Route) Service(hash uint64) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	var total uint64
	for i := range r.Targets {
		total += uint64(r.Targets[i].Weight)
	}
	at := hash % total
	for i := range r.Targets {
		w := uint64(r.Targets[i].Weight)
		if at < w {
			return r.Targets[i].Service
		}
		at -= w
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Routes is one version of all routes. It is immutable.
type Routes struct {
	// Version grows with each change; at least 1.
	Version uint64 `msgpack:"version"`
	// List has each address at most once; otherwise the last route of an address is used.
	List []Route `msgpack:"routes"`
	// Idle is the idle time after which the state of a flow may be dropped.
	Idle time.Duration `msgpack:"idle"`
	// Services holds the settings of services, by name.
	Services map[string]Service `msgpack:"services"`
}

// Check reports *RoutesError when the version is 0, a route has no targets or a target
// without a name or weight, a name is longer than MaxNameSize or no UTF-8, or a list has more than
// MaxElements. It does not check that addresses are unique.
func (r *Routes) Check() error {
	if r.Version == 0 {
		return &RoutesError{Text: "version is missing"}
	}
	if len(r.List) > MaxElements || len(r.Services) > MaxElements {
		return &RoutesError{Text: "too many routes or services"}
	}
	for name := range r.Services {
		if !validName(name) {
			return &RoutesError{Text: "name of a service is too long or no UTF-8"}
		}
	}
	for i := range r.List {
		if err := r.List[i].check(); err != nil {
			return err
		}
	}
	return nil
}

func (r *Route) check() error {
	if len(r.Targets) == 0 {
		return &RoutesError{Route: r.Name, Text: "route has no service"}
	}
	if len(r.Targets) > MaxElements || len(r.Homes) > MaxElements {
		return &RoutesError{Route: r.Name, Text: "too many services or homes"}
	}
	for _, t := range r.Targets {
		if t.Service == "" || t.Weight == 0 {
			return &RoutesError{Route: r.Name, Text: "service has no name or a weight of 0"}
		}
		if !validName(t.Service) {
			return &RoutesError{Route: r.Name, Text: "name of a service is too long or no UTF-8"}
		}
	}
	invalid := func(home string) bool { return !validName(home) }
	if invalid(r.Name) || slices.ContainsFunc(r.Homes, invalid) {
		return &RoutesError{Route: r.Name, Text: "name of the route or of a home is too long or no UTF-8"}
	}
	return nil
}

// RoutesError reports routes that cannot be used.
type RoutesError struct {
	// Route is the name of the route. Empty when the fault concerns all routes.
	Route string
	Text  string
}

// Error returns the name of the route, shortened to MaxNameSize characters, and the fault.
func (e *RoutesError) Error() string {
	if e.Route == "" {
		return "routes: " + e.Text
	}
	return fmt.Sprintf("route %.*q: %s", MaxNameSize, e.Route, e.Text)
}

// ServiceHash identifies a service in forwarded datagrams.
type ServiceHash uint32

// HashService returns the hash of a service's name.
func HashService(name string) ServiceHash {
	return ServiceHash(xxhash.Sum64String(name))
}
