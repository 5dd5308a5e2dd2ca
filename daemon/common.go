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

// commonSettings holds the settings that balancers and sidecars share.
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

// declareCommon declares the common settings in s.
func declareCommon(s *setting.Set) commonSettings {
	c := commonSettings{
		name:       s.String("name", "", "name of the instance; for a sidecar, the name of its upstream in the bundle"),
		dataCentre: s.String("datacentre", "", "data centre that the process runs in"),
		platform:   s.String("platform", "", "base URL of the platform, for example http://127.0.0.1:8500"),
		operator:   s.Address("operator-address", "127.0.0.1:0", "address that serves /health, /status and /debug/vars"),
		control:    s.Address("control-address", "127.0.0.1:0", "address where peers exchange bundles and instance lists"),
		authority:  s.File("ca-file", "", "file with the certificates of the authority that signs the certificates of peers"),
		cert:       s.File("certificate-file", "", "file with the certificate of the process"),
		certKey:    s.File("certificate-key-file", "", "file with the private key of the certificate"),
		keyFile:    s.File("key-file", "", "file with the cluster key, 64 hexadecimal digits"),
		approvers:  s.Strings("approvers", "", "initial approvers of bundles, each as name:public-key"),
		approvals:  s.Int("approvals", 1, 1, 100, "signatures", "how many of the initial approvers must sign"),
		level:      s.Choice("log-level", "info", logLevels(), "lowest level of the events that are logged"),
	}
	s.Require("name", "datacentre", "platform", "key-file", "approvers", "ca-file", "certificate-file", "certificate-key-file")
	return c
}

// config returns the configuration of a process. It returns a *KeyFileError, an
// *ApproverError or a *peer.CredentialsError if a setting is unusable.
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

// readKey reads the cluster key from a file. It returns a *KeyFileError.
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

// parseAnchor returns the sign-off policy with the approvers in entries, each as
// "name:key". It returns an *ApproverError.
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
