package peer_test

import (
	"errors"
	"os"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/peer"
	"github.com/shoenig/test/must"
)

// TestCertificateOfUnknownAuthorityIsRejected starts a node with a certificate of another
// authority: it never hears of a bundle from the others.
func TestCertificateOfUnknownAuthorityIsRejected(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.await(f.publish(), f.nodes...)
	authority, err := peer.NewAuthority(f.timer.Now(), certificateLife)
	must.NoError(t, err)
	f.cert = f.issue(authority, "node-02")
	foreign := f.add("node-02", "dc0")
	f.publishList()
	f.await(f.publish(), f.nodes...) // from the platform
	f.sleep(time.Second)
	must.Eq(t, 0, foreign.Status().Peers)
	must.Eq(t, 1, f.nodes[0].Status().Peers)
}

// TestCertificateMustMatchName starts a node under a name that its certificate lacks.
func TestCertificateMustMatchName(t *testing.T) {
	f := newFleet(t, 0, 2)
	authority, err := peer.NewAuthority(f.timer.Now(), certificateLife)
	must.NoError(t, err)
	for _, name := range []string{"node-00", "node-01", "other"} {
		f.cert = f.issue(authority, name)
		if name == "other" {
			name = "node-02"
		}
		f.add(name, "dc0")
	}
	f.publishList()
	f.await(f.publish(), f.nodes...)
	f.sleep(time.Second)
	must.Eq(t, 1, f.nodes[0].Status().Peers)
	must.Eq(t, 0, f.nodes[2].Status().Peers)
}

// TestCredentialsReload replaces the files, first by a good certificate and then by a broken one.
func TestCredentialsReload(t *testing.T) {
	f := newFleet(t, 0, 2)
	c, err := peer.LoadCredentials(f.cert)
	must.NoError(t, err)
	before, err := c.Expiry()
	must.NoError(t, err)

	authority, err := peer.NewAuthority(f.timer.Now(), 2*certificateLife)
	must.NoError(t, err)
	issued, err := authority.Issue(peer.FleetName, f.timer.Now(), 2*certificateLife)
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(f.cert.Key, issued.Key, 0o600))
	must.NoError(t, os.WriteFile(f.cert.Certificate, issued.Certificate, 0o600))
	later := f.timer.Now().Add(time.Second)
	must.NoError(t, os.Chtimes(f.cert.Certificate, later, later))
	after, err := c.Expiry()
	must.NoError(t, err)
	must.True(t, after.After(before))

	must.NoError(t, os.WriteFile(f.cert.Certificate, []byte("broken"), 0o600))
	kept, err := c.Expiry()
	var bad *peer.CredentialsError
	must.True(t, errors.As(err, &bad))
	must.Eq(t, after, kept)
}

// TestNewNodeReportsMissingField leaves out required fields.
func TestNewNodeReportsMissingField(t *testing.T) {
	_, err := peer.NewNode(peer.Config{Name: "a"})
	var bad *peer.ConfigError
	must.True(t, errors.As(err, &bad))
	must.Eq(t, "DataCentre", bad.Field)
}
