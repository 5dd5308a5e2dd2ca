package registry

import "time"

// Upstream is one incarnation of an upstream as it described itself.
type Upstream struct {
	ID      string `msgpack:"id"`
	Service string `msgpack:"service"`
	// Address is where the upstream's health endpoint answers. Its host is also that of its sidecar.
	Address    Endpoint `msgpack:"address"`
	DataCentre string   `msgpack:"datacentre"`
	// Release is the version of the upstream's software.
	Release string `msgpack:"release"`
	// Slots is how many requests it works on at the same time; at least 1.
	Slots int `msgpack:"slots"`
	// Draining is true when it takes no new flows.
	Draining bool `msgpack:"draining"`
	// Warmup is for how much longer it works slowly after its start.
	Warmup time.Duration `msgpack:"warmup"`
	// Born is the Unix time in milliseconds of its start, by its own clock. 0 when it does not say.
	Born int64 `msgpack:"born"`
}

// Change is one key of the store as of a revision: an upstream, or that there is none.
type Change struct {
	Key string `msgpack:"key"`
	// Revision is within the era of the update.
	Revision uint64 `msgpack:"revision"`
	// Upstream is nil when the key was removed or names no usable upstream.
	Upstream *Upstream `msgpack:"upstream"`
}

// Update is what one read, one watch or one peer tells.
type Update struct {
	// Routes is nil when the update says nothing of routes.
	Routes *Routes `msgpack:"routes"`
	// State is the state of the store that the changes lead to. Zero when the update says nothing of upstreams.
	State State `msgpack:"state"`
	// Whole is true when keys that Changes lacks do not exist at State. Otherwise Changes
	// holds what changed after From.
	Whole bool `msgpack:"whole"`
	// From is the state that Changes follow on. It means nothing when Whole is true.
	From    State    `msgpack:"from"`
	Changes []Change `msgpack:"changes"`
}

// Check reports *RoutesError when the routes cannot be used.
func (u *Update) Check() error {
	if u.Routes == nil {
		return nil
	}
	return u.Routes.Check()
}
