package daemon_test

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/daemon"
	"github.com/corianderbay/corianderbay/platform/standin"
	"github.com/corianderbay/corianderbay/setting"
	"github.com/shoenig/test/must"
)

const runningConfig = `{"version": 7,
 "routes": [
  {"name": "r-3", "host": "198.18.0.1", "prefix": "/8443/", "timeout_ms": 1000, "service": "fitting"},
  {"name": "r-5", "host": "198.18.0.1", "prefix": "/8080/", "timeout_ms": 1000, "service": "fitting"}],
 "services": [{"name": "fitting"}, {"name": "report"}], "limits": {}}`

const nextConfig = `{"version": 8,
 "routes": [
  {"name": "r-3", "host": "198.18.0.1", "prefix": "/8443/", "timeout_ms": 1000, "target_latency_ms": 1001,
   "split": [{"service": "report", "weight": 1},
             {"service": "fitting", "weight": 0}]}],
 "services": [{"name": "fitting"}, {"name": "report"}], "limits": {}}`

const wantText = `next.json:3: error: routes[0].target_latency_ms: objective 1.001s is above timeout 1s (objective)
next.json:5: warning: routes[0].split[1].weight: service "fitting" has a weight of 0 and receives no flows (weight)
route r-3: new flows go to report; open flows stay
route r-3: objective changes from 0s to 1.001s; no flow moves
route r-5 is removed: its open flows are dropped; new flows are refused
next.json: version 8 after 7, differences: 3, errors: 1, warnings: 1
`

const wantJSON = `{
  "file": "next.json",
  "version": 8,
  "current": 7,
  "findings": [
    {
      "severity": "error",
      "code": "objective",
      "line": 3,
      "field": "routes[0].target_latency_ms",
      "text": "objective 1.001s is above timeout 1s"
    },
    {
      "severity": "warning",
      "code": "weight",
      "line": 5,
      "field": "routes[0].split[1].weight",
      "text": "service \"fitting\" has a weight of 0 and receives no flows"
    }
  ],
  "compared": true,
  "differences": [
    "route r-3: new flows go to report; open flows stay",
    "route r-3: objective changes from 0s to 1.001s; no flow moves",
    "route r-5 is removed: its open flows are dropped; new flows are refused"
  ]
}
`

// checkConfig runs the command in a folder with the files running.json and next.json.
func checkConfig(t *testing.T, next string, args ...string) (code int, out, errOut string) {
	t.Helper()
	t.Chdir(t.TempDir())
	must.NoError(t, os.WriteFile("running.json", []byte(runningConfig), 0o600))
	must.NoError(t, os.WriteFile("next.json", []byte(next), 0o600))
	root := daemon.NewCommand()
	var stdout, stderr bytes.Buffer
	root.SetOut(&stdout)
	root.SetErr(&stderr)
	root.SetArgs(append([]string{"platform", "check-config"}, args...))
	code = setting.Execute(t.Context(), root)
	return code, stdout.String(), stderr.String()
}

// TestCheckConfigOutput guards the two formats of the output, which scripts read.
func TestCheckConfigOutput(t *testing.T) {
	for output, want := range map[string]string{"text": wantText, "json": wantJSON} {
		code, out, errOut := checkConfig(t, nextConfig, "next.json", "--against", "running.json", "--output", output)
		must.Eq(t, want, out)
		must.Eq(t, "next.json must not be sent, errors: 1\n", errOut)
		must.Eq(t, setting.ExitFailure, code)
	}
}

// TestCheckConfigExitCodes guards against scripts that send a configuration with
// errors, or take unreadable input for one.
func TestCheckConfigExitCodes(t *testing.T) {
	newer := strings.Replace(runningConfig, "7", "8", 1)
	for name, c := range map[string]struct {
		next string
		args []string
		want int
	}{
		"clean":              {newer, []string{"next.json", "--against", "running.json"}, 0},
		"alone":              {newer, []string{"next.json"}, 0},
		"warning":            {strings.Replace(newer, `"report"`, `"fitting"`, 1), []string{"next.json"}, 0},
		"same version":       {runningConfig, []string{"next.json", "--against", "running.json"}, setting.ExitFailure},
		"syntax":             {"{", []string{"next.json"}, setting.ExitFailure},
		"missing file":       {newer, []string{"other.json"}, setting.ExitUsage},
		"missing in force":   {newer, []string{"next.json", "--against", "other.json"}, setting.ExitUsage},
		"malformed in force": {"{", []string{"running.json", "--against", "next.json"}, setting.ExitUsage},
		"missing settings":   {newer, []string{"next.json", "--settings", "other.json"}, setting.ExitUsage},
		"malformed settings": {newer, []string{"next.json", "--settings", "running.json"}, setting.ExitUsage},
		"format":             {newer, []string{"next.json", "--output", "yaml"}, setting.ExitUsage},
		"no file":            {newer, nil, setting.ExitUsage},
	} {
		t.Run(name, func(t *testing.T) {
			code, out, errOut := checkConfig(t, c.next, c.args...)
			must.Eq(t, c.want, code, must.Sprint(out, errOut))
		})
	}
}

// storeSettings are settings of a process whose store has the address %s.
const storeSettings = `{"node": "front-1", "zone": "jateng-a", "zones": {"jateng-a": "jateng"}, "ip": "10.1.0.13",
 "listen": {"datagram_addr": "10.1.0.13:8172", "ready": "10.1.0.13:8167"}, "internal_ports": [7720, 7735],
 "bounds": {"grace_s": 6, "max_flow_s": 60}, "forwarding_mode": "agent", "platform": {"address": "%s"}}`

// TestCheckConfigReadsTheStore guards against a check that ignores the version in force
// or the upstreams of the store, or continues when the store cannot be reached.
func TestCheckConfigReadsTheStore(t *testing.T) {
	store := standin.NewStore()
	store.Put("op/config", []byte(runningConfig))
	store.PublishUpstream(standin.Entry{ID: "u", Service: "report", Address: netip.MustParseAddrPort("10.1.0.9:80"), DataCentre: "jateng-a", Born: time.Unix(1_700_000_000, 0)})
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	settings := filepath.Join(t.TempDir(), "boot.json")
	must.NoError(t, os.WriteFile(settings, fmt.Appendf(nil, storeSettings, server.Listener.Addr()), 0o600))
	next := strings.NewReplacer(
		`"target_latency_ms": 1001`, `"allowed_regions": ["jatim"]`,
		`{"service": "fitting", "weight": 0}`, `{"service": "other", "weight": 1}`,
	).Replace(nextConfig)
	code, out, _ := checkConfig(t, next, "next.json", "--settings", settings)
	must.Eq(t, setting.ExitFailure, code)
	must.Eq(t, `next.json:3: error: routes[0].allowed_regions[0]: route r-3 has no upstream in region "jatim" (homes)
next.json:5: error: routes[0].split[1].service: service "other" has no entry and no upstream serves it (service)
route r-3: new flows go to other 50%, report 50% instead of fitting, which moves 100% of them; open flows stay
route r-3: new flows go to regions jatim instead of all regions; open flows stay, those in other regions only while a balancer remembers them
route r-5 is removed: its open flows are dropped; new flows are refused
next.json: version 8 after 7, differences: 3, errors: 2, warnings: 0
`, out)

	server.Close()
	code, _, errOut := checkConfig(t, next, "next.json", "--settings", settings)
	must.Eq(t, setting.ExitUsage, code)
	must.StrContains(t, errOut, "cannot read the store")
}
