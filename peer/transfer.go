package peer

import (
	"maps"

	"github.com/corianderbay/corianderbay/converge"
)

// transfer assembles a document that a peer sends.
type transfer struct {
	peer        string
	kind        converge.Kind
	version     converge.Version
	base        *document // version that this process holds, or nil
	withoutBase bool      // true after restart
	head        []byte
	remaining   int // sections not yet received; 0 before Changes and at the end
	started     bool
	sections    map[string]section
}

// want returns the message that starts the transfer.
func (x *transfer) want() Want {
	w := Want{Kind: x.kind, Version: wireVersion(x.version)}
	if x.base != nil && !x.withoutBase {
		w.Base = wireVersion(x.base.version)
	}
	return w
}

// restart returns the message that restarts the transfer without a base. It
// reports false when the transfer had no base.
func (x *transfer) restart() (Want, bool) {
	if x.withoutBase || x.base == nil {
		return Want{}, false
	}
	x.withoutBase, x.started, x.remaining, x.sections = true, false, 0, nil
	return x.want(), true
}

// handleTable returns the request for the sections that the base lacks.
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

// start handles the Changes message, which precedes all sections.
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

// addSections adds received sections to the document.
func (x *transfer) addSections(s Sections) {
	for i, name := range s.Names {
		x.sections[name] = newSection(s.Bodies[i])
	}
	x.remaining -= len(s.Names)
}

// done reports whether all sections were received.
func (x *transfer) done() bool {
	return x.started && x.remaining <= 0
}

// document returns the document assembled so far.
func (x *transfer) document() *document {
	return &document{kind: x.kind, version: x.version, head: x.head, sections: x.sections}
}

// documentMessages returns the reply to a Want for d: the changes since the base,
// the whole document without a base, a Table when the base is not in h, or, after
// a Table, the named sections.
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

// asFetch returns the output of the member that started the transfer.
func (x *transfer) asFetch() converge.Fetch {
	return converge.Fetch{Peer: x.peer, Kind: x.kind, Version: x.version}
}
