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
	// FleetName in a certificate speaks for every process of the fleet.
	FleetName = "corianderbay"

	sessionCache = 256
)

// CredentialsConfig names the PEM files of a process.
type CredentialsConfig struct {
	// Authority is the file with the certificates that peers' certificates follow from.
	Authority string
	// Certificate and Key are the files of this process.
	Certificate string
	Key         string
	// Timer is the timer service. Nil selects one on the process clock.
	Timer *timer.Service
}

// Credentials holds what a process proves itself with. Files that change are
// read again at the next handshake; when they cannot be used, the ones read
// before stay. It is safe for concurrent use.
type Credentials struct {
	cfg      CredentialsConfig // never changes after LoadCredentials
	sessions tls.ClientSessionCache

	mu       sync.Mutex
	stamps   [3]time.Time // of the files when they were last read
	identity tls.Certificate
	pool     *x509.CertPool
	failed   error // of the last reload
}

// LoadCredentials reads the files. It reports *CredentialsError.
func LoadCredentials(cfg CredentialsConfig) (*Credentials, error) {
	if cfg.Timer == nil {
		cfg.Timer = timer.New(timer.Config{})
	}
	c := &Credentials{cfg: cfg, sessions: tls.NewLRUClientSessionCache(sessionCache)}
	c.refresh()
	if c.failed != nil {
		return nil, c.failed
	}
	return c, nil
}

// NewCredentials returns credentials that come from memory and never change.
// It reports *CredentialsError.
func NewCredentials(authority []byte, own KeyPair, timers *timer.Service) (*Credentials, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, &CredentialsError{What: "authority"}
	}
	identity, err := tls.X509KeyPair(own.Certificate, own.Key)
	if err != nil {
		return nil, &CredentialsError{What: "certificate", Cause: err}
	}
	return &Credentials{
		cfg:      CredentialsConfig{Timer: timers},
		sessions: tls.NewLRUClientSessionCache(sessionCache),
		identity: identity,
		pool:     pool,
	}, nil
}

// Expiry returns when the certificate in use expires, and the error of the last reload.
func (c *Credentials) Expiry() (time.Time, error) {
	c.refresh()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.identity.Leaf.NotAfter, c.failed
}

// refresh reads files that changed.
func (c *Credentials) refresh() {
	if c.cfg.Authority == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var stamps [3]time.Time
	for i, name := range []string{c.cfg.Authority, c.cfg.Certificate, c.cfg.Key} {
		info, err := os.Stat(name)
		if err != nil {
			c.failed = &CredentialsError{What: name, Cause: err}
			return
		}
		stamps[i] = info.ModTime()
	}
	if stamps == c.stamps {
		return
	}
	c.failed = c.read()
	if c.failed == nil {
		c.stamps = stamps
	}
}

func (c *Credentials) read() error {
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

// current returns the identity and the authorities in use.
func (c *Credentials) current() (*tls.Certificate, *x509.CertPool) {
	c.refresh()
	c.mu.Lock()
	defer c.mu.Unlock()
	return &c.identity, c.pool
}

// server returns the TLS settings of the side that accepts.
func (c *Credentials) server() *tls.Config {
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

// client returns the TLS settings of the side that dials. The name of the peer
// is not known to its certificate's issuer by address, so the chain is checked
// here and the name after Hello.
func (c *Credentials) client() *tls.Config {
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

// speaksFor reports *NameError unless the peer's certificate speaks for name.
func speaksFor(s tls.ConnectionState, name string) error {
	if len(s.PeerCertificates) == 0 {
		return &NameError{Name: name}
	}
	names := s.PeerCertificates[0].DNSNames
	if slices.Contains(names, name) || slices.Contains(names, FleetName) {
		return nil
	}
	return &NameError{Name: name}
}
