package registry

import (
	"slices"
	"strings"
	"time"
)

const (
	// MissingGrace is how long an upstream may still be selected after its entry was
	// removed. Entries that expired during a store outage are rewritten within
	// about two seconds of its end.
	MissingGrace = 2 * time.Second

	// removedRetention is how long a removed upstream remains a candidate for existing
	// flows; no flow lives longer than a minute.
	removedRetention = time.Minute
)

// record is the state of one key.
type record struct {
	revision  uint64        // within the era; 0 when the key was never in the era's list
	upstream  *Upstream     // last usable content of the era; nil when there was none
	learnedAt time.Duration // when the content was received
	// present is true when the era's list contains the key.
	present      bool
	missingSince time.Duration // when the key was first found missing; valid when isMissing reports true
	// deleted is true when the store removed the key within the era, and false when
	// the era began without it.
	deleted bool
	former  *formerContent // content from before the era that the era's list does not supersede; usually nil
}

// Directory merges updates. It is not safe for concurrent use.
type Directory struct {
	routes  *Routes // nil before the first version
	state   State   // store state that all records reflect
	records map[string]record
	// evacuations holds the data centres that ever had an entry, by name. They are few, so
	// that ended ones are kept.
	evacuations map[string]evacuation
	eraStart    time.Duration // when this process first applied the era
	eraFirst    uint64        // revision of the first list of the era
	formerState State         // state before the era; zero when there was none
	// formerHash is the hash of the former records, as of the last pruneFormer; 0 if
	// there are none.
	formerHash uint32
	// compactRevision is the revision up to which removals may be missing from the
	// records: they expired, or the key was added and removed between two updates.
	compactRevision uint64
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{records: make(map[string]record), evacuations: make(map[string]evacuation)}
}

// Version returns the version of the routes, 0 before the first.
func (d *Directory) Version() uint64 {
	if d.routes == nil {
		return 0
	}
	return d.routes.Version
}

// State returns the store state that the list of upstreams reflects, zero before the first.
func (d *Directory) State() State {
	return d.state
}

// Result reports what an update changed.
type Result struct {
	// Routes is true when a newer version of the routes was applied.
	Routes bool
	// Upstreams is true when an era began, or an upstream was added, changed or removed.
	Upstreams bool
	// Evacuations is true when the evacuation of a data centre began or ended.
	Evacuations bool
	// Gap is true when changes between the directory's state and the update are missing,
	// so that the changes to upstreams and evacuations were not applied.
	Gap bool
	// NewEra is true when the update began a new era. It is false for the first state.
	NewEra bool
}

// Changed reports whether the update changed what flows may be opened at.
func (r Result) Changed() bool {
	return r.Routes || r.Upstreams || r.Evacuations
}

// Apply merges an update that arrived at now. Older content never replaces newer
// content; the upstreams in an update of an earlier era are ignored.
func (d *Directory) Apply(now time.Duration, u Update) Result {
	var res Result
	if u.Routes != nil && u.Routes.Version > d.Version() {
		d.routes = u.Routes
		res.Routes = true
	}
	if u.State.IsZero() || u.State.Era < d.state.Era {
		return res
	}
	if d.gap(&u) {
		res.Gap = true
		return res
	}
	applied := d.state.Revision // changes up to it were applied, including those that have expired since
	if u.State.Era > d.state.Era {
		applied = 0
		res.NewEra = !d.state.IsZero()
		res.Upstreams = true
		d.beginEra(now, u)
	}
	for _, c := range u.Changes {
		if c.Revision > applied {
			res.Upstreams = d.applyChange(now, c) || res.Upstreams
		}
	}
	for _, c := range u.Evacuations {
		if c.Revision > applied {
			res.Evacuations = d.applyEvacuation(c) || res.Evacuations
		}
	}
	if u.Whole {
		res.Upstreams = d.deleteUnlisted(now, u) || res.Upstreams
		res.Evacuations = d.endUnlistedEvacuations(&u) || res.Evacuations
		d.compactRevision = max(d.compactRevision, u.State.Revision)
	}
	d.state = Latest(d.state, u.State)
	for i := range u.Former {
		res.Upstreams = d.mergeFormer(now, &u.Former[i]) || res.Upstreams
	}
	for _, f := range u.FormerEvacuations {
		res.Evacuations = d.mergeFormerEvacuation(now, f) || res.Evacuations
	}
	d.pruneFormer(now)
	return res
}

