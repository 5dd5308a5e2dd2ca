package bundle

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxValue is the size of a value that the platform holds, in bytes.
	MaxValue = 1_000_000
	// defaultPart is the size of a part, in bytes.
	defaultPart = 128 << 10
	// maxParts bounds the parts of one bundle.
	maxParts = 1024
)

// PublishConfig holds the sizes of published values. The zero value selects the defaults.
type PublishConfig struct {
	// Part is the largest size of a part, from 1 to MaxValue bytes. Zero
	// selects 128 KiB. A bundle whose sections fit in one part has none: they
	// stand in the index.
	Part int
}

// Publication is a bundle as values for the platform. Parts are published
// before the index, so that a reader of the index finds them.
type Publication struct {
	// Index is the value that readers watch.
	Index []byte
	// Parts are values named by their hashes.
	Parts map[Hash][]byte
}

// Index is the value that readers watch: the manifest, and either the sections
// or the names of the parts that hold them. It is immutable.
type Index struct {
	manifest *Manifest
	parts    []Hash          // empty when the sections stand in the index
	sections map[Hash][]byte // empty when parts hold the sections
}

// indexWire is the encoding of an index.
type indexWire struct {
	Manifest []byte   `msgpack:"manifest"`
	Parts    []Hash   `msgpack:"parts,omitempty"`
	Sections [][]byte `msgpack:"sections,omitempty"`
}

// Publish returns the values to publish. It reports *TooLargeError when the
// index is above MaxValue or no split into parts is small enough.
func Publish(f *Frozen, cfg PublishConfig) (*Publication, error) {
	limit := cfg.Part
	if limit == 0 {
		limit = defaultPart
	}
	limit = min(limit, MaxValue)
	manifest, err := f.manifest.Marshal()
	if err != nil {
		return nil, err
	}
	p := &Publication{Parts: make(map[Hash][]byte)}
	w := indexWire{Manifest: manifest}
	parts, err := f.split(limit)
	if err != nil {
		return nil, err
	}
	if len(parts) == 1 {
		w.Sections = parts[0]
		parts = nil
	}
	for _, sections := range parts {
		raw, err := encode("part", sections)
		if err != nil {
			return nil, err
		}
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

// split deals the sections out to a power of two of parts by their names, so
// that a change of one section changes one part.
func (f *Frozen) split(limit int) ([][][]byte, error) {
	largest := 0
	for n := 1; n <= maxParts; n *= 2 {
		parts := make([][][]byte, n)
		sizes := make([]int, n)
		for _, e := range f.manifest.Entries {
			i := partOf(e.Name, n)
			parts[i] = append(parts[i], f.sections[e.Hash])
			sizes[i] += e.Size
		}
		largest = 0
		for _, size := range sizes {
			largest = max(largest, size)
		}
		if largest <= limit {
			return parts, nil
		}
	}
	return nil, &TooLargeError{What: "part", Size: largest, Max: limit}
}

// partOf returns the part of n, a power of two, that holds the section of the name.
func partOf(name string, n int) int {
	return int(xxhash.Sum64String(name) % uint64(n))
}

// UnmarshalIndex decodes an index. It fails with *TooLargeError, *DecodeError, *ManifestError or *PartsError.
func UnmarshalIndex(b []byte) (*Index, error) {
	var w indexWire
	if err := decode("index", MaxValue, b, &w); err != nil {
		return nil, err
	}
	m, err := UnmarshalManifest(w.Manifest)
	if err != nil {
		return nil, err
	}
	n := len(w.Parts)
	if n > maxParts || n&(n-1) != 0 || n > 0 && len(w.Sections) > 0 {
		return nil, &PartsError{Parts: n}
	}
	return &Index{manifest: m, parts: w.Parts, sections: sectionsByHash(w.Sections)}, nil
}

// Manifest returns the manifest, which Verify judges before parts are fetched.
func (x *Index) Manifest() *Manifest {
	return x.manifest
}

// Missing returns the hashes of the parts that hold sections for which have returns false, each once.
func (x *Index) Missing(have func(Hash) bool) []Hash {
	if len(x.parts) == 0 {
		return nil
	}
	var missing []Hash
	seen := make(map[Hash]bool)
	for _, e := range x.manifest.Entries {
		h := x.parts[partOf(e.Name, len(x.parts))]
		if have(e.Hash) || seen[h] {
			continue
		}
		seen[h] = true
		missing = append(missing, h)
	}
	return missing
}

// Assemble joins the index with sections that the caller has and with the parts
// that Missing named. It fails with *PartError, *TooLargeError, *DecodeError
// or what the function Assemble reports, so that a half-published bundle is refused.
func (x *Index) Assemble(have func(Hash) ([]byte, bool), parts map[Hash][]byte) (*Frozen, error) {
	fetched := make(map[Hash][]byte)
	for want, raw := range parts {
		if got := HashOf(raw); got != want {
			return nil, &PartError{Want: want, Got: got}
		}
		var sections [][]byte
		if err := decode("part", 2*MaxValue, raw, &sections); err != nil {
			return nil, err
		}
		for h, section := range sectionsByHash(sections) {
			fetched[h] = section
		}
	}
	return Assemble(x.manifest, func(h Hash) ([]byte, bool) {
		for _, held := range []map[Hash][]byte{x.sections, fetched} {
			if raw, ok := held[h]; ok {
				return raw, true
			}
		}
		return have(h)
	})
}

func sectionsByHash(list [][]byte) map[Hash][]byte {
	byHash := make(map[Hash][]byte, len(list))
	for _, raw := range list {
		byHash[HashOf(raw)] = raw
	}
	return byHash
}

// PartsError reports an index whose number of parts is no power of two, too high, or given besides sections.
type PartsError struct {
	Parts int
}

func (e *PartsError) Error() string {
	return fmt.Sprintf("an index cannot have %d parts", e.Parts)
}

// PartError reports a part that is not the one that its index names.
type PartError struct {
	Want, Got Hash
}

func (e *PartError) Error() string {
	return fmt.Sprintf("part has hash %s, not %s", e.Got, e.Want)
}
