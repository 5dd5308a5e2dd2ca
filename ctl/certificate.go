package ctl

import (
	"crypto/ed25519"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"path/filepath"
	"time"

	"github.com/corianderbay/corianderbay/setting"
)

const (
	certificateType = "CERTIFICATE"
	authorityFile   = "ca.pem"
	authorityKey    = "ca.key"
	// commonPeerName is a DNS name in the certificate of every process besides its
	// own name, so that a process that dials an IP address can verify the other side.
	commonPeerName = "corianderbay"
	// clockSkew is the tolerated difference between the clocks of two processes.
	clockSkew = time.Hour
	day       = 24 * time.Hour
	// serialSize is the size of a serial number in bytes.
	serialSize = 16
)

// authority is a CA that signs the certificates of processes.
type authority struct {
	certificate *x509.Certificate
	key         ed25519.PrivateKey
}

// peerCertificates creates a certificate and a key for each name.
func (k *keyWriter) peerCertificates(names []string, ips []net.IP, days int) error {
	ca, err := k.ensureAuthority(days)
	if err != nil {
		return err
	}
	if err := k.ensureClusterKey(); err != nil {
		return err
	}
	for _, name := range names {
		if err := k.peerCertificate(ca, name, ips, days); err != nil {
			return err
		}
	}
	return nil
}

// ensureAuthority returns the CA of the folder. It creates one if there is none.
func (k *keyWriter) ensureAuthority(days int) (*authority, error) {
	file := filepath.Join(k.folder, authorityFile)
	if fileExists(file) {
		return k.loadAuthority(file)
	}
	key, err := k.newKey(authorityKey)
	if err != nil {
		return nil, err
	}
	template, err := k.template(commonPeerName+" CA", days)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	ca := &authority{certificate: template, key: key}
	ca.certificate, err = k.sign(ca, template, key, file)
	return ca, err
}

func (k *keyWriter) loadAuthority(file string) (*authority, error) {
	raw, err := k.streams.read(file)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(raw)
	if block == nil {
		return nil, &PrivateKeyError{File: file}
	}
	certificate, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return nil, inputError(file, err)
	}
	key, err := k.streams.loadKey(filepath.Join(k.folder, authorityKey))
	return &authority{certificate: certificate, key: key}, err
}

// peerCertificate creates the certificate and the key of one process.
func (k *keyWriter) peerCertificate(ca *authority, name string, ips []net.IP, days int) error {
	key, err := k.newKey(name + ".key")
	if err != nil {
		return err
	}
	template, err := k.template(name, days)
	if err != nil {
		return err
	}
	template.DNSNames = []string{name, commonPeerName}
	template.IPAddresses = ips
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	file := filepath.Join(k.folder, name+".pem")
	if _, err := k.sign(ca, template, key, file); err != nil {
		return err
	}
	return k.streams.printf("%s\n", file)
}

// template returns a template of a certificate that is valid from clockSkew before
// now until the given number of days after now.
func (k *keyWriter) template(name string, days int) (*x509.Certificate, error) {
	serial, err := k.randomBytes(serialSize)
	if err != nil {
		return nil, err
	}
	now := k.cfg.Timer.Now()
	return &x509.Certificate{
		SerialNumber: new(big.Int).SetBytes(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(time.Duration(days) * day),
	}, nil
}

// sign creates a certificate of key that is signed by ca and writes it to the file.
func (k *keyWriter) sign(ca *authority, template *x509.Certificate, key ed25519.PrivateKey, file string) (*x509.Certificate, error) {
	der, err := x509.CreateCertificate(k.cfg.Random, template, ca.certificate, key.Public(), ca.key)
	if err != nil {
		return nil, &EncodingError{What: file, Cause: err}
	}
	text := pem.EncodeToMemory(&pem.Block{Type: certificateType, Bytes: der})
	if err := k.streams.write(file, text, publicMode); err != nil {
		return nil, err
	}
	parsed, err := x509.ParseCertificate(der)
	return parsed, inputError(file, err)
}

// parseIPs reads the values of --ip.
func parseIPs(list []string) ([]net.IP, error) {
	var faults []*setting.ValueError
	var ips []net.IP
	for _, text := range list {
		addr, err := netip.ParseAddr(text)
		if err != nil {
			faults = append(faults, &setting.ValueError{
				Flag: "--ip", Variable: setting.EnvPrefix + "_IP", Value: text, Want: "an IP address",
			})
			continue
		}
		ips = append(ips, addr.AsSlice())
	}
	if len(faults) > 0 {
		return nil, &setting.FaultsError{Faults: faults}
	}
	return ips, nil
}
