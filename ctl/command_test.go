package ctl_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/corianderbay/corianderbay/ctl"
	"github.com/corianderbay/corianderbay/setting"
	"github.com/shoenig/test/must"
	"github.com/spf13/cobra"
)

// run executes a command line and returns its exit code, standard output and
// standard error.
func run(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	root := ctl.NewCommand(ctl.Config{Version: "1.2.3"})
	root.SetArgs(args)
	root.SetOut(&stdout)
	root.SetErr(&stderr)
	code = setting.Execute(t.Context(), root)
	return code, stdout.String(), stderr.String()
}

// succeed executes a command line that must exit with 0 and returns its output.
func succeed(t *testing.T, args ...string) string {
	t.Helper()
	code, out, errOut := run(t, args...)
	must.Eq(t, 0, code, must.Sprint(strings.Join(args, " "), "\n", errOut))
	return out
}

// createSignedBundle creates keys of sari and budi and the signed bundle 7 in a
// new working directory.
func createSignedBundle(t *testing.T) {
	t.Helper()
	text, err := os.ReadFile("../bundle/testdata/valid.yaml")
	must.NoError(t, err)
	t.Chdir(t.TempDir())
	approvers := succeed(t, "key", "new", "sari", "budi")
	_, rest, ok := strings.Cut(string(text), "datacentres:")
	must.True(t, ok)
	authored := "sequence: 7\nsignoff:\n  need: 1\n  approvers:\n" + approvers + "datacentres:" + rest
	must.NoError(t, os.WriteFile("bundle.yaml", []byte(authored), 0o644))
	succeed(t, "bundle", "freeze", "bundle.yaml", "--out", "7.frozen")
	succeed(t, "bundle", "sign", "7.frozen", "--approver", "sari", "--key", "sari.key", "--out", "7.frozen")
}

func TestRollForwardAndBack(t *testing.T) {
	createSignedBundle(t)
	must.StrContains(t, succeed(t, "bundle", "verify", "7.frozen", "--anchor", "bundle.yaml"), "signed by 1")
	must.StrHasPrefix(t, "CORIANDERBAY_APPROVERS=sari:", succeed(t, "bundle", "anchor", "7.frozen"))

	authored, err := os.ReadFile("bundle.yaml")
	must.NoError(t, err)
	next := strings.NewReplacer("sequence: 7", "sequence: 8", "weight: 100", "weight: 500", "callers: [10.2", "callers: [10.3").Replace(string(authored))
	next = strings.Replace(next, "          - {name: fitting-2, sidecar: \"10.9.0.2:4789\"}\n", "", 1)
	must.NoError(t, os.WriteFile("8.yaml", []byte(next), 0o644))
	succeed(t, "bundle", "carry", "7.frozen", "8.yaml", "--out", "8.yaml")
	succeed(t, "bundle", "freeze", "8.yaml", "--previous", "7.frozen", "--out", "8.frozen")

	code, _, errOut := run(t, "bundle", "verify", "8.frozen", "--running", "7.frozen")
	must.Eq(t, setting.ExitFailure, code)
	must.StrContains(t, errOut, "signed by 0 approvers and needs 1")
	succeed(t, "bundle", "sign", "8.frozen", "--approver", "budi", "--key", "budi.key", "--out", "8.frozen")
	succeed(t, "bundle", "verify", "8.frozen", "--running", "7.frozen")

	diff := succeed(t, "bundle", "diff", "7.frozen", "8.frozen")
	must.StrContains(t, diff, "weight of fitting-1: 100 to 500")
	must.StrContains(t, diff, "leaving: fitting-2")
	must.StrContains(t, diff, "new flows that start elsewhere: ")

	succeed(t, "bundle", "rollback", "8.frozen", "7.frozen", "--out", "9.yaml")
	check := succeed(t, "bundle", "check", "9.yaml")
	must.StrContains(t, check, "bundle 9, 2 services, 3 upstreams")
	must.StrContains(t, check, "note: no more than half of the approvers must sign")
	must.StrContains(t, check, "note: service report has no rule")
	must.StrContains(t, check, "note: service report has no upstream that takes new flows")
	must.StrContains(t, succeed(t, "bundle", "diff", "7.frozen", "9.yaml"), "no difference")
	must.StrContains(t, succeed(t, "bundle", "show", "8.frozen"), "leaving: true")

	succeed(t, "bundle", "publish", "8.frozen", "--out", "values")
	values, err := filepath.Glob("values/*")
	must.NoError(t, err)
	must.Eq(t, []string{"values/bundle"}, values, must.Sprint("a small bundle fits into one value"))
}

