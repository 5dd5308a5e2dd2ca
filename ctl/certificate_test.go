package ctl_test

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"net"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc"
)

// TestPeerCertificatesAuthenticateBothSides checks that certificates that were
// created by two runs allow a handshake in which both sides authenticate.
func TestPeerCertificatesAuthenticateBothSides(t *testing.T) {
	t.Chdir(t.TempDir())
	succeed(t, "key", "new", "b1", "--peer", "--ip", "127.0.0.1")
	succeed(t, "key", "new", "s1", "--peer")

	key, err := os.ReadFile("cluster.key")
	must.NoError(t, err)
	raw, err := hex.DecodeString(strings.TrimSpace(string(key)))
	must.NoError(t, err)
	must.Len(t, 32, raw)

	near, far := net.Pipe()
	server := tls.Server(far, tlsConfig(t, "b1"))
	var wg conc.WaitGroup
	wg.Go(func() {
		if server.Handshake() == nil {
			_, _ = server.Write([]byte("x"))
		}
	})
	client := tlsConfig(t, "s1")
	client.ServerName = "corianderbay"
	conn := tls.Client(near, client)
	_, err = conn.Read(make([]byte, 1))
	must.NoError(t, err)
	must.NoError(t, near.Close())
	wg.Wait()
	must.NoError(t, conn.ConnectionState().PeerCertificates[0].VerifyHostname("127.0.0.1"))
}

func tlsConfig(t *testing.T, name string) *tls.Config {
	t.Helper()
	pair, err := tls.LoadX509KeyPair(name+".pem", name+".key")
	must.NoError(t, err)
	ca, err := os.ReadFile("ca.pem")
	must.NoError(t, err)
	pool := x509.NewCertPool()
	must.True(t, pool.AppendCertsFromPEM(ca))
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}
}
