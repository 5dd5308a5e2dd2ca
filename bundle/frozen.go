package bundle

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
)

// Frozen is a bundle in sections with a manifest of their hashes. It is
// immutable and safe for concurrent use.
type Frozen struct {
	manifest *Manifest
	hash     Hash            // of manifest.Head
	sections map[Hash][]byte // exactly those that manifest names; never written after the constructor
	// accepted is the content once Accept has checked it, nil before. Its
	// services are in the order of the manifest's entries.
	accepted atomic.Pointer[Bundle]
}

// Freeze encodes a bundle. The result has no signatures and no previous
// bundle: it is to be signed under its own policy. Freeze fails with
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

// Assemble joins a manifest with its sections, found by hash. It fails with
// *MissingSectionError, *SectionError, or what UnmarshalManifest reports.
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

// Hash returns the hash that identifies the bundle: equal content made from the same bundle has equal hashes.
func (f *Frozen) Hash() Hash {
	return f.hash
}

// Sequence returns the number that orders the bundle.
func (f *Frozen) Sequence() uint64 {
	return f.manifest.Head.Sequence
}

// Manifest returns the manifest, which the caller does not change.
func (f *Frozen) Manifest() *Manifest {
	return f.manifest
}

// Section returns the bytes with the hash, which the caller does not change.
func (f *Frozen) Section(h Hash) ([]byte, bool) {
	b, ok := f.sections[h]
	return b, ok
}

// WithPrevious returns the bundle as the one that follows prev: signed under
// prev's sign-off policy, with the changes of policy up to prev. It drops
// signatures and reports *StaleError unless its sequence is above prev's.
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

// WithSignature returns the bundle with the signature added, in the place of
// an earlier one by the same approver.
func (f *Frozen) WithSignature(s Signature) *Frozen {
	m := *f.manifest
	m.Signatures = slices.DeleteFunc(slices.Clone(m.Signatures), func(o Signature) bool {
		return o.Approver == s.Approver
	})
	m.Signatures = append(m.Signatures, s)
	slices.SortFunc(m.Signatures, func(a, b Signature) int { return cmp.Compare(a.Approver, b.Approver) })
	return &Frozen{manifest: &m, hash: f.hash, sections: f.sections}
}

// rotations returns the changes of policy up to and with this bundle.
func (f *Frozen) rotations() []Rotation {
	m := f.manifest
	list := slices.Clone(m.Rotations)
	if m.Head.Policy != m.Head.SignOff {
		list = append(list, Rotation{Head: m.Head, SignOff: m.SignOff, Signatures: m.Signatures})
	}
	return list[max(0, len(list)-MaxRotations):]
}

// withManifest fills in the hashes of the head and checks the result.
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

// Decode returns the decoded and checked bundle, its services in the order of
// their names. It fails with *DecodeError, *SectionError or *FaultsError.
func (f *Frozen) Decode() (*Bundle, error) {
	return f.decodeAfter(nil)
}

// decodeAfter is like Thaw and takes sections that prev, which may be nil, has as well from its accepted content.
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

// acceptedServices returns the accepted services by the hashes of their sections.
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

// unencodedSection is a section before it is encoded.
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
	// Sections are in the order of the manifest's entries, each hash once.
	Sections [][]byte `msgpack:"sections"`
}

// Marshal returns the whole bundle in one encoding.
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

// Unmarshal decodes a whole bundle. It checks that the parts fit each other,
// not the signatures: Accept does. It fails with *TooLargeError,
// *DecodeError, *ManifestError, *MissingSectionError or *SectionError.
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
		return nil, &ManifestError{Part: "sections", Reason: "are not as many as the entries name"}
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

// MissingSectionError reports a section that a manifest names and that was not found.
type MissingSectionError struct {
	Name string
	Hash Hash
}

func (e *MissingSectionError) Error() string {
	return fmt.Sprintf("section %s with hash %s is missing", e.Name, e.Hash)
}

// SectionError reports a section that is not the one that its manifest names.
type SectionError struct {
	Name string
	Want Hash
	Got  Hash
	// ActualService is the service in the section when the hash is right and the name is not.
	ActualService string
}

func (e *SectionError) Error() string {
	if e.ActualService != "" {
		return fmt.Sprintf("section %s holds service %s", e.Name, e.ActualService)
	}
	return fmt.Sprintf("section %s has hash %s, not %s", e.Name, e.Got, e.Want)
}
