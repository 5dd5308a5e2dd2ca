package bundle

import (
	"fmt"
	"slices"
	"strings"
)

const (
	// MaxRotations is the maximum number of changes of the sign-off policy in a
	// manifest. Older ones are omitted.
	MaxRotations = 64
	// sectionDataCentres is the section of the data centres. The section of a
	// service is sectionService followed by the name of the service.
	sectionDataCentres = "datacentres"
	sectionService     = "service/"
)

// Head is the signed part of a bundle. It contains the hashes of everything else.
type Head struct {
	// Sequence is at least 1.
	Sequence uint64 `msgpack:"sequence"`
	// Previous is the hash of the previous bundle's head, zero for the first one.
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

// Hash returns the hash of the encoded head, which identifies the bundle.
func (h Head) Hash() (Hash, error) {
	return hashEncoded("head", h)
}

// Entry describes one section of a bundle.
type Entry struct {
	// Name is "datacentres", or "service/" followed by the name of a service.
	Name string `msgpack:"name"`
	Hash Hash   `msgpack:"hash"`
	// Size is the length of the section in bytes, from 1 to MaxSection.
	Size int `msgpack:"size"`
}

// Signature is the signature of a head by one approver.
type Signature struct {
	Approver string `msgpack:"approver"`
	// Bytes is the ed25519 signature.
	Bytes []byte `msgpack:"bytes"`
}

// Rotation proves one change of the sign-off policy: it holds the head of the
// bundle that changed the policy, signed under the old policy.
type Rotation struct {
	Head Head `msgpack:"head"`
	// SignOff is the new policy; Head.SignOff is its hash.
	SignOff SignOff `msgpack:"signoff"`
	// Signatures are sorted by approver, one per approver.
	Signatures []Signature `msgpack:"signatures"`
}

// Manifest lists the sections of a bundle and contains its head, sign-off policy
// and signatures. It is immutable once returned by Freeze or UnmarshalManifest.
type Manifest struct {
	Head Head `msgpack:"head"`
	// SignOff is the policy for the next bundle; Head.SignOff is its hash.
	SignOff SignOff `msgpack:"signoff"`
	// Entries are sorted by name, without duplicates.
	Entries []Entry `msgpack:"entries"`
	// Rotations are the last changes of the sign-off policy before this bundle,
	// oldest first, at most MaxRotations.
	Rotations []Rotation `msgpack:"rotations,omitempty"`
	// Signatures are sorted by approver, one per approver.
	Signatures []Signature `msgpack:"signatures,omitempty"`
}

// UnmarshalManifest decodes a manifest and checks that its parts are consistent.
// It does not check signatures, which Verify does. It fails with *TooLargeError,
// *DecodeError, *ManifestError or *FaultsError.
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

// Marshal returns the encoded manifest. It fails with *TooLargeError when the
// manifest is larger than MaxManifest.
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

// Missing returns the hashes of the sections for which have returns false,
// without duplicates.
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

// ManifestError reports a manifest whose parts are invalid or inconsistent.
type ManifestError struct {
	// Part is the invalid part, such as "entries".
	Part string
	// Reason is the predicate that completes the message after Part.
	Reason string
}

func (e *ManifestError) Error() string {
	return fmt.Sprintf("invalid manifest: %s %s", e.Part, e.Reason)
}

// check returns a *ManifestError, *TooLargeError or *FaultsError when the parts
// are invalid or inconsistent.
func (m *Manifest) check() error {
	if err := m.checkSigned(); err != nil {
		return err
	}
	if err := checkEntries(m.Entries); err != nil {
		return err
	}
	return matchHash("entries", m.Entries, m.Head.Entries)
}

// checkSigned is check without the entries. It covers all parts that are needed
// to verify the signatures.
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

// checkRotations checks that the rotations form a chain of policies that ends
// with the policy under which the manifest is signed.
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
			return &ManifestError{Part: "rotations", Reason: "do not form a chain"}
		}
		if r.Head.Sequence == 0 || r.Head.Sequence >= next.Sequence {
			return &ManifestError{Part: "rotations", Reason: "are not sorted by sequence"}
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
			return &ManifestError{Part: "entries", Reason: "are not sorted by name or contain duplicates"}
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
			return &ManifestError{Part: part, Reason: "are not sorted by approver or contain duplicates"}
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
