package bundle

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxValue is the size of a value that the platform holds, in bytes.
	MaxValue = 1_000_000
	// defaultMaxPartSize is the size of a part, in bytes.
	defaultMaxPartSize = 16 << 10
	// maxParts bounds the parts of one bundle.
	maxParts = 1024
)

// PublishConfig holds the sizes of published values. The zero value selects the defaults.
type PublishConfig struct {
	// MaxPartSize is the size in bytes from which sections are dealt out to more
	// parts, from 1 to MaxSection. Zero selects 16 KiB.
	MaxPartSize int
}

// Publication is a bundle as values for the platform. Parts are published
// before the index, so that a reader of the index finds them.
type Publication struct {
	// Index is the value that readers watch.
	Index []byte
	// Parts are values named by their hashes. A bundle that fits in one part has none: its sections stand in the index.
	Parts map[Hash][]byte
}

// namedSection is a section as a part holds it.
type namedSection struct {
	Name string `msgpack:"name"`
	Body []byte `msgpack:"body"`
}

// indexWire is the encoding of an index.
type indexWire struct {
	// Manifest lacks the entries: they follow from the sections.
	Manifest Manifest `msgpack:"manifest"`
	// Parts has a power of two of hashes, or none when Only is the one part.
	Parts      []Hash `msgpack:"parts,omitempty"`
	InlinePart []byte `msgpack:"only,omitempty"`
}

// Publish returns the values to publish. It reports *TooLargeError when a value
// is above MaxValue or no split into parts is small enough.
func Publish(f *Frozen, cfg PublishConfig) (*Publication, error) {
	parts, err := f.split(cmp.Or(cfg.MaxPartSize, defaultMaxPartSize))
	if err != nil {
		return nil, err
	}
	p := &Publication{Parts: make(map[Hash][]byte)}
	w := indexWire{Manifest: *f.manifest}
	w.Manifest.Entries = nil
	if len(parts) == 1 {
		w.InlinePart = parts[0]
		parts = nil
	}
	for _, raw := range parts {
		h := HashOf(raw)
		p.Parts[h] = raw
		w.Parts = append(w.Parts, h)
	}
	if p.Index, err = encode("index", w); err != nil {
		return nil, err
	}
	if len(p.Index) > MaxValue {
		return nil, &TooLargeError{What: "index", Size: len(p.Index), Max: MaxValue}
	}
	return p, nil
}

// split returns the fewest parts that are not larger than limit each.
func (f *Frozen) split(limit int) ([][]byte, error) {
	largest := 0
	for n := 1; n <= maxParts; n *= 2 {
		parts, err := f.parts(n)
		if err != nil {
			return nil, err
		}
		largest = len(slices.MaxFunc(parts, func(a, b []byte) int { return cmp.Compare(len(a), len(b)) }))
		if largest <= limit {
			return parts, nil
		}
	}
	return nil, &TooLargeError{What: "part", Size: largest, Max: limit}
}

// parts deals the sections out to n parts by the hashes of their names, so that
// a change of one section changes one part.
func (f *Frozen) parts(n int) ([][]byte, error) {
	groups := make([][]namedSection, n)
	for _, e := range f.manifest.Entries {
		i := int(xxhash.Sum64String(e.Name) % uint64(n))
		groups[i] = append(groups[i], namedSection{Name: e.Name, Body: f.sections[e.Hash]})
	}
	parts := make([][]byte, n)
	for i, sections := range groups {
		raw, err := encode("part", sections)
		if err != nil {
			return nil, err
		}
		parts[i] = raw
	}
	return parts, nil
}

// Index is the value that readers watch: all that is signed, and the names of
// the parts that hold the sections. It is immutable.
type Index struct {
	manifest   Manifest // without entries
	parts      []Hash   // at least one
	inlinePart []byte   // the one part when it stands in the index, or nil
}

