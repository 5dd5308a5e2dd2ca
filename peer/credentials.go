package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/timer"
)

const (
	// FleetName is a DNS name that makes a certificate valid for every process of the fleet.
	FleetName = "corianderbay"

	sessionCacheSize = 256 // TLS sessions
)

// CredentialsConfig names the PEM files of a process.
type CredentialsConfig struct {
	// Authority is the file with the CA certificates that sign the peers' certificates.
	Authority string
	// Certificate and Key are the files with the certificate and private key of this process.
	Certificate string
	Key         string
	// Timer is the timer service. Nil selects a new one with default settings.
	Timer *timer.Service
}

// Credentials holds the certificate of a process and the authorities by which
// it verifies its peers. Files that change are reloaded at the next handshake;
// if they cannot be used, the previous contents stay in use. It is safe for
// concurrent use.
type Credentials struct {
	cfg      CredentialsConfig // never changes after LoadCredentials
	sessions tls.ClientSessionCache

	mu        sync.Mutex
	modTimes  [3]time.Time // of the files at the last successful load
	identity  tls.Certificate
	pool      *x509.CertPool
	reloadErr error // result of the last reload; nil on success
}

// LoadCredentials reads the files that cfg names. It returns *CredentialsError.
func LoadCredentials(cfg CredentialsConfig) (*Credentials, error) {
	if cfg.Timer == nil {
		cfg.Timer = timer.New(timer.Config{})
	}
	c := &Credentials{cfg: cfg, sessions: tls.NewLRUClientSessionCache(sessionCacheSize)}
	c.reloadIfChanged()
	if c.reloadErr != nil {
		return nil, c.reloadErr
	}
	return c, nil
}

// NewCredentials returns credentials from PEM data that are never reloaded. It
// returns *CredentialsError.
func NewCredentials(authority []byte, keyPair KeyPair, timers *timer.Service) (*Credentials, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, &CredentialsError{What: "authority"}
	}
	identity, err := tls.X509KeyPair(keyPair.Certificate, keyPair.Key)
	if err != nil {
		return nil, &CredentialsError{What: "certificate", Cause: err}
	}
	return &Credentials{
		cfg:      CredentialsConfig{Timer: timers},
		sessions: tls.NewLRUClientSessionCache(sessionCacheSize),
		identity: identity,
		pool:     pool,
	}, nil
}

// Expiry returns the time at which the certificate in use expires, and the error
// of the last reload.
func (c *Credentials) Expiry() (time.Time, error) {
	c.reloadIfChanged()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.identity.Leaf.NotAfter, c.reloadErr
}

// reloadIfChanged loads the files if the modification time of any has changed.
func (c *Credentials) reloadIfChanged() {
	if c.cfg.Authority == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var modTimes [3]time.Time
	for i, name := range []string{c.cfg.Authority, c.cfg.Certificate, c.cfg.Key} {
		info, err := os.Stat(name)
		if err != nil {
			c.reloadErr = &CredentialsError{What: name, Cause: err}
			return
		}
		modTimes[i] = info.ModTime()
	}
	if modTimes == c.modTimes {
		return
	}
	c.reloadErr = c.load()
	if c.reloadErr == nil {
		c.modTimes = modTimes
	}
}

func (c *Credentials) load() error {
	authority, err := os.ReadFile(c.cfg.Authority)
	if err != nil {
		return &CredentialsError{What: c.cfg.Authority, Cause: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return &CredentialsError{What: c.cfg.Authority}
	}
	identity, err := tls.LoadX509KeyPair(c.cfg.Certificate, c.cfg.Key)
	if err != nil {
		return &CredentialsError{What: c.cfg.Certificate, Cause: err}
	}
	c.identity, c.pool = identity, pool
	return nil
}

// current returns the certificate and the authorities after reloading changed files.
func (c *Credentials) current() (*tls.Certificate, *x509.CertPool) {
	c.reloadIfChanged()
	c.mu.Lock()
	defer c.mu.Unlock()
	return &c.identity, c.pool
}

// serverConfig returns the TLS configuration for accepted connections. Each
// handshake uses the credentials that are current then.
func (c *Credentials) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		Time:       c.cfg.Timer.Now,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			identity, pool := c.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Time:         c.cfg.Timer.Now,
				Certificates: []tls.Certificate{*identity},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
			}, nil
		},
	}
}

// clientConfig returns the TLS configuration for dialled connections.
// Certificates contain names rather than addresses, so the standard host check
// is disabled: verifyChain checks the chain, and verifyPeerName checks the name
// that the peer sends in Hello.
func (c *Credentials) clientConfig() *tls.Config {
	identity, pool := c.current()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Time:               c.cfg.Timer.Now,
		Certificates:       []tls.Certificate{*identity},
		ClientSessionCache: c.sessions,
		ServerName:         FleetName,
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return verifyChain(s, pool, c.cfg.Timer.Now())
		},
	}
}

func verifyChain(s tls.ConnectionState, pool *x509.CertPool, now time.Time) error {
	if len(s.PeerCertificates) == 0 {
		return &CredentialsError{What: "peer certificate"}
	}
	opts := x509.VerifyOptions{
		Roots:         pool,
		Intermediates: x509.NewCertPool(),
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, cert := range s.PeerCertificates[1:] {
		opts.Intermediates.AddCert(cert)
	}
	if _, err := s.PeerCertificates[0].Verify(opts); err != nil {
		return &CredentialsError{What: "peer certificate", Cause: err}
	}
	return nil
}

// verifyPeerName returns *NameError unless the peer's certificate is valid for name.
func verifyPeerName(s tls.ConnectionState, name string) error {
	if len(s.PeerCertificates) == 0 {
		return &NameError{Name: name}
	}
	names := s.PeerCertificates[0].DNSNames
	if slices.Contains(names, name) || slices.Contains(names, FleetName) {
		return nil
	}
	return &NameError{Name: name}
}
