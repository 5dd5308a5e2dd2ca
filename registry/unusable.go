package registry

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// UnusableError reports a part of an update that is out of range.
type UnusableError struct {
	// Part names the part: the key of an upstream, the data centre of an evacuation, or "routes".
	Part  string
	Cause error
}

// Error returns the part and the cause.
func (e *UnusableError) Error() string {
	return fmt.Sprintf("%s: %v", e.Part, e.Cause)
}

// Unwrap returns the cause.
func (e *UnusableError) Unwrap() error { return e.Cause }

// WithoutUnusable returns the update without the parts that are out of range, and an
// error for each of them. An upstream that is out of range counts as removed, as in an
// update of a store, a change without a valid key is left out, and routes count as missing.
func (u Update) WithoutUnusable() (Update, []*UnusableError) {
	if u.Check() == nil {
		return u, nil
	}
	var faults []*UnusableError
	usable := func(part string, err error) bool {
		if err != nil {
			faults = append(faults, &UnusableError{Part: part, Cause: err})
		}
		return err == nil
	}
	before := u
	u.Changes, u.Evacuations, u.Former, u.FormerEvacuations = nil, nil, nil, nil
	for _, c := range before.Changes {
		err := c.Check()
		if !usable(c.Key, err) {
			c.Upstream = nil
		}
		if key := (*KeyError)(nil); errors.As(err, &key) {
			continue
		}
		u.Changes = append(u.Changes, c)
	}
	for _, c := range before.Evacuations {
		if usable(c.DataCentre, c.Check()) {
			u.Evacuations = append(u.Evacuations, c)
		}
	}
	for _, f := range before.Former {
		if usable(f.Key, f.Check()) {
			u.Former = append(u.Former, f)
		}
	}
	for _, f := range before.FormerEvacuations {
		if usable(f.DataCentre, f.Check()) {
			u.FormerEvacuations = append(u.FormerEvacuations, f)
		}
	}
	if u.Routes != nil && !usable("routes", u.Routes.Check()) {
		u.Routes = nil
	}
	return u, faults
}
