package membership

import (
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

// Format is the version of the messages that processes exchange.
type Format uint8

// The versions of the messages.
const (
	// Format1 is the version of commit 524ed58. All processes read it.
	Format1 Format = 1
	// Format2 adds Load.Work, Load.Window, Heartbeat.Placed, Heartbeat.Lossy and Heartbeat.Ingress, and the
	// negotiation of versions.
	Format2 Format = 2
)

// heartbeatsPerOffer is the number of messages to a host not known to read a later
// version of which one is accompanied by a FormatOffer.
const heartbeatsPerOffer = 4

// minOfferInterval is the minimum time between two answers to offers of one host, so that
// two processes do not answer each other's answers.
const minOfferInterval = time.Second

// FormatOffer announces the versions that the sender reads and sends.
type FormatOffer struct {
	Oldest Format `msgpack:"o"`
	Newest Format `msgpack:"n"`
	// Incarnation is that of the sender. The offer is void for any other one.
	Incarnation uint32 `msgpack:"i"`
}

// Check reports *HeartbeatError when the range of versions is empty or contains 0.
func (o *FormatOffer) Check() error {
	if o.Oldest == 0 || o.Newest < o.Oldest {
		return &HeartbeatError{Text: "invalid range of versions"}
	}
	return nil
}

// Formats records which version the processes on other hosts read. It is not safe for
// concurrent use.
type Formats struct {
	newest Format
	hosts  map[registry.Host]*hostFormat
}

// hostFormat is the record of one host.
type hostFormat struct {
	// incarnation is that of the host's process; 0 when it is not known.
	incarnation uint32
	// former is the incarnation before it. Messages of it that are late prove nothing.
	former uint32
	// reads is the newest common version that the incarnation is known to read. It is
	// Format1 until the incarnation has sent an offer or a message of a later version.
	reads     Format
	sent      int           // messages of version 1 sent to it since reads was last reset
	lastOffer time.Duration // when an offer was last sent to it; 0 if never
	lastUsed  time.Duration // when a message was last sent to it or received from it
}

// NewFormats returns an empty record for a process that reads all versions up to newest.
func NewFormats(newest Format) *Formats {
	return &Formats{newest: newest, hosts: make(map[registry.Host]*hostFormat)}
}

func (f *Formats) host(now time.Duration, h registry.Host) *hostFormat {
	r := f.hosts[h]
	if r == nil {
		r = &hostFormat{reads: Format1}
		f.hosts[h] = r
	}
	r.lastUsed = now
	return r
}

// RecordIncarnation records the incarnation of the process on a host. A new incarnation
// may be an older build, and is treated as one that reads only version 1.
func (f *Formats) RecordIncarnation(now time.Duration, h registry.Host, incarnation uint32) {
	r := f.host(now, h)
	if incarnation == r.incarnation || incarnation == r.former {
		return
	}
	r.former, r.incarnation = r.incarnation, incarnation
	r.reads, r.sent = Format1, 0
}

// RecordReads records that an incarnation of the process on a host reads a version,
// because it offered or sent it. A former incarnation is ignored.
func (f *Formats) RecordReads(now time.Duration, h registry.Host, incarnation uint32, v Format) {
	f.RecordIncarnation(now, h, incarnation)
	if r := f.hosts[h]; r.incarnation == incarnation {
		r.reads = max(r.reads, min(v, f.newest))
		r.sent = 0
	}
}

// RecordOffer records the offer of the process on a host, and reports whether to answer
// it with an offer. Without an answer, a host that receives nothing else from this
// process would send it version 1 forever.
func (f *Formats) RecordOffer(now time.Duration, h registry.Host, o FormatOffer) (answer bool) {
	if o.Oldest <= f.newest {
		f.RecordReads(now, h, o.Incarnation, o.Newest)
	}
	r := f.host(now, h)
	if r.lastOffer != 0 && now-r.lastOffer < minOfferInterval {
		return false
	}
	r.lastOffer = now
	return true
}

// Reset treats the process on a host as one that reads only version 1 until its next
// message of a later version.
func (f *Formats) Reset(h registry.Host) {
	if r := f.hosts[h]; r != nil {
		r.reads, r.sent = Format1, 0
	}
}

// Reads returns the version in which to send to the process on a host.
func (f *Formats) Reads(h registry.Host) Format {
	if r := f.hosts[h]; r != nil {
		return r.reads
	}
	return Format1
}

// RecordSent records that a message of version 1 is sent to a host, and reports whether to
// send an offer alongside.
func (f *Formats) RecordSent(now time.Duration, h registry.Host) (offer bool) {
	r := f.host(now, h)
	offer = f.newest > Format1 && r.sent%heartbeatsPerOffer == 0
	r.sent++
	if offer {
		r.lastOffer = now
	}
	return offer
}

// Expire drops the hosts to which nothing was sent, and from which nothing was received,
// for the time after which processes are dropped from a Table.
func (f *Formats) Expire(now time.Duration) {
	for h, r := range f.hosts {
		if now-r.lastUsed >= forgetAfter {
			delete(f.hosts, h)
		}
	}
}
