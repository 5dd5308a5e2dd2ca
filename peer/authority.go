package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"
)

const (
	serialBits    = 120
	issueBackdate = time.Hour // tolerates clock skew between issuer and verifier
)

// Authority is a certificate authority for tests and demos.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

// KeyPair is a certificate and its private key, both in PEM.
type KeyPair struct{ Certificate, Key []byte }

// NewAuthority returns an Authority whose certificate expires at now+valid. It
// returns *CredentialsError.
func NewAuthority(now time.Time, valid time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, &CredentialsError{What: "key", Cause: err}
	}
	t, err := certificateTemplate("corianderbay trial authority", now, valid)
	if err != nil {
		return nil, err
	}
	t.IsCA, t.BasicConstraintsValid = true, true
	t.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, &CredentialsError{What: "certificate", Cause: err}
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, &CredentialsError{What: "certificate", Cause: err}
	}
	return &Authority{cert: cert, key: key, pem: encodePEM("CERTIFICATE", der)}, nil
}

// PEM returns the authority's certificate in PEM.
func (a *Authority) PEM() []byte {
	return a.pem
}

// Issue returns a certificate for the process with the given name, or for every
// process when name is FleetName. The certificate expires at now+valid. Issue
// returns *CredentialsError.
func (a *Authority) Issue(name string, now time.Time, valid time.Duration) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, &CredentialsError{What: "key", Cause: err}
	}
	t, err := certificateTemplate(name, now, valid)
	if err != nil {
		return KeyPair{}, err
	}
	t.DNSNames = []string{name}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return KeyPair{}, &CredentialsError{What: "certificate", Cause: err}
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, &CredentialsError{What: "key", Cause: err}
	}
	return KeyPair{Certificate: encodePEM("CERTIFICATE", der), Key: encodePEM("PRIVATE KEY", keyDER)}, nil
}

func certificateTemplate(name string, now time.Time, valid time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, &CredentialsError{What: "serial number", Cause: err}
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-issueBackdate),
		NotAfter:     now.Add(valid),
	}, nil
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
