package bundle

import (
	"fmt"
	"slices"
	"strings"
)

const (
	// MaxRotations is how many changes of the sign-off policy a manifest carries. Older ones are left out.
	MaxRotations = 64
	// sectionDataCentres and the names of services after sectionService are the names of sections.
	sectionDataCentres = "datacentres"
	sectionService     = "service/"
)

// Head is what approvers sign. It commits to everything else in a bundle by hash.
type Head struct {
	// Sequence is at least 1.
	Sequence uint64 `msgpack:"sequence"`
	// Previous is the hash of the head that this bundle was made from; zero for the first one.
	Previous Hash `msgpack:"previous"`
	// Policy is the hash of the sign-off policy under which this bundle is signed.
	Policy Hash `msgpack:"policy"`
	// SignOff is the hash of the sign-off policy for the next bundle.
	SignOff Hash `msgpack:"signoff"`
	// Entries is the hash of the encoded entries of the manifest.
	Entries Hash `msgpack:"entries"`
	// Rotations is the hash of the encoded rotations of the manifest.
	Rotations Hash `msgpack:"rotations"`
}

// Hash returns the hash that identifies a bundle.
func (h Head) Hash() (Hash, error) {
	return hashEncoded("head", h)
}

// Entry names one section of a bundle.
type Entry struct {
	// Name is "datacentres", or "service/" and the name of a service.
	Name string `msgpack:"name"`
	Hash Hash   `msgpack:"hash"`
	// Size is the length of the section in bytes, from 1 to MaxSection.
	Size int `msgpack:"size"`
}

// Signature is one approver's signature of a head.
type Signature struct {
	Approver string `msgpack:"approver"`
	// Bytes is an ed25519 signature.
	Bytes []byte `msgpack:"bytes"`
}

// Rotation is the evidence for one change of the sign-off policy: the head of
// the bundle that brought it, signed under the policy before.
type Rotation struct {
	Head Head `msgpack:"head"`
	// SignOff is the new policy; Head.SignOff is its hash.
	SignOff SignOff `msgpack:"signoff"`
	// Signatures are in the order of the approvers' names, each once.
	Signatures []Signature `msgpack:"signatures"`
}

// Manifest lists the sections of a bundle and carries its sign-off. It is
// immutable once made by Freeze or UnmarshalManifest.
type Manifest struct {
	Head Head `msgpack:"head"`
	// SignOff is the policy for the next bundle; Head.SignOff is its hash.
	SignOff SignOff `msgpack:"signoff"`
	// Entries are in the order of their names, each once.
	Entries []Entry `msgpack:"entries"`
	// Rotations has the changes of policy before this bundle, oldest first, at most MaxRotations.
	Rotations []Rotation `msgpack:"rotations,omitempty"`
	// Signatures are in the order of the approvers' names, each once.
	Signatures []Signature `msgpack:"signatures,omitempty"`
}

// UnmarshalManifest decodes a manifest and checks that its parts fit each
// other. It does not check signatures: Verify does. It fails with
// *TooLargeError, *DecodeError or *ManifestError.
func UnmarshalManifest(b []byte) (*Manifest, error) {
	m := new(Manifest)
	if err := decode("manifest", MaxManifest, b, m); err != nil {
		return nil, err
	}
	if err := m.check(); err != nil {
		return nil, err
	}
	return m, nil
}

// Marshal returns the encoded manifest. It reports *TooLargeError above MaxManifest.
func (m *Manifest) Marshal() ([]byte, error) {
	b, err := encode("manifest", m)
	if err != nil {
		return nil, err
	}
	if len(b) > MaxManifest {
		return nil, &TooLargeError{What: "manifest", Size: len(b), Max: MaxManifest}
	}
	return b, nil
}

// Missing returns the hashes of the sections for which have returns false, each once.
func (m *Manifest) Missing(have func(Hash) bool) []Hash {
	var missing []Hash
	seen := make(map[Hash]bool)
	for _, e := range m.Entries {
		if seen[e.Hash] || have(e.Hash) {
			continue
		}
		seen[e.Hash] = true
		missing = append(missing, e.Hash)
	}
	return missing
}

