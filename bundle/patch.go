package bundle

import (
	"cmp"
	"fmt"
	"slices"
)

// Patch is the difference from one bundle to another, for a process that holds
// the first. It carries the signatures of the second and only the sections that differ.
type Patch struct {
	// Base is the hash of the bundle that the patch applies to.
	Base    Hash    `msgpack:"base"`
	Head    Head    `msgpack:"head"`
	SignOff SignOff `msgpack:"signoff"`
	// Kept is how many of the base's rotations come before Rotations, from the Skipped'th on.
	Kept      int        `msgpack:"kept,omitempty"`
	Skipped   int        `msgpack:"skipped,omitempty"`
	Rotations []Rotation `msgpack:"rotations,omitempty"`
	// Entries are those that are new or have other hashes.
	Entries []Entry `msgpack:"entries,omitempty"`
	// Gone names entries of the base that are left out.
	Gone []string `msgpack:"gone,omitempty"`
	// Sections are the bytes of the sections that the base lacks.
	Sections   [][]byte    `msgpack:"sections,omitempty"`
	Signatures []Signature `msgpack:"signatures,omitempty"`
}

// NewPatch returns the difference from base to next.
func NewPatch(base, next *Frozen) *Patch {
	m := next.manifest
	p := &Patch{Base: base.hash, Head: m.Head, SignOff: m.SignOff, Signatures: m.Signatures}
	p.Skipped, p.Kept = commonRotations(base.manifest.Rotations, m.Rotations)
	p.Rotations = m.Rotations[p.Kept:]
	before := entriesByName(base.manifest.Entries)
	for _, e := range m.Entries {
		if before[e.Name] != e {
			p.Entries = append(p.Entries, e)
		}
		delete(before, e.Name)
	}
	p.Gone = onlyIn(before, map[string]Entry{})
	for _, h := range m.Missing(base.has) {
		p.Sections = append(p.Sections, next.sections[h])
	}
	return p
}

// UnmarshalPatch decodes a patch. It fails with *TooLargeError or *DecodeError.
func UnmarshalPatch(b []byte) (*Patch, error) {
	p := new(Patch)
	if err := decode("patch", MaxFrozen, b, p); err != nil {
		return nil, err
	}
	return p, nil
}

// Marshal returns the encoded patch.
func (p *Patch) Marshal() ([]byte, error) {
	return encode("patch", p)
}

// Apply returns the bundle that the patch leads to from base. It checks that
// the parts fit each other, not the signatures: Accept does. It fails with
// *BaseError, or with what the function Assemble reports.
func (p *Patch) Apply(base *Frozen) (*Frozen, error) {
	if p.Base != base.hash {
		return nil, &BaseError{Want: p.Base, Have: base.hash}
	}
	rotations := base.manifest.Rotations
	if p.Skipped < 0 || p.Kept < 0 || p.Kept > len(rotations) || p.Skipped > len(rotations)-p.Kept {
		return nil, &ManifestError{Part: "rotations", Text: "are more than the base has"}
	}
	m := &Manifest{Head: p.Head, SignOff: p.SignOff, Signatures: p.Signatures}
	m.Rotations = slices.Concat(rotations[p.Skipped:p.Skipped+p.Kept], p.Rotations)
	entries := entriesByName(base.manifest.Entries)
	for _, name := range p.Gone {
		delete(entries, name)
	}
	for _, e := range p.Entries {
		entries[e.Name] = e
	}
	for _, e := range entries {
		m.Entries = append(m.Entries, e)
	}
	slices.SortFunc(m.Entries, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	sections := make(map[Hash][]byte, len(p.Sections))
	for _, raw := range p.Sections {
		sections[HashOf(raw)] = raw
	}
	return Assemble(m, func(h Hash) ([]byte, bool) {
		if raw, ok := sections[h]; ok {
			return raw, true
		}
		return base.Section(h)
	})
}

// has returns true when the bundle has the section.
func (f *Frozen) has(h Hash) bool {
	_, ok := f.sections[h]
	return ok
}

// commonRotations returns which rotations of base, from skipped on, are the first kept of next.
func commonRotations(base, next []Rotation) (skipped, kept int) {
	if len(next) == 0 {
		return 0, 0
	}
	skipped = slices.IndexFunc(base, func(r Rotation) bool { return equalEncoded(r, next[0]) })
	if skipped < 0 {
		return 0, 0
	}
	for _, r := range base[skipped:] {
		if kept == len(next) || !equalEncoded(r, next[kept]) {
			break
		}
		kept++
	}
	return skipped, kept
}

func entriesByName(list []Entry) map[string]Entry {
	byName := make(map[string]Entry, len(list))
	for _, e := range list {
		byName[e.Name] = e
	}
	return byName
}

// BaseError reports a patch for another bundle than the one at hand.
type BaseError struct {
	Want, Have Hash
}

func (e *BaseError) Error() string {
	return fmt.Sprintf("the patch applies to bundle %s, not to %s", e.Want, e.Have)
}
