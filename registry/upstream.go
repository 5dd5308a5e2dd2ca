package registry

import (
	"fmt"
	"time"
)

// Upstream is one incarnation of an upstream, as published by itself. Check reports
// fields that are out of range.
type Upstream struct {
	ID      string `msgpack:"id"`
	Service string `msgpack:"service"`
	// Address is the endpoint of the upstream's health check. Its host is also that of the sidecar.
	Address    Endpoint `msgpack:"address"`
	DataCentre string   `msgpack:"datacentre"`
	// Release is the version of the upstream's software.
	Release string `msgpack:"release"`
	// Slots is the number of requests that it processes concurrently; 1 to MaxSlots.
	Slots int `msgpack:"slots"`
	// Draining is true when it takes no new flows.
	Draining bool `msgpack:"draining"`
	// Warmup is the remaining time of reduced speed after its start; at most MaxWarmup.
	// It may be negative when that time is over.
	Warmup time.Duration `msgpack:"warmup"`
	// StartedAt is the Unix time in milliseconds of its start, by its own clock; at
	// most MaxStartedAt. 0 when not reported.
	StartedAt int64 `msgpack:"born"`
	// Sequence grows with each publication of the incarnation.
	Sequence int64 `msgpack:"seq"`
}

// newer reports whether u was published after o. It compares the upstream's own
// counters, which a restored store does not reset.
func (u *Upstream) newer(o *Upstream) bool {
	if u.StartedAt != o.StartedAt {
		return u.StartedAt > o.StartedAt
	}
	return u.Sequence > o.Sequence
}

// sameContent reports whether both are equal except for Sequence and Warmup, which
// change continually.
func (u *Upstream) sameContent(o *Upstream) bool {
	a, b := *u, *o
	a.Sequence, b.Sequence = 0, 0
	a.Warmup, b.Warmup = 0, 0
	return a == b
}

// Change is the value of one key of the store as of a revision: an upstream or a removal.
type Change struct {
	Key string `msgpack:"key"`
	// Revision is within the era of the update.
	Revision uint64 `msgpack:"revision"`
	// Upstream is nil when the key was removed or its value is unusable.
	Upstream *Upstream `msgpack:"upstream"`
}

// Check reports *KeyError for an invalid key, and *UpstreamError when a field of the upstream
// is out of range.
func (c *Change) Check() error {
	if c.Key == "" || !validName(c.Key) {
		return &KeyError{Key: c.Key}
	}
	if c.Upstream == nil {
		return nil
	}
	return c.Upstream.Check()
}

// KeyError reports a change whose key is empty, longer than MaxNameSize or no UTF-8.
type KeyError struct {
	Key string
}

// Error returns the key, shortened to MaxNameSize characters.
func (e *KeyError) Error() string {
	return fmt.Sprintf("key %.*q is empty, too long or no UTF-8", MaxNameSize, e.Key)
}

// Update is the result of one read or watch of the store, or of a request to a peer.
type Update struct {
	// Routes is nil when the update contains no routes.
	Routes *Routes `msgpack:"routes"`
	// State is the store state after Changes. Zero when the update contains no upstreams and evacuations.
	State State `msgpack:"state"`
	// Whole is true when Changes is the full list at State, so that other keys do not
	// exist. Otherwise Changes holds the changes after From.
	Whole bool `msgpack:"whole"`
	// From is the store state before Changes. It is ignored when Whole is true.
	From    State    `msgpack:"from"`
	Changes []Change `msgpack:"changes"`
	// Evacuations holds the evacuated data centres when Whole is true, and otherwise those
	// whose evacuation changed after From.
	Evacuations []EvacuationChange `msgpack:"evacuations,omitempty"`
	// Former holds the sender's records from before the era of State that the era's list
	// does not supersede. Updates from a store have none.
	Former []FormerRecord `msgpack:"former,omitempty"`
	// FormerEvacuations is the same for evacuations.
	FormerEvacuations []FormerEvacuation `msgpack:"formerevacuations,omitempty"`
}

// Check reports *RoutesError for invalid routes, *KeyError for an invalid key, *UpstreamError for an upstream that is
// out of range, *FormerRecordError for an invalid former record and *EvacuationError for
// an invalid evacuation.
func (u *Update) Check() error {
	for i := range u.Changes {
		if err := u.Changes[i].Check(); err != nil {
			return err
		}
	}
	for i := range u.Former {
		if err := u.Former[i].Check(); err != nil {
			return err
		}
	}
	for i := range u.Evacuations {
		if err := u.Evacuations[i].Check(); err != nil {
			return err
		}
	}
	for i := range u.FormerEvacuations {
		if err := u.FormerEvacuations[i].Check(); err != nil {
			return err
		}
	}
	if u.Routes == nil {
		return nil
	}
	return u.Routes.Check()
}
