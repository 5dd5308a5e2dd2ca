package ctl

import (
	"context"
	"crypto/ed25519"
	"crypto/x509"
	"encoding/hex"
	"encoding/pem"
	"io"
	"os"
	"path/filepath"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/setting"
	"github.com/spf13/cobra"
)

const (
	privateKeyType = "PRIVATE KEY"
	// clusterKeySize is the size of the key of the forward protocol in bytes.
	clusterKeySize = 32
	clusterKeyFile = "cluster.key"
	maxDays        = 825
)

func newKeyCommand(cfg Config) commandSpec {
	set := setting.NewSet()
	out := set.String("out", ".", "The folder to write to.")
	peer := set.Bool("peer", false, "Create certificates for processes, and a CA and a cluster key unless the folder has them.")
	days := set.Int("days", 90, 1, maxDays, "days", "How long certificates are valid.")
	ips := set.Strings("ip", "", "IP addresses in each certificate besides the name, separated by commas.")
	asJSON := set.Bool("json", false, "Print JSON.")
	return commandSpec{
		group:   "key",
		use:     "new NAME...",
		short:   "Create approvers' keys, or certificates for processes",
		example: "key new sari --out keys",
		args:    cobra.MinimumNArgs(1),
		set:     set,
		run: func(_ context.Context, s ioStreams, args []string) error {
			if err := makeFolder(*out); err != nil {
				return err
			}
			k := &keyWriter{cfg: cfg, streams: s, folder: *out}
			if !*peer {
				return k.approverKeys(args, *asJSON)
			}
			addresses, err := parseIPs(*ips)
			if err != nil {
				return err
			}
			return k.peerCertificates(args, addresses, *days)
		},
	}
}

// publicKey is the public key of an approver.
type publicKey struct {
	Name string `json:"name"`
	Key  string `json:"key"`
}

// keyWriter writes keys and certificates to a folder.
type keyWriter struct {
	cfg     Config
	streams ioStreams
	folder  string
}

// approverKeys creates a key pair for each name and prints the public keys as
// entries of a sign-off policy, with the indentation of a bundle file.
func (k *keyWriter) approverKeys(names []string, asJSON bool) error {
	list := make([]publicKey, 0, len(names))
	for _, name := range names {
		private, err := k.newKey(name + ".key")
		if err != nil {
			return err
		}
		list = append(list, publicKey{Name: name, Key: bundle.PublicKey(private)})
	}
	if asJSON {
		return k.streams.printJSON(list)
	}
	for _, a := range list {
		if err := k.streams.printf("    - {name: %s, key: %q}\n", a.Name, a.Key); err != nil {
			return err
		}
	}
	return nil
}

// newKey creates a private key and writes it to a new file.
func (k *keyWriter) newKey(file string) (ed25519.PrivateKey, error) {
	seed, err := k.randomBytes(ed25519.SeedSize)
	if err != nil {
		return nil, err
	}
	private := ed25519.NewKeyFromSeed(seed)
	der, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, &EncodingError{What: file, Cause: err}
	}
	return private, k.writeNew(file, pem.EncodeToMemory(&pem.Block{Type: privateKeyType, Bytes: der}))
}

// ensureClusterKey writes the key of the forward protocol in hexadecimal, unless
// the folder has one.
func (k *keyWriter) ensureClusterKey() error {
	if fileExists(filepath.Join(k.folder, clusterKeyFile)) {
		return nil
	}
	key, err := k.randomBytes(clusterKeySize)
	if err != nil {
		return err
	}
	return k.writeNew(clusterKeyFile, []byte(hex.EncodeToString(key)+"\n"))
}

func (k *keyWriter) randomBytes(n int) ([]byte, error) {
	b := make([]byte, n)
	if _, err := io.ReadFull(k.cfg.Random, b); err != nil {
		return nil, &EncodingError{What: "random bytes", Cause: err}
	}
	return b, nil
}

// writeNew writes a secret to a new file. It returns *KeyExistsError if the file exists.
func (k *keyWriter) writeNew(name string, b []byte) error {
	file := filepath.Join(k.folder, name)
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, privateMode)
	if os.IsExist(err) {
		return &KeyExistsError{File: file}
	}
	if err != nil {
		return writeError(file, err)
	}
	_, err = f.Write(b)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return writeError(file, err)
}

// loadKey reads a private key in the format of newKey.
func (s ioStreams) loadKey(file string) (ed25519.PrivateKey, error) {
	raw, err := s.read(file)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(raw)
	if block == nil || block.Type != privateKeyType {
		return nil, &PrivateKeyError{File: file}
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, &PrivateKeyError{File: file}
	}
	private, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, &PrivateKeyError{File: file}
	}
	return private, nil
}

func makeFolder(folder string) error {
	return writeError(folder, os.MkdirAll(folder, folderMode))
}

func fileExists(file string) bool {
	_, err := os.Stat(file)
	return err == nil
}
