package membership

import (
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

// Report is what a delegate tells of another process. It is encoded as an array,
// since a digest holds many.
type Report struct {
	//lint:ignore U1000 msgpack reads the tag: the fields travel without names
	_msgpack struct{} `msgpack:",as_array"`

	Host registry.Host
	// Age is how many milliseconds ago the process sent its heartbeat, as far as the delegate knows.
	Age int
	// DataCentre is empty when it is that of the digest.
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
	// LoadFlags has the bits of Load that are rarely set.
	LoadFlags uint8
	// Lost is that of the beat.
	Lost []registry.Host
}

// The bits of Report.Trouble.
const (
	troubleSilent = 1 << iota
	troubleRefusing
	troubleFailing
)

// Digest is what a delegate tells of many processes in one datagram.
type Digest struct {
	// DataCentre is that of the delegate, and of the reports that name none.
	DataCentre string `msgpack:"d"`
	// Version and State are what the delegate has of routes and upstreams.
	Version uint64         `msgpack:"v,omitempty"`
	State   registry.State `msgpack:"n,omitempty"`
	// FormerHash stands for what the delegate knows of the time before the era of State; 0 for nothing.
	FormerHash uint32 `msgpack:"o,omitempty"`
	// StoreAge is how long ago the delegate, or a process that it heard of, had an answer of the store.
	StoreAge time.Duration `msgpack:"s,omitempty"`
	Reports  []Report      `msgpack:"r"`
}

// Check reports *HeartbeatError when the digest cannot be used.
func (d *Digest) Check() error {
	if d.StoreAge < 0 {
		return &HeartbeatError{Text: "negative age of the store"}
	}
	for i := range d.Reports {
		if age := d.Reports[i].Age; age < 0 || age > maxAge {
			return &HeartbeatError{Text: "impossible age"}
		}
		b := d.Heartbeat(i)
		if err := b.Check(); err != nil {
			return err
		}
	}
	return nil
}

// WithReport returns a digest that also tells of a process whose beat was sent the given time ago.
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
		LoadFlags:   troubleOf(b.Load),
		Lost:        b.Lost,
	}
	if b.DataCentre != d.DataCentre {
		r.DataCentre = b.DataCentre
	}
	d.Reports = append(slices.Clip(d.Reports), r)
	return d
}

// Heartbeat returns what a report tells, without what reports leave out: the age of
// the store, and the lists of balancers and of unlisted sidecars.
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
			Silent:   r.LoadFlags&troubleSilent != 0,
			Refusing: r.LoadFlags&troubleRefusing != 0,
			Failing:  r.LoadFlags&troubleFailing != 0,
		},
		Lost: r.Lost,
	}
	if b.DataCentre == "" {
		b.DataCentre = d.DataCentre
	}
	return b
}

func troubleOf(l Load) uint8 {
	var bits uint8
	if l.Silent {
		bits |= troubleSilent
	}
	if l.Refusing {
		bits |= troubleRefusing
	}
	if l.Failing {
		bits |= troubleFailing
	}
	return bits
}

// maxAge is how old a report may be, in milliseconds: older ones are forgotten by delegates.
const maxAge = int(2 * forgetAfter / time.Millisecond)

// relaySlack is how much older than it says a report may be: the time on its way is not counted.
const relaySlack = 100 * time.Millisecond

// DirectSince returns the processes that this one heard itself after since. Other
// data centres are told of these alone, so that nothing goes round.
func (t *Table) DirectSince(since time.Duration) []*Peer {
	return t.sorted(func(p *Peer) bool { return p.LastDirect > since })
}

// UpdatedSince returns the processes that this one heard, itself or by a delegate,
// after since. Sidecars are told of these.
func (t *Table) UpdatedSince(since time.Duration) []*Peer {
	return t.sorted(func(p *Peer) bool { return p.learned > since })
}

// RemoteUpdatedSince returns those of other data centres. Balancers are told of these, as
// they hear their own data centre themselves.
func (t *Table) RemoteUpdatedSince(since time.Duration) []*Peer {
	return t.sorted(func(p *Peer) bool { return p.learned > since && p.Heartbeat.DataCentre != t.cfg.DataCentre })
}

// ChangedSince returns those of the processes that changed after since in a way that others should know soon.
func ChangedSince(peers []*Peer, since time.Duration) []*Peer {
	return slices.DeleteFunc(peers, func(p *Peer) bool { return p.changed <= since })
}

// MergeReport takes in what a delegate told of a process, and how long ago that process
// had sent it.
func (t *Table) MergeReport(now, age time.Duration, h registry.Host, b Heartbeat, own Versions) Result {
	if h == t.cfg.Self {
		return Result{}
	}
	sent := now - age
	if p := t.peers[h]; p != nil && !p.supersedes(&b, sent) {
		return Result{}
	}
	if b.Role == Sidecar {
		t.sidecarNews = now
	}
	return t.take(now, sent, h, b, own)
}

// supersedes reports whether a reported beat is newer than the one that is known.
func (p *Peer) supersedes(b *Heartbeat, sent time.Duration) bool {
	if b.Incarnation == p.Heartbeat.Incarnation {
		return b.Sequence > p.Heartbeat.Sequence
	}
	return sent-relaySlack > p.LastSeen
}

// RecordStoreAge notes how long ago the store answered some process, as a delegate
// told. It reports whether that is clearly newer than the newest answer known before.
func (t *Table) RecordStoreAge(now, age time.Duration) (fresh bool) {
	fresh = now-age > t.storeSeen+freshBy
	t.storeSeen = max(t.storeSeen, now-age)
	return fresh
}
