package registry

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// formerLife is for how long after an era began an upstream that had left before
// stays unused while the list has it again. Entries of upstreams that are gone
// lapse sooner, so that one which is still there then lives. It drains for good.
const formerLife = 10 * time.Second

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

// Check reports *FormerError when the key or the upstream is missing, or a time is negative.
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

// former is what a Former says, within a record.
type former struct {
	upstream *Upstream // never nil
	learned  time.Duration
	left     bool
}

// settles reports whether the record says as much as was known before the era.
// old is true formerLife after the era began.
func (r *record) settles(f *former, old bool) bool {
	switch {
	case r.upstream == nil:
		return false
	case r.present && f.left:
		return r.upstream.newer(f.upstream)
	case f.upstream.newer(r.upstream) && !(old && f.upstream.alike(r.upstream)):
		return false
	}
	return r.present || r.left
}

// begin begins an era with its first list. What was known before stays in
// records that the list does not settle.
func (d *Directory) begin(now time.Duration, u Update) {
	before := d.records
	d.records = make(map[string]record, len(before))
	d.began = now
	d.state, d.horizon = u.State, u.State.Revision
	for key, r := range before {
		if n, ok := r.carried(now); ok {
			d.records[key] = n
		}
	}
}

// carried returns a record of the next era for what this one says; ok is false when it says nothing.
func (r *record) carried(now time.Duration) (n record, ok bool) {
	content, learned := r.content()
	if content == nil {
		return record{}, false
	}
	missing, since := r.lacks(now)
	gone := now-since >= MissingGrace
	left := missing && (gone || r.left || r.former != nil && r.former.left)
	n = record{former: &former{upstream: content, learned: learned, left: left}, missing: now}
	if left {
		n.missing = since // another grace would bring it back
	}
	return n, true
}

// content returns the newest content of a record and when it became known; nil when there is none.
func (r *record) content() (*Upstream, time.Duration) {
	if r.former != nil && (r.upstream == nil || r.former.upstream.newer(r.upstream)) {
		return r.former.upstream, r.former.learned
	}
	return r.upstream, r.learned
}

// lacks reports whether the upstream is not to be used, and since when.
func (r *record) lacks(now time.Duration) (missing bool, since time.Duration) {
	left := r.former != nil && r.former.left
	switch {
	case !r.present:
		return true, r.missing
	case left && !r.upstream.newer(r.former.upstream):
		return true, r.missing
	}
	return false, 0
}

// recall takes in what a peer knew of a key before the era, and reports whether that is new.
func (d *Directory) recall(now time.Duration, f *FormerRecord) bool {
	r := d.records[f.Key]
	old := now-d.began >= formerLife
	if r.present && f.Deleted && old {
		return false
	}
	n := &former{upstream: f.Upstream, learned: now, left: f.Deleted}
	since := min(now-f.MissingFor, d.began) // the list has lacked it for as long
	if has := r.former; has != nil && !f.Upstream.newer(has.upstream) {
		if has.upstream.newer(f.Upstream) {
			return false
		}
		n = &former{upstream: has.upstream, learned: has.learned, left: has.left || f.Deleted}
		since = min(since, r.missing)
	}
	if r.settles(n, old) || r.former != nil && *n == *r.former && since == r.missing {
		return false
	}
	r.former, r.missing = n, since
	d.records[f.Key] = r
	return true
}

// settle forgets what was known before the era as far as the list says as much.
func (d *Directory) settle(now time.Duration) {
	old := now-d.began >= formerLife
	for key, r := range d.records {
		if r.former == nil {
			continue
		}
		if old && r.present && r.former.left {
			f := *r.former
			f.left = false
			r.former = &f
		}
		if r.settles(r.former, old) {
			r.former = nil
		}
		d.records[key] = r
	}
	d.formerHash = d.hashFormer()
}

// unsettled returns what was known before the era and the list does not settle, in the order of keys.
func (d *Directory) unsettled(now time.Duration) []FormerRecord {
	var list []FormerRecord
	for key, r := range d.records {
		if r.former == nil {
			continue
		}
		f := FormerRecord{Key: key, Upstream: r.former.upstream, Deleted: r.former.left}
		if missing, since := r.lacks(now); missing {
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
	list := d.unsettled(0)
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