func TestBadInput(t *testing.T) {
	createSignedBundle(t)
	authored, err := os.ReadFile("bundle.yaml")
	must.NoError(t, err)
	bad := strings.NewReplacer("port: 443", "port: 0", "idle: 10m", "idel: 10m").Replace(string(authored))
	must.NoError(t, os.WriteFile("bad.yaml", []byte(bad), 0o644))
	tests := []struct {
		args string
		want []string
	}{
		{"bundle check bad.yaml", []string{"bad.yaml:18: services[0].idel: unknown field", "bad.yaml:33: services[1].addresses[0].port: 0 is out of range 1 to 65535"}},
		{"bundle check none.yaml", []string{"cannot read none.yaml"}},
		{"bundle sign bundle.yaml --approver sari --key sari.key", []string{"not a frozen bundle"}},
		{"bundle sign 7.frozen --key none.key", []string{"--approver (CORIANDERBAY_APPROVER) must be set", `--key (CORIANDERBAY_KEY): "none.key"`}},
		{"bundle sign 7.frozen --approver sari --key bundle.yaml", []string{"no ed25519 private key"}},
		{"bundle verify 7.frozen", []string{"--running (CORIANDERBAY_RUNNING)"}},
		{"bundle diff 7.frozen bundle.yaml --samples 0", []string{`"0" is not a whole number in the range 1 to 100000`}},
		{"bundle freeze bundle.yaml --previous 7.frozen", []string{"is not above bundle 7"}},
		{"bundle check", []string{"accepts 1 arg"}},
		{"bundle check bundle.yaml --loud", []string{"unknown flag: --loud"}},
		{"key new sari", []string{"sari.key already exists"}},
		{"key new p --peer --ip 10.0.0", []string{`--ip (CORIANDERBAY_IP): "10.0.0" is not an IP address`}},
		{"bundle chek", []string{"corianderctl bundle has no command \"chek\""}},
		{"nothing", []string{"unknown command"}},
	}
	for _, tt := range tests {
		t.Run(tt.args, func(t *testing.T) {
			code, _, errOut := run(t, strings.Fields(tt.args)...)
			must.Eq(t, setting.ExitUsage, code)
			for _, want := range tt.want {
				must.StrContains(t, errOut, want)
			}
		})
	}
}

func TestStatus(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"process":"b1","role":"balancer","version":7,"hash":"0123456789abcdef","uptime":61.5,"flows":12,"ready":true}`))
	}))
	defer s.Close()
	address := strings.TrimPrefix(s.URL, "http://")
	must.RegexMatch(t, regexp.MustCompile(`b1 +balancer +7 +0123456789ab +1m1s +12 +true`), succeed(t, "status", address))

	code, out, errOut := run(t, "status", address, "127.0.0.1:1", "--json")
	must.Eq(t, setting.ExitFailure, code)
	must.StrContains(t, errOut, "no status from 127.0.0.1:1")
	var results []struct{ Address, Fault string }
	must.NoError(t, json.Unmarshal([]byte(out), &results))
	must.Eq(t, "", results[0].Fault)
	must.NotEq(t, "", results[1].Fault)
}

func TestVersion(t *testing.T) {
	must.Eq(t, "corianderctl 1.2.3\n", succeed(t, "version"))
}

func TestEveryCommandHasExample(t *testing.T) {
	var visit func(cmd *cobra.Command)
	visit = func(cmd *cobra.Command) {
		for _, sub := range cmd.Commands() {
			must.StrHasPrefix(t, "  corianderctl "+strings.TrimPrefix(sub.CommandPath(), "corianderctl "), sub.Example)
			visit(sub)
		}
	}
	visit(ctl.NewCommand(ctl.Config{}))
}
