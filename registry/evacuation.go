package registry

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// endedEvacuationGrace is how long after the start of an era an evacuation that had ended
// stays ended although the restored list contains it. Operators write its end again
// within about two seconds. It is shorter than eraQuarantine because the entry may
// also be a new one.
const endedEvacuationGrace = 2 * MissingGrace

// EvacuationStatus is the status of a data centre's evacuation in the store.
type EvacuationStatus uint8

// The statuses of an evacuation.
const (
	// EvacuationEnded: the store has no entry for the data centre.
	EvacuationEnded EvacuationStatus = iota
	// EvacuationActive: no flow is opened at the upstreams of the data centre.
	EvacuationActive
	// EvacuationUnreadable: the store has an entry that cannot be decoded. The status
	// before it stands.
	EvacuationUnreadable
)

// EvacuationChange is the evacuation of a data centre as of a revision of the store.
type EvacuationChange struct {
	DataCentre string `msgpack:"datacentre"`
	// Revision is within the era of the update.
	Revision uint64           `msgpack:"revision"`
	Status   EvacuationStatus `msgpack:"status"`
}

// Check reports *EvacuationError when the data centre has no valid name or the status is unknown.
func (c *EvacuationChange) Check() error {
	if c.DataCentre == "" || !validName(c.DataCentre) || c.Status > EvacuationUnreadable {
		return &EvacuationError{DataCentre: c.DataCentre, Status: c.Status}
	}
	return nil
}

// FormerEvacuation is the evacuation of a data centre as it was before an era began.
type FormerEvacuation struct {
	DataCentre string `msgpack:"datacentre"`
	// Changed is the state of the store at which the evacuation began. When Active is
	// false, it is the last state that was read without an entry.
	Changed State `msgpack:"changed"`
	// Active is false when the evacuation had ended before the era.
	Active bool `msgpack:"active"`
	// ValidFor is the remaining part of eraQuarantine; not negative.
	ValidFor time.Duration `msgpack:"valid"`
}

// Check reports *EvacuationError when the data centre has no valid name or ValidFor is negative.
func (f *FormerEvacuation) Check() error {
	if f.DataCentre == "" || !validName(f.DataCentre) || f.ValidFor < 0 {
		return &EvacuationError{DataCentre: f.DataCentre}
	}
	return nil
}

// newer reports whether f is of a later change than o.
func (f *FormerEvacuation) newer(o *FormerEvacuation) bool {
	return f.Changed.After(o.Changed)
}

// EvacuationError reports an invalid EvacuationChange or FormerEvacuation.
type EvacuationError struct {
	DataCentre string
	Status     EvacuationStatus
}

// Error returns the data centre and the possible faults.
func (e *EvacuationError) Error() string {
	return fmt.Sprintf("evacuation of data centre %q has no valid name, an unknown status (%d) or a negative time", e.DataCentre, e.Status)
}

// evacuation is the state of one data centre's entry.
type evacuation struct {
	revision uint64 // of the last change within the era; 0 when the era's store had no entry
	active   bool   // the era's list has the entry
	// afterList is true when the last change came after the first list of the era, so that
	// it cannot be content of the copy that the store was restored from.
	afterList bool
	former    *FormerEvacuation
	// formerUntil is when former is outdated; valid when former is not nil.
	formerUntil time.Duration
}

// applyEvacuation merges the entry of one data centre and reports whether it changed.
func (d *Directory) applyEvacuation(c EvacuationChange) bool {
	e := d.evacuations[c.DataCentre]
	if c.Status == EvacuationUnreadable || e.revision >= c.Revision {
		return false
	}
	e.revision, e.active = c.Revision, c.Status == EvacuationActive
	e.afterList = c.Revision > d.eraFirst
	d.evacuations[c.DataCentre] = e
	return true
}

// endUnlistedEvacuations ends the evacuations that are missing from a full list.
func (d *Directory) endUnlistedEvacuations(u *Update) bool {
	changed := false
	for dataCentre, e := range d.evacuations {
		listed := slices.ContainsFunc(u.Evacuations, func(c EvacuationChange) bool { return c.DataCentre == dataCentre })
		if listed || !e.active || e.revision > u.State.Revision {
			continue
		}
		e.revision, e.active = u.State.Revision, false
		d.evacuations[dataCentre] = e
		changed = true
	}
	return changed
}

