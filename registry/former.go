package registry

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// eraQuarantine is for how long after an era began an upstream that had left before
// stays unused while the list has it again. Entries of upstreams that are gone
// lapse sooner, so that one which is still there then lives. It drains for good.
const eraQuarantine = 10 * time.Second

// FormerRecord is what was known of a key before an era began.
type FormerRecord struct {
	Key string `msgpack:"key"`
	// Upstream is what it last said of itself.
	Upstream *Upstream `msgpack:"upstream"`
	// Deleted is true when the store had removed the key, or lacked it for longer than MissingGrace.
	Deleted bool `msgpack:"left,omitempty"`
	// MissingFor is how long ago the key was first missed. 0 when it was not.
	MissingFor time.Duration `msgpack:"missing,omitempty"`
}

// Check reports *FormerRecordError when the key or the upstream is missing, or a time is negative.
func (f *FormerRecord) Check() error {
	if f.Key == "" || f.Upstream == nil || f.MissingFor < 0 {
		return &FormerRecordError{Key: f.Key}
	}
	return nil
}

// FormerRecordError reports knowledge of an earlier era that makes no sense.
type FormerRecordError struct {
	Key string
}

// Error returns the key.
func (e *FormerRecordError) Error() string {
	return fmt.Sprintf("what is said of key %q before the era has no upstream or a negative time", e.Key)
}

// formerContent is what a Former says, within a record.
type formerContent struct {
	upstream  *Upstream // never nil
	learnedAt time.Duration
	deleted   bool
}

// supersedes reports whether the record says as much as was known before the era.
// old is true formerLife after the era began.
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

// beginEra begins an era with its first list. What was known before stays in
// records that the list does not settle.
func (d *Directory) beginEra(now time.Duration, u Update) {
	before := d.records
	d.records = make(map[string]record, len(before))
	d.eraStart = now
	d.state, d.compactRevision = u.State, u.State.Revision
	for key, r := range before {
		if n, ok := r.carryOver(now); ok {
			d.records[key] = n
		}
	}
}

// carryOver returns a record of the next era for what this one says; ok is false when it says nothing.
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
		n.missingSince = since // another grace would bring it back
	}
	return n, true
}

// content returns the newest content of a record and when it became known; nil when there is none.
func (r *record) content() (*Upstream, time.Duration) {
	if r.former != nil && (r.upstream == nil || r.former.upstream.newer(r.upstream)) {
		return r.former.upstream, r.former.learnedAt
	}
	return r.upstream, r.learnedAt
}

// isMissing reports whether the upstream is not to be used, and since when.
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

// mergeFormer takes in what a peer knew of a key before the era, and reports whether that is new.
func (d *Directory) mergeFormer(now time.Duration, f *FormerRecord) bool {
	r := d.records[f.Key]
	expired := now-d.eraStart >= eraQuarantine
	if r.present && f.Deleted && expired {
		return false
	}
	n := &formerContent{upstream: f.Upstream, learnedAt: now, deleted: f.Deleted}
	since := min(now-f.MissingFor, d.eraStart) // the list has lacked it for as long
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

// pruneFormer forgets what was known before the era as far as the list says as much.
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
	d.formerHash = d.hashFormer()
}

// formerRecords returns what was known before the era and the list does not settle, in the order of keys.
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

// hashFormer returns a number that is equal in processes that know the same
// before the era, and 0 when that is nothing.
func (d *Directory) hashFormer() uint32 {
	list := d.formerRecords(0)
	if len(list) == 0 {
		return 0
	}
	h := xxhash.New()
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

// FormerCount returns of how many keys more was known before the era than its list says.
func (d *Directory) FormerCount() int {
	count := 0
	for _, r := range d.records {
		if r.former != nil {
			count++
		}
	}
	return count
}

// FormerHash tells what is known of the time before the present era: equal
// numbers stand for the same, 0 for nothing.
func (d *Directory) FormerHash() uint32 {
	return d.formerHash
}