// UnmarshalIndex decodes an index and checks that what is signed fits together.
// It does not check signatures: Verify does. It fails with *TooLargeError,
// *DecodeError, *ManifestError, *FaultsError or *PartCountError.
func UnmarshalIndex(b []byte) (*Index, error) {
	var w indexWire
	if err := decode("index", MaxValue, b, &w); err != nil {
		return nil, err
	}
	if w.Manifest.Entries != nil {
		return nil, &ManifestError{Part: "entries", Reason: "stand in the index"}
	}
	if err := w.Manifest.checkSigned(); err != nil {
		return nil, err
	}
	n := len(w.Parts)
	if n > maxParts || n&(n-1) != 0 || (n == 0) == (w.InlinePart == nil) {
		return nil, &PartCountError{Parts: n}
	}
	x := &Index{manifest: w.Manifest, parts: w.Parts, inlinePart: w.InlinePart}
	if w.InlinePart != nil {
		x.parts = []Hash{HashOf(w.InlinePart)}
	}
	return x, nil
}

// Verify judges what is signed like the function Verify, before any part is fetched.
func (x *Index) Verify(t Trust) error {
	return t.verify(&x.manifest)
}

// Missing returns the hashes of the parts to fetch, each once: those that differ
// from what base, which may be nil, would have there.
func (x *Index) Missing(base *Frozen) ([]Hash, error) {
	available, err := x.availableParts(base)
	if err != nil {
		return nil, err
	}
	var missing []Hash
	for _, h := range x.parts {
		if _, ok := available[h]; !ok && !slices.Contains(missing, h) {
			missing = append(missing, h)
		}
	}
	return missing, nil
}

// availableParts returns the parts that need no fetching by their hashes.
func (x *Index) availableParts(base *Frozen) (map[Hash][]byte, error) {
	available := make(map[Hash][]byte)
	if x.inlinePart != nil {
		available[x.parts[0]] = x.inlinePart
	}
	if base == nil {
		return available, nil
	}
	parts, err := base.parts(len(x.parts))
	if err != nil {
		return nil, err
	}
	for _, raw := range parts {
		available[HashOf(raw)] = raw
	}
	return available, nil
}

// Assemble joins the index with the parts that Missing named and those that
// base has. It fails with *MissingPartError, *PartError, *DecodeError or what
// the function Assemble reports, so that a half-published bundle is refused.
func (x *Index) Assemble(base *Frozen, fetched map[Hash][]byte) (*Frozen, error) {
	available, err := x.availableParts(base)
	if err != nil {
		return nil, err
	}
	m := x.manifest
	sections := make(map[Hash][]byte)
	for _, want := range x.parts {
		raw, ok := available[want]
		if !ok {
			raw, ok = fetched[want]
		}
		if !ok {
			return nil, &MissingPartError{Hash: want}
		}
		if got := HashOf(raw); got != want {
			return nil, &PartError{Want: want, Got: got}
		}
		if err := m.addPart(raw, sections); err != nil {
			return nil, err
		}
	}
	slices.SortFunc(m.Entries, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return Assemble(&m, func(h Hash) ([]byte, bool) {
		raw, ok := sections[h]
		return raw, ok
	})
}

// addPart adds the entries of a part to the manifest and its bodies to sections.
func (m *Manifest) addPart(raw []byte, sections map[Hash][]byte) error {
	var list []namedSection
	if err := decode("part", MaxFrozen, raw, &list); err != nil {
		return err
	}
	for _, s := range list {
		h := HashOf(s.Body)
		sections[h] = s.Body
		m.Entries = append(m.Entries, Entry{Name: s.Name, Hash: h, Size: len(s.Body)})
	}
	return nil
}

// PartCountError reports an index whose number of parts is no power of two, too
// high, or given besides the one part.
type PartCountError struct {
	Parts int
}

func (e *PartCountError) Error() string {
	return fmt.Sprintf("an index cannot have %d parts", e.Parts)
}

// MissingPartError reports a part that an index names and that was not fetched.
type MissingPartError struct {
	Hash Hash
}

func (e *MissingPartError) Error() string {
	return fmt.Sprintf("part %s is missing", e.Hash)
}

// PartError reports a part that is not the one that its index names.
type PartError struct {
	Want, Got Hash
}

func (e *PartError) Error() string {
	return fmt.Sprintf("part has hash %s, not %s", e.Got, e.Want)
}
