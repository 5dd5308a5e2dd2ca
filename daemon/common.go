package daemon

import (
	"encoding/hex"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/forward"
	"github.com/corianderbay/corianderbay/instance"
	"github.com/corianderbay/corianderbay/peer"
	"github.com/corianderbay/corianderbay/setting"
)

const (
	maxDrain   = 24 * time.Hour
	maxWorkers = 64
)

// commonSettings is what every process of the system is given.
type commonSettings struct {
	name       *string
	dataCentre *string
	platform   *string
	operator   *netip.AddrPort
	control    *netip.AddrPort
	authority  *string
	cert       *string
	certKey    *string
	keyFile    *string
	approvers  *[]string
	approvals  *int
	level      *string
}

// declareCommon declares the settings that balancers and sidecars share.
func declareCommon(s *setting.Set) commonSettings {
	c := commonSettings{
		name:       s.String("name", "", "name of the instance; for a sidecar, of its upstream in the bundle"),
		dataCentre: s.String("datacentre", "", "data centre that the process runs in"),
		platform:   s.String("platform", "", "base URL of the platform, like http://127.0.0.1:8500"),
		operator:   s.Address("operator-address", "127.0.0.1:0", "where /health, /status and /debug/vars answer"),
		control:    s.Address("control-address", "127.0.0.1:0", "where peers exchange bundles and instance lists"),
		authority:  s.File("ca-file", "", "file with the certificates of the authority that peers' certificates follow from"),
		cert:       s.File("certificate-file", "", "file with the certificate of the process"),
		certKey:    s.File("certificate-key-file", "", "file with the private key of the certificate"),
		keyFile:    s.File("key-file", "", "file with the cluster key, 64 hexadecimal digits"),
		approvers:  s.Strings("approvers", "", "first approvers of bundles, each as name:public-key"),
		approvals:  s.Int("approvals", 1, 1, 100, "signatures", "how many of the first approvers must sign"),
		level:      s.Choice("log-level", "info", logLevels(), "least level of the events that are logged"),
	}
	s.Require("name", "datacentre", "platform", "key-file", "approvers", "ca-file", "certificate-file", "certificate-key-file")
	return c
}

// config returns the settings of a process. It reports *KeyFileError,
// *ApproverError or *peer.CredentialsError.
func (c commonSettings) config() (instance.Config, error) {
	key, err := readKey(*c.keyFile)
	if err != nil {
		return instance.Config{}, err
	}
	anchor, err := parseAnchor(*c.approvers, *c.approvals)
	if err != nil {
		return instance.Config{}, err
	}
	credentials, err := peer.LoadCredentials(peer.CredentialsConfig{
		Authority:   *c.authority,
		Certificate: *c.cert,
		Key:         *c.certKey,
	})
	if err != nil {
		return instance.Config{}, err
	}
	return instance.Config{
		Name:        *c.name,
		DataCentre:  *c.dataCentre,
		Platform:    *c.platform,
		Operator:    *c.operator,
		Control:     *c.control,
		Credentials: credentials,
		Key:         key,
		Anchor:      anchor,
		Log:         newLog(*c.level, *c.name),
	}, nil
}

// readKey reads a cluster key.
func readKey(path string) ([]byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &KeyFileError{Path: path, Cause: err}
	}
	key, err := hex.DecodeString(strings.TrimSpace(string(raw)))
	if err != nil {
		return nil, &KeyFileError{Path: path, Cause: err}
	}
	if len(key) != forward.KeySize {
		return nil, &KeyFileError{Path: path, Cause: &forward.KeyError{Size: len(key)}}
	}
	return key, nil
}

// parseAnchor returns the sign-off policy that entries like "name:key" describe.
func parseAnchor(entries []string, need int) (bundle.SignOff, error) {
	policy := bundle.SignOff{Need: need}
	for _, entry := range entries {
		name, key, ok := strings.Cut(entry, ":")
		if !ok || name == "" || key == "" {
			return bundle.SignOff{}, &ApproverError{Entry: entry}
		}
		policy.Approvers = append(policy.Approvers, bundle.Approver{Name: name, Key: key})
	}
	if need > len(policy.Approvers) {
		return bundle.SignOff{}, &ApproverError{Entry: "approvals"}
	}
	return policy, nil
}
