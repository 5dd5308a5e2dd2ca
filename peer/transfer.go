package peer

import (
	"maps"

	"github.com/corianderbay/corianderbay/converge"
)

// transfer gathers a document that a peer sends.
type transfer struct {
	peer    string
	kind    converge.Kind
	version converge.Version
	base    *document // what this process holds; nil for nothing
	whole   bool      // true once the exchange began again without a base
	head    []byte
	left    int // sections still to come; 0 before Changes and at the end
	begun   bool
	found   map[string]section
}

// want returns the message that begins the exchange.
func (x *transfer) want() Want {
	w := Want{Kind: x.kind, Version: wireVersion(x.version)}
	if x.base != nil && !x.whole {
		w.Base = wireVersion(x.base.version)
	}
	return w
}

// restart returns the message that begins the exchange again without a base.
// It reports false when there was none.
func (x *transfer) restart() (Want, bool) {
	if x.whole || x.base == nil {
		return Want{}, false
	}
	x.whole, x.begun, x.left, x.found = true, false, 0, nil
	return x.want(), true
}

// table returns the message that asks for what is missing.
func (x *transfer) table(t Table) Want {
	w := Want{Kind: x.kind, Version: wireVersion(x.version), HasTable: true, Names: x.base.lacking(t)}
	x.found = make(map[string]section)
	if x.base == nil {
		return w
	}
	w.Base = wireVersion(x.base.version)
	for _, name := range t.Names {
		if s, ok := x.base.sections[name]; ok {
			x.found[name] = s
		}
	}
	return w
}

// begin takes in the start of the document.
func (x *transfer) begin(c Changes) {
	x.head, x.left, x.begun = c.Head, c.Count, true
	if x.found == nil {
		x.found = make(map[string]section)
		if x.base != nil && c.Base.version() == x.base.version {
			x.found = maps.Clone(x.base.sections)
		}
	}
	for _, name := range c.Removed {
		delete(x.found, name)
	}
}

// add takes in sections.
func (x *transfer) add(s Sections) {
	for i, name := range s.Names {
		x.found[name] = newSection(s.Bodies[i])
	}
	x.left -= len(s.Names)
}

// done reports whether everything has come.
func (x *transfer) done() bool {
	return x.begun && x.left <= 0
}

// document returns what has come.
func (x *transfer) document() *document {
	return &document{kind: x.kind, version: x.version, head: x.head, sections: x.found}
}

// deliver returns the answer to a wanted document: what changed since the
// base, a table when the base is unknown, or the sections that were named.
func deliver(h *history, held *document, w Want) []Message {
	base := w.Base.version()
	if w.HasTable {
		names := make([]string, 0, len(w.Names))
		for _, name := range w.Names {
			if _, ok := held.sections[name]; ok {
				names = append(names, name)
			}
		}
		return held.changes(w.Base, names, nil)
	}
	if base.IsZero() {
		return held.changes(Version{}, held.names(), nil)
	}
	if names, removed, ok := h.between(base, held); ok {
		return held.changes(w.Base, names, removed)
	}
	return []Message{held.table()}
}

// request returns what the transfer was started for.
func (x *transfer) request() converge.Fetch {
	return converge.Fetch{Peer: x.peer, Kind: x.kind, Version: x.version}
}
