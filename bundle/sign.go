package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"slices"
)

// signatureContext is a prefix of signed messages that prevents a signature of a
// head from being valid for any other use of the key.
const signatureContext = "corianderbay bundle head\x00"

// Sign returns the bundle with the approver's signature added. For a bundle that
// is signed under its own policy, Sign fails with *UnknownSignerError when the
// policy does not list the approver, and with *SignatureError when the key is not
// the approver's. It fails with *KeyError for a key of the wrong length.
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

// PublicKey returns the public key of a private key in the form of Approver.Key.
func PublicKey(key ed25519.PrivateKey) string {
	return base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey))
}

// checkSigner checks that the manifest's own policy lists the approver with the
// given key.
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
