package membership

import (
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

// Report is the state of another process in a digest. It is encoded as an array
// because a digest holds many.
type Report struct {
	//lint:ignore U1000 msgpack reads the tag: the fields are encoded without names
	_msgpack struct{} `msgpack:",as_array"`

	Host registry.Host
	// Age is the estimated age of the process's last heartbeat in milliseconds.
	Age int
	// DataCentre is empty when it is equal to that of the digest.
	DataCentre  string
	Role        Role
	Incarnation uint32
	Sequence    uint32
	// Version, Era and Revision are relative to those of the digest.
	Version  int64
	Era      int64
	Revision int64
	Reading  bool
	Stopping bool
	Flows    int
	Active   int
	Busy     int
	// LoadFlags holds the boolean fields of Load, which are rarely set.
	LoadFlags uint8
	// Lost is that of the heartbeat.
	Lost []registry.Host
}

// Detail holds what version 2 adds to a report.
type Detail struct {
	//lint:ignore U1000 msgpack reads the tag: the fields are encoded without names
	_msgpack struct{} `msgpack:",as_array"`

	// Format is that of the reported heartbeat. The other fields are zero when it is Format1.
	Format Format
	Work   int
	Window int
	Placed int
	Lossy  bool
}

// The bits of Report.LoadFlags.
const (
	loadFlagSilent = 1 << iota
	loadFlagRefusing
	loadFlagFailing
	loadFlagEnded
)

// Digest holds the reports of a balancer on many processes in one datagram.
type Digest struct {
	// DataCentre is that of the sender, and of reports in which it is empty.
	DataCentre string `msgpack:"d"`
	// Version and State identify the routes and upstreams of the sender, as in Versions.
	Version uint64         `msgpack:"v,omitempty"`
	State   registry.State `msgpack:"n,omitempty"`
	// FormerHash is the hash of the sender's records from before the era of State; 0 for none.
	FormerHash uint32 `msgpack:"o,omitempty"`
	// StoreAge is the time since the newest answer of the store to any process that the sender has a report of.
	StoreAge time.Duration `msgpack:"s,omitempty"`
	Reports  []Report      `msgpack:"r"`
	// Incarnation is that of the sender. It is 0 in version 1.
	Incarnation uint32 `msgpack:"i,omitempty"`
	// Details has one element for each report. It is empty in version 1.
	Details []Detail `msgpack:"x,omitempty"`
	// Format is the version in which the digest was received or is to be sent; 0 stands for Format1.
	Format Format `msgpack:"-"`
}

// Check reports *HeartbeatError when the digest or any report in it is invalid.
func (d *Digest) Check() error {
	if d.StoreAge < 0 {
		return &HeartbeatError{Text: "negative store age"}
	}
	if err := checkDataCentre(d.DataCentre); err != nil {
		return err
	}
	if err := d.checkDetails(); err != nil {
		return err
	}
	for i := range d.Reports {
		if age := d.Reports[i].Age; age < 0 || age > maxReportAge {
			return &HeartbeatError{Text: "report age is out of range"}
		}
		b := d.Heartbeat(i)
		if err := b.Check(); err != nil {
			return err
		}
	}
	return nil
}

// checkDetails reports *HeartbeatError when the details do not fit the version and the reports.
func (d *Digest) checkDetails() error {
	if d.Format < Format2 {
		if len(d.Details) > 0 || d.Incarnation != 0 {
			return &HeartbeatError{Text: "field of a later version"}
		}
		return nil
	}
	if len(d.Details) != len(d.Reports) {
		return &HeartbeatError{Text: "number of details differs from that of reports"}
	}
	for i := range d.Details {
		if d.Details[i].Format == 0 {
			return &HeartbeatError{Text: "detail without a version"}
		}
	}
	return nil
}

// WithFormat returns a copy of the digest with the fields of a version. What the digest
// does not have is marked as unknown.
func (d Digest) WithFormat(f Format) Digest {
	d.Format = f
	if f < Format2 {
		d.Incarnation, d.Details = 0, nil
		return d
	}
	d.Details = slices.Clip(d.Details)
	for len(d.Details) < len(d.Reports) {
		d.Details = append(d.Details, Detail{Format: Format1})
	}
	return d
}

// WithIncarnation returns a copy of the digest with another incarnation of the sender.
func (d Digest) WithIncarnation(incarnation uint32) Digest {
	d.Incarnation = incarnation
	return d
}

// WithReport returns a copy of the digest with a report of a process whose heartbeat b
// has the given age.
func (d Digest) WithReport(h registry.Host, b *Heartbeat, age time.Duration) Digest {
	r := Report{
		Host:        h,
		Age:         int(age / time.Millisecond),
		Role:        b.Role,
		Incarnation: b.Incarnation,
		Sequence:    b.Sequence,
		Version:     int64(b.Version - d.Version),
		Era:         int64(b.State.Era) - int64(d.State.Era),
		Revision:    int64(b.State.Revision - d.State.Revision),
		Reading:     b.Reading,
		Stopping:    b.Stopping,
		Flows:       b.Load.Flows,
		Active:      b.Load.Active,
		Busy:        b.Load.Busy,
		LoadFlags:   loadFlags(b.Load),
		Lost:        b.Lost,
	}
	if b.DataCentre != d.DataCentre {
		r.DataCentre = b.DataCentre
	}
	d.Reports = append(slices.Clip(d.Reports), r)
	if d.Format >= Format2 {
		d.Details = append(slices.Clip(d.Details), detailOf(b))
	}
	return d
}

// detailOf returns what version 2 adds to the report of a heartbeat.
func detailOf(b *Heartbeat) Detail {
	if b.Format < Format2 {
		return Detail{Format: Format1}
	}
	return Detail{Format: b.Format, Work: b.Load.Work, Window: b.Load.Window, Placed: b.Placed, Lossy: b.Lossy}
}

// Heartbeat returns the heartbeat of report i. StoreAge, FormerHash, Balancers and
// Unlisted are zero because reports do not include them.
func (d *Digest) Heartbeat(i int) Heartbeat {
	r := &d.Reports[i]
	b := Heartbeat{
		Role:        r.Role,
		DataCentre:  r.DataCentre,
		Incarnation: r.Incarnation,
		Sequence:    r.Sequence,
		Version:     d.Version + uint64(r.Version),
		State: registry.State{
			Era:      registry.Era(int64(d.State.Era) + r.Era),
			Revision: d.State.Revision + uint64(r.Revision),
		},
		Reading:  r.Reading,
		Stopping: r.Stopping,
		Load: Load{
			Flows:    r.Flows,
			Active:   r.Active,
			Busy:     r.Busy,
			Silent:   r.LoadFlags&loadFlagSilent != 0,
			Refusing: r.LoadFlags&loadFlagRefusing != 0,
			Failing:  r.LoadFlags&loadFlagFailing != 0,
			Ended:    r.LoadFlags&loadFlagEnded != 0,
		},
		Lost: r.Lost,
	}
	if b.DataCentre == "" {
		b.DataCentre = d.DataCentre
	}
	b.Format = d.Format
	if i < len(d.Details) {
		x := &d.Details[i]
		b.Format = x.Format
		b.Load.Work, b.Load.Window, b.Placed, b.Lossy = x.Work, x.Window, x.Placed, x.Lossy
	}
	return b
}

func loadFlags(l Load) uint8 {
	var bits uint8
	if l.Silent {
		bits |= loadFlagSilent
	}
	if l.Refusing {
		bits |= loadFlagRefusing
	}
	if l.Failing {
		bits |= loadFlagFailing
	}
	if l.Ended {
		bits |= loadFlagEnded
	}
	return bits
}

// maxReportAge is the maximum valid age of a report in milliseconds. Senders report no
// process that is older than forgetAfter.
const maxReportAge = int(2 * forgetAfter / time.Millisecond)

// maxRelayDelay is how much older than its Age a report may be, because Age excludes
// the time in transit.
const maxRelayDelay = 100 * time.Millisecond

// DirectSince returns the processes with a direct heartbeat after since. Digests to
// other data centres contain only these, so that no report circulates.
func (t *Table) DirectSince(since time.Duration) []*Peer {
	return t.sorted(func(p *Peer) bool { return p.LastDirect > since && !p.unreadable() })
}

// UpdatedSince returns the processes with a direct or reported heartbeat after since.
// Digests to sidecars contain these.
func (t *Table) UpdatedSince(since time.Duration) []*Peer {
	return t.sorted(func(p *Peer) bool { return p.updatedAt > since && !p.unreadable() })
}

// RemoteUpdatedSince returns the processes of UpdatedSince in other data centres.
// Digests to balancers of this data centre contain these, because balancers receive
// the heartbeats of their own data centre directly.
func (t *Table) RemoteUpdatedSince(since time.Duration) []*Peer {
	return t.sorted(func(p *Peer) bool {
		return p.updatedAt > since && !p.unreadable() && p.Heartbeat.DataCentre != t.cfg.DataCentre
	})
}

// ChangedSince returns the peers with an urgent change after since, as in
// Result.Changed. It modifies the slice.
func ChangedSince(peers []*Peer, since time.Duration) []*Peer {
	return slices.DeleteFunc(peers, func(p *Peer) bool { return p.changedAt <= since })
}

// MergeReport merges the heartbeat of a process as reported in a digest, of the given
// age. Reports that are not newer than the recorded heartbeat are ignored.
func (t *Table) MergeReport(now, age time.Duration, h registry.Host, b Heartbeat, own Versions) Result {
	if h == t.cfg.Self {
		return Result{}
	}
	sent := now - age
	if p := t.peers[h]; p != nil && !p.supersedes(now, &b, sent) {
		return Result{}
	}
	if b.Role == Sidecar {
		t.remoteSidecarSeen = now
	}
	return t.merge(now, sent, h, b, own)
}

// supersedes reports whether a reported heartbeat is newer than the recorded one, or the
// same one with fields that the recorded one lacks because it came in an older version.
func (p *Peer) supersedes(now time.Duration, b *Heartbeat, sent time.Duration) bool {
	if b.Incarnation == p.Heartbeat.Incarnation {
		return b.Sequence > p.Heartbeat.Sequence || b.Sequence == p.Heartbeat.Sequence && b.Format > p.Heartbeat.Format
	}
	return sent-maxRelayDelay > p.LastSeen && !p.lineage.outdated(now, b.Incarnation)
}

// RecordStoreAge records the time since the store answered another process. It reports
// whether that answer is newer than the newest recorded one by more than minStoreAgeGain.
func (t *Table) RecordStoreAge(now, age time.Duration) (fresh bool) {
	fresh = now-age > t.storeSeen+minStoreAgeGain
	t.storeSeen = max(t.storeSeen, now-age)
	return fresh
}
