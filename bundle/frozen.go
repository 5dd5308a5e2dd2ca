package bundle

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
)

// Frozen is a bundle encoded in sections, with a manifest of their hashes. It is
// immutable and safe for concurrent use.
type Frozen struct {
	manifest *Manifest
	hash     Hash            // of manifest.Head
	sections map[Hash][]byte // exactly the sections in the manifest; immutable after construction
	// accepted is the content after Accept verified it, nil before. Its services
	// are in the order of the manifest's entries.
	accepted atomic.Pointer[Bundle]
}

// Freeze checks and encodes a bundle. The result has no signatures and no
// previous bundle, so it must be signed under its own policy. Freeze fails with
// *FaultsError, *TooLargeError or *EncodeError.
func Freeze(b *Bundle) (*Frozen, error) {
	if err := Check(b); err != nil {
		return nil, err
	}
	f := &Frozen{sections: make(map[Hash][]byte)}
	m := &Manifest{SignOff: b.SignOff, Head: Head{Sequence: b.Sequence}}
	for _, part := range sectionsOf(b) {
		raw, err := encode(part.name, part.value)
		if err != nil {
			return nil, err
		}
		h := HashOf(raw)
		f.sections[h] = raw
		m.Entries = append(m.Entries, Entry{Name: part.name, Hash: h, Size: len(raw)})
	}
	slices.SortFunc(m.Entries, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	policy, err := hashEncoded("signoff", b.SignOff)
	if err != nil {
		return nil, err
	}
	m.Head.Policy = policy
	return f.withManifest(m)
}

// Assemble combines a manifest with its sections. The function section returns
// the section with a hash, and false when it is missing. Assemble fails with
// *MissingSectionError, *SectionError or the errors of UnmarshalManifest.
func Assemble(m *Manifest, section func(Hash) ([]byte, bool)) (*Frozen, error) {
	if err := m.check(); err != nil {
		return nil, err
	}
	f := &Frozen{manifest: m, sections: make(map[Hash][]byte, len(m.Entries))}
	for _, e := range m.Entries {
		raw, ok := section(e.Hash)
		if !ok {
			return nil, &MissingSectionError{Name: e.Name, Hash: e.Hash}
		}
		if got := HashOf(raw); got != e.Hash || len(raw) != e.Size {
			return nil, &SectionError{Name: e.Name, Want: e.Hash, Got: got}
		}
		f.sections[e.Hash] = raw
	}
	h, err := m.Head.Hash()
	f.hash = h
	return f, err
}

// Hash returns the hash that identifies the bundle. Bundles with equal content
// and the same previous bundle have equal hashes.
func (f *Frozen) Hash() Hash {
	return f.hash
}

// Sequence returns the sequence of the bundle.
func (f *Frozen) Sequence() uint64 {
	return f.manifest.Head.Sequence
}

// Manifest returns the manifest. The caller must not modify it.
func (f *Frozen) Manifest() *Manifest {
	return f.manifest
}

// Section returns the encoded section with the hash, and false when the bundle
// does not contain it. The caller must not modify the section.
func (f *Frozen) Section(h Hash) ([]byte, bool) {
	b, ok := f.sections[h]
	return b, ok
}

// WithPrevious returns the bundle as the successor of prev: to be signed under
// the sign-off policy of prev, with the rotations up to and including prev. It
// drops all signatures. It fails with *StaleError unless the sequence is greater
// than that of prev.
func (f *Frozen) WithPrevious(prev *Frozen) (*Frozen, error) {
	if f.Sequence() <= prev.Sequence() {
		return nil, &StaleError{Running: prev.Sequence(), Next: f.Sequence(), RunningHash: prev.hash, NextHash: f.hash}
	}
	m := *f.manifest
	m.Signatures = nil
	m.Head.Previous = prev.hash
	m.Head.Policy = prev.manifest.Head.SignOff
	m.Rotations = prev.rotations()
	return f.withManifest(&m)
}

// WithSignature returns the bundle with the signature added. It replaces an
// earlier signature by the same approver.
func (f *Frozen) WithSignature(s Signature) *Frozen {
	m := *f.manifest
	m.Signatures = slices.DeleteFunc(slices.Clone(m.Signatures), func(o Signature) bool {
		return o.Approver == s.Approver
	})
	m.Signatures = append(m.Signatures, s)
	slices.SortFunc(m.Signatures, func(a, b Signature) int { return cmp.Compare(a.Approver, b.Approver) })
	return &Frozen{manifest: &m, hash: f.hash, sections: f.sections}
}

// rotations returns the last MaxRotations changes of the sign-off policy up to
// and including this bundle.
func (f *Frozen) rotations() []Rotation {
	m := f.manifest
	list := slices.Clone(m.Rotations)
	if m.Head.Policy != m.Head.SignOff {
		list = append(list, Rotation{Head: m.Head, SignOff: m.SignOff, Signatures: m.Signatures})
	}
	return list[max(0, len(list)-MaxRotations):]
}

// withManifest sets the hashes in the head of m and returns the bundle with m,
// checked by Assemble.
func (f *Frozen) withManifest(m *Manifest) (*Frozen, error) {
	var err error
	if m.Head.SignOff, err = hashEncoded("signoff", m.SignOff); err != nil {
		return nil, err
	}
	if m.Head.Entries, err = hashEncoded("entries", m.Entries); err != nil {
		return nil, err
	}
	if m.Head.Rotations, err = hashEncoded("rotations", m.Rotations); err != nil {
		return nil, err
	}
	return Assemble(m, f.Section)
}

// Decode returns the decoded and checked bundle with its services sorted by
// name. It fails with *DecodeError, *SectionError or *FaultsError.
func (f *Frozen) Decode() (*Bundle, error) {
	return f.decodeAfter(nil)
}

// decodeAfter is like Decode, but reuses the decoded services that prev has in
// common with f. Prev may be nil.
func (f *Frozen) decodeAfter(prev *Frozen) (*Bundle, error) {
	m := f.manifest
	b := &Bundle{Sequence: m.Head.Sequence, SignOff: m.SignOff}
	reusable := prev.acceptedServices()
	for _, e := range m.Entries {
		if s, ok := reusable[e.Hash]; ok && e.Name == sectionService+s.Name {
			b.Services = append(b.Services, s)
			continue
		}
		if err := b.addSection(e, f.sections[e.Hash]); err != nil {
			return nil, err
		}
	}
	if err := Check(b); err != nil {
		return nil, err
	}
	return b, nil
}

// acceptedServices returns the accepted services by the hashes of their
// sections, or nil when f is nil or not accepted.
func (f *Frozen) acceptedServices() map[Hash]Service {
	if f == nil || f.accepted.Load() == nil {
		return nil
	}
	list := f.accepted.Load().Services
	byHash := make(map[Hash]Service, len(list))
	for _, e := range f.manifest.Entries {
		if e.Name == sectionDataCentres {
			continue
		}
		byHash[e.Hash] = list[0]
		list = list[1:]
	}
	return byHash
}

func (b *Bundle) addSection(e Entry, raw []byte) error {
	if e.Name == sectionDataCentres {
		return decode(e.Name, MaxSection, raw, &b.DataCentres)
	}
	var s Service
	if err := decode(e.Name, MaxSection, raw, &s); err != nil {
		return err
	}
	if s.Name != strings.TrimPrefix(e.Name, sectionService) {
		return &SectionError{Name: e.Name, Want: e.Hash, Got: e.Hash, ActualService: s.Name}
	}
	b.Services = append(b.Services, s)
	return nil
}

// unencodedSection is the name and the value of a section before encoding.
type unencodedSection struct {
	name  string
	value any
}

func sectionsOf(b *Bundle) []unencodedSection {
	parts := make([]unencodedSection, 0, len(b.Services)+1)
	if len(b.DataCentres) > 0 {
		parts = append(parts, unencodedSection{name: sectionDataCentres, value: b.DataCentres})
	}
	for _, s := range b.Services {
		parts = append(parts, unencodedSection{name: sectionService + s.Name, value: s})
	}
	return parts
}

// frozenWire is the encoding of a whole bundle.
type frozenWire struct {
	Manifest []byte `msgpack:"manifest"`
	// Sections are in the order of the manifest's entries, without duplicates.
	Sections [][]byte `msgpack:"sections"`
}

// Marshal returns the encoding of the whole bundle.
func (f *Frozen) Marshal() ([]byte, error) {
	manifest, err := f.manifest.Marshal()
	if err != nil {
		return nil, err
	}
	w := frozenWire{Manifest: manifest}
	for _, h := range f.manifest.Missing(func(Hash) bool { return false }) {
		w.Sections = append(w.Sections, f.sections[h])
	}
	return encode("bundle", w)
}

// Unmarshal decodes a whole bundle. It checks that manifest and sections are
// consistent, but not the signatures, which Accept verifies. It fails with
// *TooLargeError, *DecodeError, *ManifestError, *MissingSectionError or
// *SectionError.
func Unmarshal(b []byte) (*Frozen, error) {
	var w frozenWire
	if err := decode("bundle", MaxFrozen, b, &w); err != nil {
		return nil, err
	}
	m, err := UnmarshalManifest(w.Manifest)
	if err != nil {
		return nil, err
	}
	wanted := m.Missing(func(Hash) bool { return false })
	if len(wanted) != len(w.Sections) {
		return nil, &ManifestError{Part: "sections", Reason: "differ in number from the entries"}
	}
	sections := maps.Collect(func(yield func(Hash, []byte) bool) {
		for i, h := range wanted {
			if !yield(h, w.Sections[i]) {
				return
			}
		}
	})
	return Assemble(m, func(h Hash) ([]byte, bool) {
		raw, ok := sections[h]
		return raw, ok
	})
}

// MissingSectionError reports a section of a manifest that was not found.
type MissingSectionError struct {
	Name string
	Hash Hash
}

func (e *MissingSectionError) Error() string {
	return fmt.Sprintf("section %s with hash %s is missing", e.Name, e.Hash)
}

// SectionError reports a section that does not match its manifest entry.
type SectionError struct {
	Name string
	Want Hash
	Got  Hash
	// ActualService is the service in the section when the hash matches but the
	// name does not. Otherwise it is empty.
	ActualService string
}

func (e *SectionError) Error() string {
	if e.ActualService != "" {
		return fmt.Sprintf("section %s contains service %s", e.Name, e.ActualService)
	}
	return fmt.Sprintf("section %s has hash %s, not %s", e.Name, e.Got, e.Want)
}
