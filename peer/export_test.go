package peer

import "github.com/corianderbay/corianderbay/converge"

// Replica is the latest version of a document and the history of a process, for
// tests and benchmarks of document transfers.
type Replica struct {
	history *history
}

// NewReplica returns a Replica that holds no version.
func NewReplica() *Replica {
	return &Replica{history: newHistory()}
}

// Advance makes a bundle document with the given sections the latest version.
func (x *Replica) Advance(sequence uint64, head []byte, sections map[string][]byte) {
	x.history.advance(newTestDocument(sequence, head, sections))
}

func newTestDocument(sequence uint64, head []byte, sections map[string][]byte) *document {
	d := &document{kind: converge.KindBundle, head: head, sections: make(map[string]section, len(sections))}
	d.version = converge.Version{Sequence: sequence, Hash: converge.Hash{byte(sequence), byte(sequence >> 8)}}
	for name, body := range sections {
		d.sections[name] = newSection(body)
	}
	return d
}

// DropHistory drops the versions before the latest one, so that they cannot
// serve as a base.
func (x *Replica) DropHistory() {
	latest := x.history.latest
	x.history = newHistory()
	x.history.advance(latest)
}

// Fetch transfers the latest version to holder and returns the sections that
// result there. Each message passes through transmit.
func (x *Replica) Fetch(holder *Replica, transmit func(Message) Message) map[string][]byte {
	return x.fetch(holder, x.history.latest, transmit)
}

// FetchPending is like Fetch for a version that is pending after the latest one.
func (x *Replica) FetchPending(holder *Replica, sequence uint64, sections map[string][]byte, transmit func(Message) Message) map[string][]byte {
	return x.fetch(holder, newTestDocument(sequence, nil, sections), transmit)
}

func (x *Replica) fetch(holder *Replica, d *document, transmit func(Message) Message) map[string][]byte {
	t := &transfer{kind: converge.KindBundle, version: d.version, base: holder.history.latest}
	next := Message(t.want())
	for !t.done() {
		for _, m := range documentMessages(x.history, d, transmit(next).(Want)) {
			switch m := transmit(m).(type) {
			case Table:
				next = t.handleTable(m)
			case Changes:
				t.start(m)
			case Sections:
				t.addSections(m)
			}
		}
	}
	bodies := make(map[string][]byte)
	for name, s := range t.document().sections {
		bodies[name] = s.body
	}
	return bodies
}
