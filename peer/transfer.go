package peer

import (
	"maps"

	"github.com/corianderbay/corianderbay/converge"
)

// transfer gathers a document that a peer sends.
type transfer struct {
	peer        string
	kind        converge.Kind
	version     converge.Version
	base        *document // what this process holds; nil for nothing
	withoutBase bool      // true once the exchange began again without a base
	head        []byte
	remaining   int // sections still to come; 0 before Changes and at the end
	started     bool
	sections    map[string]section
}

// want returns the message that begins the exchange.
func (x *transfer) want() Want {
	w := Want{Kind: x.kind, Version: wireVersion(x.version)}
	if x.base != nil && !x.withoutBase {
		w.Base = wireVersion(x.base.version)
	}
	return w
}

// restart returns the message that begins the exchange again without a base.
// It reports false when there was none.
func (x *transfer) restart() (Want, bool) {
	if x.withoutBase || x.base == nil {
		return Want{}, false
	}
	x.withoutBase, x.started, x.remaining, x.sections = true, false, 0, nil
	return x.want(), true
}

// handleTable returns the message that asks for what is missing.
func (x *transfer) handleTable(t Table) Want {
	w := Want{Kind: x.kind, Version: wireVersion(x.version), HasTable: true, Names: x.base.missing(t)}
	x.sections = make(map[string]section)
	if x.base == nil {
		return w
	}
	w.Base = wireVersion(x.base.version)
	for _, name := range t.Names {
		if s, ok := x.base.sections[name]; ok {
			x.sections[name] = s
		}
	}
	return w
}

// start takes in the start of the document.
func (x *transfer) start(c Changes) {
	x.head, x.remaining, x.started = c.Head, c.Count, true
	if x.sections == nil {
		x.sections = make(map[string]section)
		if x.base != nil && c.Base.toConverge() == x.base.version {
			x.sections = maps.Clone(x.base.sections)
		}
	}
	for _, name := range c.Removed {
		delete(x.sections, name)
	}
}

// addSections takes in sections.
func (x *transfer) addSections(s Sections) {
	for i, name := range s.Names {
		x.sections[name] = newSection(s.Bodies[i])
	}
	x.remaining -= len(s.Names)
}

// done reports whether everything has come.
func (x *transfer) done() bool {
	return x.started && x.remaining <= 0
}

// document returns what has come.
func (x *transfer) document() *document {
	return &document{kind: x.kind, version: x.version, head: x.head, sections: x.sections}
}

// documentMessages returns the answer to a wanted document: what changed since the
// base, a table when the base is unknown, or the sections that were named.
func documentMessages(h *history, d *document, w Want) []Message {
	base := w.Base.toConverge()
	if w.HasTable {
		names := make([]string, 0, len(w.Names))
		for _, name := range w.Names {
			if _, ok := d.sections[name]; ok {
				names = append(names, name)
			}
		}
		return d.changeMessages(w.Base, names, nil)
	}
	if base.IsZero() {
		return d.changeMessages(Version{}, d.names(), nil)
	}
	if names, removed, ok := h.changesSince(base, d); ok {
		return d.changeMessages(w.Base, names, removed)
	}
	return []Message{d.tableMessage()}
}

// asFetch returns what the transfer was started for.
func (x *transfer) asFetch() converge.Fetch {
	return converge.Fetch{Peer: x.peer, Kind: x.kind, Version: x.version}
}
