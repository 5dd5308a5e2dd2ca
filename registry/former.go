package registry

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// eraQuarantine is how long after the start of an era an upstream that was deleted
// before stays unused although the restored list contains it. Entries of stopped
// upstreams expire sooner, so an entry that remains belongs to a live upstream.
// Draining does not end with the quarantine.
const eraQuarantine = 10 * time.Second

// FormerRecord is the record of a key from before an era began.
type FormerRecord struct {
	Key string `msgpack:"key"`
	// Upstream is the last content that the upstream published.
	Upstream *Upstream `msgpack:"upstream"`
	// Deleted is true when, before the era, the store had removed the key or the key
	// was missing for at least MissingGrace.
	Deleted bool `msgpack:"left,omitempty"`
	// MissingFor is the time since the key was first found missing. 0 when it is not missing.
	MissingFor time.Duration `msgpack:"missing,omitempty"`
}

// Check reports *FormerRecordError when the key is not valid, the upstream is missing, or MissingFor
// is negative, and *UpstreamError when a field of the upstream is out of range.
func (f *FormerRecord) Check() error {
	if f.Key == "" || !validName(f.Key) || f.Upstream == nil || f.MissingFor < 0 {
		return &FormerRecordError{Key: f.Key}
	}
	return f.Upstream.Check()
}

// FormerRecordError reports an invalid FormerRecord.
type FormerRecordError struct {
	Key string
}

// Error returns the key and the possible faults.
func (e *FormerRecordError) Error() string {
	return fmt.Sprintf("former record of key %q has no valid key, no upstream or a negative time", e.Key)
}

// formerContent is the content of a FormerRecord within a record.
type formerContent struct {
	upstream  *Upstream // never nil
	learnedAt time.Duration
	deleted   bool
}

// supersedes reports whether the former content is no longer needed because the
// record has the same or newer content. expired is true when eraQuarantine is over.
func (r *record) supersedes(f *formerContent, expired bool) bool {
	switch {
	case r.upstream == nil:
		return false
	case r.present && f.deleted:
		return r.upstream.newer(f.upstream)
	case f.upstream.newer(r.upstream) && !(expired && f.upstream.sameContent(r.upstream)):
		return false
	}
	return r.present || r.deleted
}

// beginEra starts an era with its first list. Records of the previous era become
// former content; Apply drops what the list supersedes.
func (d *Directory) beginEra(now time.Duration, u Update) {
	before := d.records
	d.records = make(map[string]record, len(before))
	d.formerState = d.state
	d.carryOverEvacuations(now, &u)
	d.eraStart, d.eraFirst = now, u.State.Revision
	d.state, d.compactRevision = u.State, u.State.Revision
	for key, r := range before {
		if n, ok := r.carryOver(now); ok {
			d.records[key] = n
		}
	}
}

// carryOver returns a record of the next era with the content of this one as former
// content; ok is false when there is no content.
func (r *record) carryOver(now time.Duration) (n record, ok bool) {
	content, learned := r.content()
	if content == nil {
		return record{}, false
	}
	missing, since := r.isMissing(now)
	gone := now-since >= MissingGrace
	deleted := missing && (gone || r.deleted || r.former != nil && r.former.deleted)
	n = record{former: &formerContent{upstream: content, learnedAt: learned, deleted: deleted}, missingSince: now}
	if deleted {
		n.missingSince = since // a new grace period would make it available again
	}
	return n, true
}

// content returns the newest content of a record and when it was received; nil when there is none.
func (r *record) content() (*Upstream, time.Duration) {
	if r.former != nil && (r.upstream == nil || r.former.upstream.newer(r.upstream)) {
		return r.former.upstream, r.former.learnedAt
	}
	return r.upstream, r.learnedAt
}

// isMissing reports whether the key is missing from the era's list, or its listed
// content is not newer than content that was deleted before the era, and since when.
func (r *record) isMissing(now time.Duration) (missing bool, since time.Duration) {
	deleted := r.former != nil && r.former.deleted
	switch {
	case !r.present:
		return true, r.missingSince
	case deleted && !r.upstream.newer(r.former.upstream):
		return true, r.missingSince
	}
	return false, 0
}

// mergeFormer merges a former record of a peer, and reports whether anything changed.
func (d *Directory) mergeFormer(now time.Duration, f *FormerRecord) bool {
	r := d.records[f.Key]
	expired := now-d.eraStart >= eraQuarantine
	if r.present && f.Deleted && expired {
		return false
	}
	n := &formerContent{upstream: f.Upstream, learnedAt: now, deleted: f.Deleted}
	since := min(now-f.MissingFor, d.eraStart) // the era's list has lacked the key since its start
	if current := r.former; current != nil && !f.Upstream.newer(current.upstream) {
		if current.upstream.newer(f.Upstream) {
			return false
		}
		n = &formerContent{upstream: current.upstream, learnedAt: current.learnedAt, deleted: current.deleted || f.Deleted}
		since = min(since, r.missingSince)
	}
	if r.supersedes(n, expired) || r.former != nil && *n == *r.former && since == r.missingSince {
		return false
	}
	r.former, r.missingSince = n, since
	d.records[f.Key] = r
	return true
}

// pruneFormer drops former content that the records of the era supersede.
func (d *Directory) pruneFormer(now time.Duration) {
	expired := now-d.eraStart >= eraQuarantine
	for key, r := range d.records {
		if r.former == nil {
			continue
		}
		if expired && r.present && r.former.deleted {
			f := *r.former
			f.deleted = false
			r.former = &f
		}
		if r.supersedes(r.former, expired) {
			r.former = nil
		}
		d.records[key] = r
	}
	d.expireFormerEvacuations(now)
	d.formerHash = d.hashFormer()
}

// formerRecords returns the former content that is not superseded, in the order of keys.
func (d *Directory) formerRecords(now time.Duration) []FormerRecord {
	var list []FormerRecord
	for key, r := range d.records {
		if r.former == nil {
			continue
		}
		f := FormerRecord{Key: key, Upstream: r.former.upstream, Deleted: r.former.deleted}
		if missing, since := r.isMissing(now); missing {
			f.MissingFor = now - since
		}
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b FormerRecord) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// hashFormer returns a hash of the former records, and 0 when there are none. It covers
// what is the same in all processes: the key, StartedAt, Sequence and Deleted, but not
// MissingFor.
func (d *Directory) hashFormer() uint32 {
	list := d.formerRecords(0)
	if len(list)+len(d.formerEvacuations(0)) == 0 {
		return 0
	}
	h := xxhash.New()
	d.hashFormerEvacuations(h)
	for i := range list {
		f := &list[i]
		b := binary.BigEndian.AppendUint64([]byte(f.Key), uint64(f.Upstream.StartedAt))
		b = binary.BigEndian.AppendUint64(b, uint64(f.Upstream.Sequence))
		if f.Deleted {
			b = append(b, 1)
		}
		_, _ = h.Write(b) // never fails
	}
	return max(1, uint32(h.Sum64()))
}

// FormerCount returns the number of keys of upstreams and evacuations with former
// content that the era's list does not supersede.
func (d *Directory) FormerCount() int {
	count := len(d.formerEvacuations(0))
	for _, r := range d.records {
		if r.former != nil {
			count++
		}
	}
	return count
}

// FormerHash returns a hash of the former records: equal values mean equal records apart
// from MissingFor, and 0 means that there are none.
func (d *Directory) FormerHash() uint32 {
	return d.formerHash
}