// carryOverEvacuations makes the evacuations of the previous era former ones. A data
// centre that only the first list of the next era has was not evacuated before.
func (d *Directory) carryOverEvacuations(now time.Duration, next *Update) {
	before := d.evacuations
	d.evacuations = make(map[string]evacuation, len(before))
	for dataCentre, e := range before {
		f := FormerEvacuation{DataCentre: dataCentre, Changed: e.changedAt(now, d.state), Active: e.inForce(now)}
		d.evacuations[dataCentre] = carryOver(now, f)
	}
	for _, c := range next.Evacuations {
		if _, known := d.evacuations[c.DataCentre]; !known && !d.formerState.IsZero() {
			d.evacuations[c.DataCentre] = carryOver(now, FormerEvacuation{DataCentre: c.DataCentre, Changed: d.formerState})
		}
	}
}

// changedAt returns FormerEvacuation.Changed for the entry as of a state of the store.
func (e *evacuation) changedAt(now time.Duration, current State) State {
	switch {
	case e.formerStands(now):
		return e.former.Changed
	case e.active:
		return State{Era: current.Era, Revision: e.revision}
	}
	return current
}

// carryOver returns the state of an entry at the start of an era.
func carryOver(now time.Duration, f FormerEvacuation) evacuation {
	return evacuation{former: &f, formerUntil: now + eraQuarantine}
}

// inForce reports whether no flows may be opened in the data centre. What was known before
// the era stands for some time unless the era's store has changed the entry: operators
// write again what the restored copy lacks.
func (e *evacuation) inForce(now time.Duration) bool {
	if e.formerStands(now) {
		return e.former.Active
	}
	return e.active
}

// formerStands reports whether there is a former evacuation that is neither superseded
// nor outdated.
func (e *evacuation) formerStands(now time.Duration) bool {
	if e.former == nil || e.supersedes(e.former) {
		return false
	}
	until := e.formerUntil
	if !e.former.Active {
		until -= eraQuarantine - endedEvacuationGrace
	}
	return now < until
}

// supersedes reports whether the era's store has the same or a newer entry than the former one.
func (e *evacuation) supersedes(f *FormerEvacuation) bool {
	if !e.active {
		return e.revision > 0 // it was removed within the era
	}
	return e.afterList || e.revision >= f.Changed.Revision // otherwise the copy may be older than the former entry
}

// mergeFormerEvacuation merges a former evacuation of a peer, and reports whether the
// evacuation began or ended by it.
func (d *Directory) mergeFormerEvacuation(now time.Duration, f FormerEvacuation) bool {
	e := d.evacuations[f.DataCentre]
	current := FormerEvacuation{Changed: d.formerState} // without an entry before the era
	if e.former != nil {
		current = *e.former
	}
	if f.ValidFor == 0 || !f.newer(&current) {
		return false
	}
	before := e.inForce(now)
	e.former, e.formerUntil = &f, now+min(f.ValidFor, eraQuarantine)
	d.evacuations[f.DataCentre] = e
	return e.inForce(now) != before
}

// expireFormerEvacuations drops former evacuations that are outdated. Superseded ones are
// kept until then: they are newer than those of a peer that had fallen behind.
func (d *Directory) expireFormerEvacuations(now time.Duration) {
	for dataCentre, e := range d.evacuations {
		if e.former != nil && now >= e.formerUntil {
			e.former = nil
			d.evacuations[dataCentre] = e
		}
	}
}

// formerEvacuations returns the former evacuations, in the order of data centres.
func (d *Directory) formerEvacuations(now time.Duration) []FormerEvacuation {
	var list []FormerEvacuation
	for _, dataCentre := range slices.Sorted(maps.Keys(d.evacuations)) {
		e := d.evacuations[dataCentre]
		if e.former == nil {
			continue
		}
		f := *e.former
		f.ValidFor = max(0, e.formerUntil-now)
		list = append(list, f)
	}
	return list
}

// evacuationsSince returns the changes of evacuations after a revision, or the active
// ones when whole is true, in the order of data centres.
func (d *Directory) evacuationsSince(revision uint64, whole bool) []EvacuationChange {
	var list []EvacuationChange
	for dataCentre, e := range d.evacuations {
		if whole && !e.active || !whole && e.revision <= revision {
			continue
		}
		c := EvacuationChange{DataCentre: dataCentre, Revision: e.revision}
		if e.active {
			c.Status = EvacuationActive
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b EvacuationChange) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return list
}

// evacuatedAt returns the data centres whose evacuation is in force.
func (d *Directory) evacuatedAt(now time.Duration) map[string]struct{} {
	set := make(map[string]struct{})
	for dataCentre, e := range d.evacuations {
		if e.inForce(now) {
			set[dataCentre] = struct{}{}
		}
	}
	return set
}

// hashFormerEvacuations adds the former evacuations to a hash of former records.
func (d *Directory) hashFormerEvacuations(h *xxhash.Digest) {
	for _, f := range d.formerEvacuations(0) {
		b := f.Changed.Append([]byte(f.DataCentre))
		if f.Active {
			b = append(b, 1)
		}
		_, _ = h.Write(b) // never fails
	}
}
