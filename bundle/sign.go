package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"slices"
)

// signatureContext keeps signatures of heads apart from any other use of a key.
const signatureContext = "corianderbay bundle head\x00"

// Sign returns the bundle with the approver's signature. When the bundle is
// signed under the policy that it carries itself, Sign reports
// *UnknownSignerError for an approver whom the policy lacks and
// *SignatureError for a key that is not the approver's. It reports *KeyError
// for a key of the wrong length.
func Sign(f *Frozen, approver string, key ed25519.PrivateKey) (*Frozen, error) {
	if len(key) != ed25519.PrivateKeySize {
		return nil, &KeyError{}
	}
	m := f.manifest
	if m.Head.Policy == m.Head.SignOff {
		if err := checkSigner(m, approver, key); err != nil {
			return nil, err
		}
	}
	message, err := signedMessage(m.Head)
	if err != nil {
		return nil, err
	}
	return f.WithSignature(Signature{Approver: approver, Bytes: ed25519.Sign(key, message)}), nil
}

// PublicKey returns the text form of a key's public half, as Approver.Key has it.
func PublicKey(key ed25519.PrivateKey) string {
	return base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey))
}

func checkSigner(m *Manifest, approver string, key ed25519.PrivateKey) error {
	i := slices.IndexFunc(m.SignOff.Approvers, func(a Approver) bool { return a.Name == approver })
	if i < 0 {
		return &UnknownSignerError{Approver: approver, Sequence: m.Head.Sequence}
	}
	if m.SignOff.Approvers[i].Key != PublicKey(key) {
		return &SignatureError{Approver: approver, Sequence: m.Head.Sequence}
	}
	return nil
}

func signedMessage(h Head) ([]byte, error) {
	b, err := encode("head", h)
	if err != nil {
		return nil, err
	}
	return append([]byte(signatureContext), b...), nil
}
