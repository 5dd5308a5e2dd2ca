package peer

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/corianderbay/corianderbay/converge"
)

// tableHashSize is the length in bytes of a section's hash in a Table. A short
// hash suffices to find differences; the content is verified by its full hash.
const tableHashSize = 8

// section is one named part of a document. It is immutable.
type section struct {
	body []byte
	hash uint64 // xxHash64 of body
}

func newSection(body []byte) section {
	return section{body: body, hash: xxhash.Sum64(body)}
}

// document is one version of the bundle or of the instance list in the form in
// which processes exchange it. It is immutable.
type document struct {
	kind     converge.Kind
	version  converge.Version
	head     []byte
	sections map[string]section
}

// names returns the names of the sections in ascending order.
func (d *document) names() []string {
	return slices.Sorted(maps.Keys(d.sections))
}

// tableMessage returns the Table with the hashes of all sections.
func (d *document) tableMessage() Table {
	t := Table{Kind: d.kind, Version: wireVersion(d.version), Names: d.names()}
	for _, name := range t.Names {
		t.Hashes = binary.BigEndian.AppendUint64(t.Hashes, d.sections[name].hash)
	}
	return t
}

// missing returns the names of the sections in t that d lacks or holds with
// another hash. d may be nil.
func (d *document) missing(t Table) []string {
	var names []string
	for i, name := range t.Names {
		want := binary.BigEndian.Uint64(t.Hashes[i*tableHashSize:])
		if d != nil {
			if s, ok := d.sections[name]; ok && s.hash == want {
				continue
			}
		}
		names = append(names, name)
	}
	return names
}

// changeMessages returns the messages that update a receiver from base to d: the
// named sections are replaced and the removed ones deleted. Sections messages
// hold up to chunkSize bytes of content, or one larger section.
func (d *document) changeMessages(base Version, names, removed []string) []Message {
	messages := []Message{Changes{
		Kind: d.kind, Version: wireVersion(d.version), Base: base,
		Head: d.head, Removed: removed, Count: len(names),
	}}
	part := Sections{Kind: d.kind, Version: wireVersion(d.version)}
	size := 0
	for _, name := range names {
		body := d.sections[name].body
		if size > 0 && size+len(body) > chunkSize {
			messages = append(messages, part)
			part.Names, part.Bodies, size = nil, nil, 0
		}
		part.Names = append(part.Names, name)
		part.Bodies = append(part.Bodies, body)
		size += len(body)
	}
	if len(part.Names) > 0 {
		messages = append(messages, part)
	}
	return messages
}

// maxVersions bounds the number of versions that a history records.
const maxVersions = 4096

// history records the version in which each section last changed, so that a peer
// with an older version is sent only the sections that changed since.
type history struct {
	latest *document // nil before the first version
	// versions holds the recorded versions by sequence.
	versions map[uint64]converge.Version
	// changed and removed map the name of a section to the sequence in which it
	// last changed or was removed.
	changed, removed map[string]uint64
}

func newHistory() *history {
	return &history{
		versions: make(map[uint64]converge.Version),
		changed:  make(map[string]uint64),
		removed:  make(map[string]uint64),
	}
}

// advance makes d the latest version.
func (h *history) advance(d *document) {
	n := d.version.Sequence
	for name, s := range d.sections {
		if old, ok := h.section(name); !ok || old.hash != s.hash {
			h.changed[name] = n
		}
		delete(h.removed, name)
	}
	if h.latest != nil {
		for name := range h.latest.sections {
			if _, ok := d.sections[name]; !ok {
				h.removed[name] = n
				delete(h.changed, name)
			}
		}
	}
	h.latest = d
	h.versions[n] = d.version
	h.trim()
}

func (h *history) section(name string) (section, bool) {
	if h.latest == nil {
		return section{}, false
	}
	s, ok := h.latest.sections[name]
	return s, ok
}

// trim drops the oldest quarter of the versions, and the removals that the
// oldest remaining version already contains.
func (h *history) trim() {
	if len(h.versions) <= maxVersions {
		return
	}
	numbers := slices.Sorted(maps.Keys(h.versions))
	for _, n := range numbers[:len(numbers)/4] {
		delete(h.versions, n)
	}
	oldest := numbers[len(numbers)/4]
	maps.DeleteFunc(h.removed, func(_ string, n uint64) bool { return n <= oldest })
}

// changesSince returns the names of the sections that differ between base and d,
// and of those that d lacks. d is the latest version or a pending one that may
// follow it. It reports false when base is not recorded.
func (h *history) changesSince(base converge.Version, d *document) (names, removed []string, ok bool) {
	if base.IsZero() || h.versions[base.Sequence] != base {
		return nil, nil, false
	}
	for name, s := range d.sections {
		if old, found := h.section(name); !found || old.hash != s.hash || h.changed[name] > base.Sequence {
			names = append(names, name)
		}
	}
	for name := range h.latest.sections {
		if _, found := d.sections[name]; !found {
			removed = append(removed, name)
		}
	}
	for name, n := range h.removed {
		if _, found := d.sections[name]; !found && n > base.Sequence {
			removed = append(removed, name)
		}
	}
	slices.Sort(names)
	slices.Sort(removed)
	return names, removed, true
}