// ManifestError reports a manifest whose parts do not fit each other.
type ManifestError struct {
	// Part names the part, as in "entries".
	Part string
	// Reason says what is wrong with it.
	Reason string
}

func (e *ManifestError) Error() string {
	return fmt.Sprintf("broken manifest: %s %s", e.Part, e.Reason)
}

// check reports *ManifestError, *TooLargeError or *FaultsError when the parts do not fit each other.
func (m *Manifest) check() error {
	if err := m.checkSigned(); err != nil {
		return err
	}
	if err := checkEntries(m.Entries); err != nil {
		return err
	}
	return matchHash("entries", m.Entries, m.Head.Entries)
}

// checkSigned is check without the entries: what signatures are judged by.
func (m *Manifest) checkSigned() error {
	if m.Head.Sequence == 0 {
		return &ManifestError{Part: "sequence", Reason: "is zero"}
	}
	if err := checkSignatures("signatures", m.Signatures); err != nil {
		return err
	}
	if err := checkSignOff(m.SignOff); err != nil {
		return err
	}
	if err := m.checkRotations(); err != nil {
		return err
	}
	if err := matchHash("signoff", m.SignOff, m.Head.SignOff); err != nil {
		return err
	}
	return matchHash("rotations", m.Rotations, m.Head.Rotations)
}

// checkRotations checks that the policies follow each other up to the one under which the manifest is signed.
func (m *Manifest) checkRotations() error {
	if len(m.Rotations) > MaxRotations {
		return &ManifestError{Part: "rotations", Reason: "are too many"}
	}
	next := m.Head
	for _, r := range slices.Backward(m.Rotations) {
		if err := r.check(); err != nil {
			return err
		}
		if r.Head.SignOff != next.Policy {
			return &ManifestError{Part: "rotations", Reason: "do not follow each other"}
		}
		if r.Head.Sequence == 0 || r.Head.Sequence >= next.Sequence {
			return &ManifestError{Part: "rotations", Reason: "are not in the order of their sequences"}
		}
		next = r.Head
	}
	return nil
}

func (r Rotation) check() error {
	if err := checkSignOff(r.SignOff); err != nil {
		return err
	}
	if err := checkSignatures("rotation signatures", r.Signatures); err != nil {
		return err
	}
	return matchHash("rotation signoff", r.SignOff, r.Head.SignOff)
}

func checkEntries(entries []Entry) error {
	if len(entries) > MaxServices+1 {
		return &ManifestError{Part: "entries", Reason: "are too many"}
	}
	total := 0
	for i, e := range entries {
		if i > 0 && entries[i-1].Name >= e.Name {
			return &ManifestError{Part: "entries", Reason: "are not in the order of their names"}
		}
		if e.Name != sectionDataCentres && !strings.HasPrefix(e.Name, sectionService) {
			return &ManifestError{Part: "entry " + e.Name, Reason: "has an unknown name"}
		}
		if e.Size < 1 || e.Size > MaxSection {
			return &TooLargeError{What: "section " + e.Name, Size: e.Size, Max: MaxSection}
		}
		total += e.Size
	}
	if total > MaxFrozen {
		return &TooLargeError{What: "bundle", Size: total, Max: MaxFrozen}
	}
	return nil
}

func checkSignatures(part string, list []Signature) error {
	for i, s := range list {
		if i > 0 && list[i-1].Approver >= s.Approver {
			return &ManifestError{Part: part, Reason: "are not in the order of the approvers' names"}
		}
	}
	return nil
}

func matchHash(part string, v any, want Hash) error {
	got, err := hashEncoded(part, v)
	if err != nil {
		return err
	}
	if got != want {
		return &ManifestError{Part: part, Reason: "do not match the hash in the head"}
	}
	return nil
}

func hashEncoded(what string, v any) (Hash, error) {
	b, err := encode(what, v)
	if err != nil {
		return Hash{}, err
	}
	return HashOf(b), nil
}
