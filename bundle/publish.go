package bundle

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxValue is the maximum size of a value on the platform in bytes.
	MaxValue = 1_000_000
	// defaultMaxPartSize is the default of PublishConfig.MaxPartSize in bytes.
	defaultMaxPartSize = 16 << 10
	// maxParts is the maximum number of parts of a bundle.
	maxParts = 1024
)

// PublishConfig holds the sizes of published values. The zero value selects the defaults.
type PublishConfig struct {
	// MaxPartSize is the maximum size of a part in bytes, from 1 to MaxSection.
	// Sections are distributed over more parts when one is larger. Zero selects
	// 16 KiB.
	MaxPartSize int
}

// Publication is a bundle as values for the platform. Parts must be published
// before the index, so that a reader of the index finds them.
type Publication struct {
	// Index is the value that readers watch.
	Index []byte
	// Parts are the parts by hash. It is empty for a bundle that fits in one part,
	// whose sections are contained in the index.
	Parts map[Hash][]byte
}

// namedSection is the encoding of a section in a part.
type namedSection struct {
	Name string `msgpack:"name"`
	Body []byte `msgpack:"body"`
}

// indexWire is the encoding of an index.
type indexWire struct {
	// Manifest has no entries, because they can be computed from the sections.
	Manifest Manifest `msgpack:"manifest"`
	// Parts are the hashes of the parts. Their number is a power of two, or 0
	// when InlinePart is the only part.
	Parts      []Hash `msgpack:"parts,omitempty"`
	InlinePart []byte `msgpack:"only,omitempty"`
}

// Publish returns the values to publish. It fails with *TooLargeError when the
// index is larger than MaxValue, or when no number of parts keeps all of them
// within the maximum part size.
func Publish(f *Frozen, cfg PublishConfig) (*Publication, error) {
	parts, err := f.split(cmp.Or(cfg.MaxPartSize, defaultMaxPartSize))
	if err != nil {
		return nil, err
	}
	p := &Publication{Parts: make(map[Hash][]byte)}
	index := indexWire{Manifest: *f.manifest}
	index.Manifest.Entries = nil
	if len(parts) == 1 {
		index.InlinePart = parts[0]
		parts = nil
	}
	for _, raw := range parts {
		h := HashOf(raw)
		p.Parts[h] = raw
		index.Parts = append(index.Parts, h)
	}
	if p.Index, err = encode("index", index); err != nil {
		return nil, err
	}
	if len(p.Index) > MaxValue {
		return nil, &TooLargeError{What: "index", Size: len(p.Index), Max: MaxValue}
	}
	return p, nil
}

// split returns the sections in the smallest number of parts of which none is
// larger than limit bytes.
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

// parts distributes the sections over n parts by the hashes of their names, so
// that a change of one section changes one part.
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

// Index is the value that readers watch. It contains the manifest without its
// entries and the hashes of the parts that contain the sections. It is immutable.
type Index struct {
	manifest   Manifest // without entries
	parts      []Hash   // at least one
	inlinePart []byte   // the only part when the index contains it, or nil
}

// UnmarshalIndex decodes an index and checks that its manifest is consistent. It
// does not check signatures, which Verify does. It fails with *TooLargeError,
// *DecodeError, *ManifestError, *FaultsError or *PartCountError.
func UnmarshalIndex(b []byte) (*Index, error) {
	var decoded indexWire
	if err := decode("index", MaxValue, b, &decoded); err != nil {
		return nil, err
	}
	if decoded.Manifest.Entries != nil {
		return nil, &ManifestError{Part: "entries", Reason: "are not allowed in an index"}
	}
	if err := decoded.Manifest.checkSigned(); err != nil {
		return nil, err
	}
	n := len(decoded.Parts)
	if n > maxParts || n&(n-1) != 0 || (n == 0) == (decoded.InlinePart == nil) {
		return nil, &PartCountError{Parts: n}
	}
	x := &Index{manifest: decoded.Manifest, parts: decoded.Parts, inlinePart: decoded.InlinePart}
	if decoded.InlinePart != nil {
		x.parts = []Hash{HashOf(decoded.InlinePart)}
	}
	return x, nil
}

// Verify is like the function Verify for the manifest of the index. It can be
// called before any part is fetched.
func (x *Index) Verify(t Trust) error {
	return t.verify(&x.manifest)
}

// Missing returns the hashes of the parts to fetch, without duplicates. These are
// the parts that base, split into the same number of parts, does not contain.
// Base may be nil.
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

// availableParts returns the parts that need not be fetched, by hash.
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

// Assemble combines the index with the fetched parts, which Missing returned, and
// those of base. It fails with *MissingPartError, *PartError, *DecodeError or the
// errors of the function Assemble, so an incompletely published bundle is
// rejected.
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

// addPart adds the entries of an encoded part to the manifest and its bodies to
// sections.
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

// PartCountError reports an index whose number of parts is not a power of two or
// too high, or that has both or neither of parts and an inline part.
type PartCountError struct {
	Parts int
}

func (e *PartCountError) Error() string {
	return fmt.Sprintf("invalid number of parts in the index: %d", e.Parts)
}

// MissingPartError reports a part of an index that was not fetched.
type MissingPartError struct {
	Hash Hash
}

func (e *MissingPartError) Error() string {
	return fmt.Sprintf("part %s is missing", e.Hash)
}

// PartError reports a part whose hash differs from the one in the index.
type PartError struct {
	Want, Got Hash
}

func (e *PartError) Error() string {
	return fmt.Sprintf("part has hash %s, not %s", e.Got, e.Want)
}
