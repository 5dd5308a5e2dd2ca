package peer

import "github.com/corianderbay/corianderbay/converge"

// Replica is one version of a document with what a process remembers of the
// versions before, for benchmarks of the difference protocol.
type Replica struct {
	history *history
}

// NewReplica returns an Exchange that holds no version.
func NewReplica() *Replica {
	return &Replica{history: newHistory()}
}

// Advance makes a bundle document with the sections the latest version.
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

// DropHistory drops the versions before the latest one, so that a base is unknown.
func (x *Replica) DropHistory() {
	latest := x.history.latest
	x.history = newHistory()
	x.history.advance(latest)
}

// Fetch exchanges messages, passing each through carry, and returns the sections that holder ends with.
func (x *Replica) Fetch(holder *Replica, carry func(Message) Message) map[string][]byte {
	return x.fetch(holder, x.history.latest, carry)
}

// FetchPending is like Fetch for a version that follows the latest one.
func (x *Replica) FetchPending(holder *Replica, sequence uint64, sections map[string][]byte, carry func(Message) Message) map[string][]byte {
	return x.fetch(holder, newTestDocument(sequence, nil, sections), carry)
}

func (x *Replica) fetch(holder *Replica, d *document, carry func(Message) Message) map[string][]byte {
	t := &transfer{kind: converge.KindBundle, version: d.version, base: holder.history.latest}
	next := Message(t.want())
	for !t.done() {
		for _, m := range documentMessages(x.history, d, carry(next).(Want)) {
			switch m := carry(m).(type) {
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
