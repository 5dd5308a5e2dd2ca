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
	// StartedAt is the Unix time in milliseconds of its start, by its own clock. 0 when it does not say.
	StartedAt int64 `msgpack:"born"`
	// Sequence grows with what the incarnation says of itself.
	Sequence int64 `msgpack:"seq"`
}

// newer reports whether u was said after o by the counts of the upstream itself,
// which no copy of the store turns back.
func (u *Upstream) newer(o *Upstream) bool {
	if u.StartedAt != o.StartedAt {
		return u.StartedAt > o.StartedAt
	}
	return u.Sequence > o.Sequence
}

// alike reports whether both say the same but for what changes all the time.
func (u *Upstream) alike(o *Upstream) bool {
	a, b := *u, *o
	a.Sequence, b.Sequence = 0, 0
	a.Warmup, b.Warmup = 0, 0
	return a == b
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
	// Former is what the sender knew before the era of State began and its list
	// does not have. A store does not send it.
	Former []FormerRecord `msgpack:"former,omitempty"`
}

// Check reports *RoutesError when the routes cannot be used, and *FormerError
// when what is said of an earlier era cannot.
func (u *Update) Check() error {
	for i := range u.Former {
		if err := u.Former[i].Check(); err != nil {
			return err
		}
	}
	if u.Routes == nil {
		return nil
	}
	return u.Routes.Check()
}
