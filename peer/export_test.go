package peer

import "github.com/corianderbay/corianderbay/converge"

// Exchange is one version of a document with what a process remembers of the
// versions before, for benchmarks of the difference protocol.
type Exchange struct {
	history *history
}

// NewExchange returns an Exchange that holds no version.
func NewExchange() *Exchange {
	return &Exchange{history: newHistory()}
}

// Advance makes a bundle document with the sections the latest version.
func (x *Exchange) Advance(sequence uint64, head []byte, sections map[string][]byte) {
	d := &document{kind: converge.KindBundle, head: head, sections: make(map[string]section, len(sections))}
	d.version = converge.Version{Sequence: sequence, Hash: converge.Hash{byte(sequence), byte(sequence >> 8)}}
	for name, body := range sections {
		d.sections[name] = newSection(body)
	}
	x.history.advance(d)
}

// Forget drops the versions before the latest one, so that a base is unknown.
func (x *Exchange) Forget() {
	latest := x.history.latest
	x.history = newHistory()
	x.history.advance(latest)
}

// Fetch exchanges messages until holder has what x holds, passing each through
// carry, and returns the round trips.
func (x *Exchange) Fetch(holder *Exchange, carry func(Message) Message) int {
	t := &transfer{kind: converge.KindBundle, version: x.history.latest.version, base: holder.history.latest}
	next := Message(t.want())
	trips := 0
	for !t.done() {
		trips++
		for _, m := range deliver(x.history, x.history.latest, carry(next).(Want)) {
			switch m := carry(m).(type) {
			case Table:
				next = t.table(m)
			case Changes:
				t.begin(m)
			case Sections:
				t.add(m)
			}
		}
	}
	return trips
}
