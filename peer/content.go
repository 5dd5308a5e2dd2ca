package peer

import (
	"crypto/sha256"
	"encoding/json"
	"maps"
	"slices"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/configservice"
	"github.com/corianderbay/corianderbay/converge"
	"github.com/corianderbay/corianderbay/wire"
)

func versionOf(f *bundle.Frozen) converge.Version {
	v := converge.Version{Sequence: f.Sequence()}
	h := f.Hash()
	copy(v.Hash[:], h[:])
	return v
}

// bundleDocument converts a frozen bundle to a document. The head is the
// manifest without its entries, which the receiver derives from the sections.
func bundleDocument(f *bundle.Frozen) (*document, error) {
	d := &document{kind: converge.KindBundle, version: versionOf(f), sections: make(map[string]section)}
	for _, e := range f.Manifest().Entries {
		body, ok := f.Section(e.Hash)
		if !ok {
			return nil, &ContentError{What: e.Name}
		}
		d.sections[e.Name] = newSection(body)
	}
	m := *f.Manifest()
	m.Entries = nil
	head, err := wire.Encode(m)
	if err != nil {
		return nil, err
	}
	d.head = head
	return d, nil
}

// frozenBundle assembles a bundle from d. It returns an error unless the content
// matches the hash of d's version.
func frozenBundle(d *document) (*bundle.Frozen, error) {
	m := new(bundle.Manifest)
	if err := wire.Decode(d.head, m); err != nil {
		return nil, err
	}
	m.Entries = nil
	bodies := make(map[bundle.Hash][]byte, len(d.sections))
	for _, name := range d.names() {
		body := d.sections[name].body
		h := bundle.HashOf(body)
		bodies[h] = body
		m.Entries = append(m.Entries, bundle.Entry{Name: name, Hash: h, Size: len(body)})
	}
	f, err := bundle.Assemble(m, func(h bundle.Hash) ([]byte, bool) {
		body, ok := bodies[h]
		return body, ok
	})
	if err != nil {
		return nil, err
	}
	if versionOf(f) != d.version {
		return nil, &ContentError{What: "bundle"}
	}
	return f, nil
}

// listDocument converts an instance list to a document with one section per instance.
func listDocument(l configservice.InstanceList) (*document, error) {
	d := &document{kind: converge.KindList, sections: make(map[string]section, len(l.Instances))}
	for _, i := range l.Instances {
		body, err := json.Marshal(i)
		if err != nil {
			return nil, &ContentError{What: i.Name}
		}
		d.sections[i.Name] = newSection(body)
	}
	d.version = listVersion(l.Index, d.sections)
	return d, nil
}

// instancesOf decodes the instances of d. It returns an error unless the content
// matches the hash of d's version.
func instancesOf(d *document) ([]configservice.Instance, error) {
	if listVersion(d.version.Sequence, d.sections) != d.version {
		return nil, &ContentError{What: "list"}
	}
	instances := make([]configservice.Instance, 0, len(d.sections))
	for _, name := range slices.Sorted(maps.Keys(d.sections)) {
		var i configservice.Instance
		if err := wire.DecodeJSON(d.sections[name].body, &i); err != nil {
			return nil, &ContentError{What: name}
		}
		if err := i.Check(); err != nil {
			return nil, err
		}
		instances = append(instances, i)
	}
	return instances, nil
}

// listVersion returns the version of a list. Its sequence is the platform's
// index, which is 0 while the platform holds no list.
func listVersion(index uint64, sections map[string]section) converge.Version {
	h := sha256.New()
	for _, name := range slices.Sorted(maps.Keys(sections)) {
		h.Write(sections[name].body)
		h.Write([]byte{0})
	}
	v := converge.Version{Sequence: index}
	copy(v.Hash[:], h.Sum(nil))
	return v
}
