package bundle

import (
	"crypto/ed25519"
	"fmt"
	"slices"
)

// Trust is the state against which a process verifies the next bundle: the
// bundle in force, or only the sign-off policy from the process's settings.
type Trust struct {
	// Sequence is the sequence of the bundle in force, 0 when there is none.
	Sequence uint64
	// Hash is the hash of the bundle in force, zero when there is none.
	Hash Hash
	// Policy is the sign-off policy for the next bundle.
	Policy SignOff

	// running is the bundle in force, or nil. Accept reuses the decoded sections
	// that the next bundle shares with it.
	running *Frozen
}

// Anchor returns the trust of a process that starts without a bundle. Policy is
// the sign-off policy from the process's settings.
func Anchor(policy SignOff) Trust {
	return Trust{Policy: policy}
}

// Trust returns the trust of a process in which the bundle f is in force.
func (f *Frozen) Trust() Trust {
	return Trust{Sequence: f.Sequence(), Hash: f.hash, Policy: f.manifest.SignOff, running: f}
}

// Accept returns the content of next when t allows it to become the bundle in
// force. The caller must not modify the content, because next keeps it and
// later bundles share the unchanged parts. Accept fails with the errors of
// Verify and Frozen.Decode.
func Accept(t Trust, next *Frozen) (*Bundle, error) {
	if err := Verify(t, next.manifest); err != nil {
		return nil, err
	}
	b, err := next.decodeAfter(t.running)
	if err != nil {
		return nil, err
	}
	next.accepted.Store(b)
	return b, nil
}

// Verify checks that the bundle of the manifest is newer than t and signed under
// the policy of t, or under a policy that a chain of signed rotations leads to.
// It fails with *StaleError, *ConflictError, *AnchorError, *UnknownSignerError,
// *SignatureError, *ApproversError or *ManifestError. A process calls it before
// it fetches sections.
func Verify(t Trust, m *Manifest) error {
	if err := m.check(); err != nil {
		return err
	}
	return t.verify(m)
}

// verify is Verify for a manifest that passed checkSigned. The entries may be
// missing.
func (t Trust) verify(m *Manifest) error {
	if err := t.checkNewer(m); err != nil {
		return err
	}
	start, err := t.firstRotation(m)
	if err != nil {
		return err
	}
	policy := t.Policy
	for _, r := range m.Rotations[start:] {
		if err := verifySignatures(policy, r.Head, r.Signatures); err != nil {
			return err
		}
		policy = r.SignOff
	}
	return verifySignatures(policy, m.Head, m.Signatures)
}

// checkNewer returns a *StaleError or *ConflictError unless the sequence of the
// manifest is greater than that of t.
func (t Trust) checkNewer(m *Manifest) error {
	if m.Head.Sequence > t.Sequence {
		return nil
	}
	h, err := m.Head.Hash()
	if err != nil {
		return err
	}
	if m.Head.Sequence == t.Sequence && h != t.Hash {
		return &ConflictError{Sequence: t.Sequence, Running: t.Hash, Next: h}
	}
	return &StaleError{Running: t.Sequence, Next: m.Head.Sequence, RunningHash: t.Hash, NextHash: h}
}

// firstRotation returns the index of the first rotation after t, or the number
// of rotations when none follows.
func (t Trust) firstRotation(m *Manifest) (int, error) {
	policyHash, err := hashEncoded("signoff", t.Policy)
	if err != nil {
		return 0, err
	}
	if t.Sequence > 0 {
		return t.firstRotationAfter(m, policyHash)
	}
	// A policy may be in force repeatedly. The last time needs the fewest rotations.
	for i := len(m.Rotations); i >= 0; i-- {
		if m.policyBefore(i) == policyHash {
			return i, nil
		}
	}
	return 0, &AnchorError{Policy: policyHash, Signed: m.Head.Policy}
}

// firstRotationAfter returns the index of the first rotation with a sequence
// greater than t.Sequence. policyHash is the hash of t.Policy.
func (t Trust) firstRotationAfter(m *Manifest, policyHash Hash) (int, error) {
	start := slices.IndexFunc(m.Rotations, func(r Rotation) bool { return r.Head.Sequence > t.Sequence })
	if start < 0 {
		start = len(m.Rotations)
	}
	if m.policyBefore(start) != policyHash {
		return 0, &AnchorError{Policy: policyHash, Signed: m.policyBefore(start)}
	}
	return start, nil
}

// policyBefore returns the hash of the policy in force before rotation i. If i
// is the number of rotations, it is the policy under which the bundle is signed.
func (m *Manifest) policyBefore(i int) Hash {
	if i < len(m.Rotations) {
		return m.Rotations[i].Head.Policy
	}
	return m.Head.Policy
}

// verifySignatures checks that enough approvers of the policy signed the head
// and that no one else did.
func verifySignatures(policy SignOff, h Head, signatures []Signature) error {
	message, err := signedMessage(h)
	if err != nil {
		return err
	}
	for _, s := range signatures {
		i := slices.IndexFunc(policy.Approvers, func(a Approver) bool { return a.Name == s.Approver })
		if i < 0 {
			return &UnknownSignerError{Approver: s.Approver, Sequence: h.Sequence}
		}
		key, err := policy.Approvers[i].publicKey()
		if err != nil {
			return err
		}
		if !ed25519.Verify(key, message, s.Bytes) {
			return &SignatureError{Approver: s.Approver, Sequence: h.Sequence}
		}
	}
	if len(signatures) < policy.Need || policy.Need < 1 {
		return &ApproversError{Have: len(signatures), Need: policy.Need, Sequence: h.Sequence}
	}
	return nil
}

// StaleError reports a bundle whose sequence is not greater than that of the
// bundle in force.
type StaleError struct {
	Running, Next         uint64
	RunningHash, NextHash Hash
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("bundle %d (%s) is not above bundle %d (%s)", e.Next, e.NextHash, e.Running, e.RunningHash)
}

// ConflictError reports a bundle with the sequence of the bundle in force and
// different content.
type ConflictError struct {
	Sequence uint64
	Running  Hash
	Next     Hash
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("bundle %d is in force with hash %s and conflicts with one that has hash %s", e.Sequence, e.Running, e.Next)
}

// AnchorError reports a bundle to whose sign-off policy no chain of rotations
// leads from the trusted policy.
type AnchorError struct {
	// Policy is the hash of the trusted policy.
	Policy Hash
	// Signed is the hash of the policy that the bundle claims instead: the one
	// under which it is signed, or the one after the bundle in force.
	Signed Hash
}

func (e *AnchorError) Error() string {
	return fmt.Sprintf("no rotations lead from the trusted sign-off policy %s to policy %s", e.Policy, e.Signed)
}

// UnknownSignerError reports a signature by someone who is not an approver of
// the policy.
type UnknownSignerError struct {
	Approver string
	Sequence uint64
}

func (e *UnknownSignerError) Error() string {
	return fmt.Sprintf("bundle %d is signed by %q, who is not an approver", e.Sequence, e.Approver)
}

// SignatureError reports a signature that does not match the bundle and the
// approver's key.
type SignatureError struct {
	Approver string
	Sequence uint64
}

func (e *SignatureError) Error() string {
	return fmt.Sprintf("the signature of %q for bundle %d is invalid", e.Approver, e.Sequence)
}

// ApproversError reports a bundle with too few signatures.
type ApproversError struct {
	Have, Need int
	Sequence   uint64
}

func (e *ApproversError) Error() string {
	return fmt.Sprintf("bundle %d is signed by %d approvers and needs %d", e.Sequence, e.Have, e.Need)
}
