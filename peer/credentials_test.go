package peer_test

import (
	"errors"
	"os"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/peer"
	"github.com/shoenig/test/must"
)

// TestCertificateOfUnknownAuthorityIsRejected starts a node whose certificate
// another authority signed. It must not be able to connect to the other nodes.
func TestCertificateOfUnknownAuthorityIsRejected(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.awaitBundle(f.publish(), f.nodes...)
	authority, err := peer.NewAuthority(f.timer.Now(), certificateLifetime)
	must.NoError(t, err)
	f.credentials = f.issue(authority, "node-02")
	rejected := f.add("node-02", "dc0")
	f.publishList()
	f.awaitBundle(f.publish(), f.nodes...) // the rejected node reads it from the platform
	f.sleep(time.Second)
	must.Eq(t, 0, rejected.Status().Peers)
	must.Eq(t, 1, f.nodes[0].Status().Peers)
}

// TestCertificateMustMatchName starts a node under a name that its certificate
// does not contain. The other nodes must reject it.
func TestCertificateMustMatchName(t *testing.T) {
	f := newFleet(t, 0, 2)
	authority, err := peer.NewAuthority(f.timer.Now(), certificateLifetime)
	must.NoError(t, err)
	for _, name := range []string{"node-00", "node-01", "other"} {
		f.credentials = f.issue(authority, name)
		if name == "other" {
			name = "node-02"
		}
		f.add(name, "dc0")
	}
	f.publishList()
	f.awaitBundle(f.publish(), f.nodes...)
	f.sleep(time.Second)
	must.Eq(t, 1, f.nodes[0].Status().Peers)
	must.Eq(t, 0, f.nodes[2].Status().Peers)
}

// TestCredentialsReload replaces the files by a valid certificate, which must be
// used, and then by an invalid one, which must not replace it.
func TestCredentialsReload(t *testing.T) {
	f := newFleet(t, 0, 2)
	c, err := peer.LoadCredentials(f.credentials)
	must.NoError(t, err)
	before, err := c.Expiry()
	must.NoError(t, err)

	authority, err := peer.NewAuthority(f.timer.Now(), 2*certificateLifetime)
	must.NoError(t, err)
	issued, err := authority.Issue(peer.FleetName, f.timer.Now(), 2*certificateLifetime)
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(f.credentials.Key, issued.Key, 0o600))
	must.NoError(t, os.WriteFile(f.credentials.Certificate, issued.Certificate, 0o600))
	later := f.timer.Now().Add(time.Second)
	must.NoError(t, os.Chtimes(f.credentials.Certificate, later, later))
	after, err := c.Expiry()
	must.NoError(t, err)
	must.True(t, after.After(before))

	must.NoError(t, os.WriteFile(f.credentials.Certificate, []byte("broken"), 0o600))
	kept, err := c.Expiry()
	var credentialsErr *peer.CredentialsError
	must.True(t, errors.As(err, &credentialsErr))
	must.Eq(t, after, kept)
}

func TestNewNodeReportsMissingField(t *testing.T) {
	_, err := peer.NewNode(peer.Config{Name: "a"})
	var configErr *peer.ConfigError
	must.True(t, errors.As(err, &configErr))
	must.Eq(t, "DataCentre", configErr.Field)
}