// gap reports whether changes between the state of d and the update are missing.
// The first update of an era must be a full list.
func (d *Directory) gap(u *Update) bool {
	if u.Whole {
		return false
	}
	return u.State.Era != d.state.Era || u.From.Era != u.State.Era || u.From.After(d.state)
}

// applyChange merges one key and reports whether the change was newer than its record.
func (d *Directory) applyChange(now time.Duration, c Change) bool {
	r, known := d.records[c.Key]
	if known && r.revision >= c.Revision {
		return false
	}
	r.revision = c.Revision
	if c.Upstream != nil {
		r.upstream, r.present, r.learnedAt = c.Upstream, true, now
	} else {
		r.markDeleted(now)
	}
	d.records[c.Key] = r
	return true
}

// markDeleted records that the store removed the key.
func (r *record) markDeleted(now time.Duration) {
	if missing, _ := r.isMissing(now); !missing || r.missingSince == 0 {
		r.missingSince = now
	}
	r.present, r.deleted = false, true
}

// deleteUnlisted marks the keys that are missing from a full list as deleted.
func (d *Directory) deleteUnlisted(now time.Duration, u Update) bool {
	listed := make(map[string]bool, len(u.Changes))
	for _, c := range u.Changes {
		listed[c.Key] = true
	}
	changed := false
	for key, r := range d.records {
		if listed[key] || r.revision > u.State.Revision || !r.present {
			continue
		}
		r.revision = u.State.Revision
		r.markDeleted(now)
		d.records[key] = r
		changed = true
	}
	return changed
}

// Expire drops upstreams that were removed long ago, and records from before the
// era that are no longer needed.
func (d *Directory) Expire(now time.Duration) {
	for key, r := range d.records {
		if r.present || now-r.missingSince < removedRetention {
			continue
		}
		d.compactRevision = max(d.compactRevision, r.revision)
		delete(d.records, key)
	}
	if d.formerHash != 0 {
		d.pruneFormer(now)
	}
}

// Since returns the update for a peer that has the given version and state. It
// includes all former records unless the state is of a later era. It returns the full
// list when the changes since the state are more than MaxElements.
func (d *Directory) Since(now time.Duration, version uint64, state State) Update {
	var u Update
	if d.Version() > version {
		u.Routes = d.routes
	}
	if d.state.Era >= state.Era {
		u.Former = d.formerRecords(now)
		u.FormerEvacuations = d.formerEvacuations(now)
	}
	if !d.state.After(state) {
		if len(u.Former)+len(u.FormerEvacuations) > 0 {
			u.State, u.From = d.state, d.state
		}
		return u
	}
	u.State = d.state
	u.From = state
	u.Whole = state.Era != d.state.Era || state.Revision < d.compactRevision || state.IsZero()
	u.Changes = d.changesSince(state.Revision, u.Whole)
	if len(u.Changes) > MaxElements && !u.Whole { // for example removals, which the full list leaves out
		u.Whole, u.Changes = true, d.changesSince(0, true)
	}
	u.Evacuations = d.evacuationsSince(state.Revision, u.Whole)
	return u
}

// changesSince returns the changes after a revision, or the present upstreams when whole
// is true, in the order of keys.
func (d *Directory) changesSince(revision uint64, whole bool) []Change {
	var list []Change
	for key, r := range d.records {
		if !whole && r.revision <= revision || whole && !r.present {
			continue
		}
		c := Change{Key: key, Revision: r.revision}
		if r.present {
			c.Upstream = r.upstream
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b Change) int { return strings.Compare(a.Key, b.Key) })
	return list
}
