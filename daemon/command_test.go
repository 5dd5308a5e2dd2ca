package daemon_test

import (
	"bytes"
	"testing"

	"github.com/corianderbay/corianderbay/daemon"
	"github.com/corianderbay/corianderbay/setting"
	"github.com/shoenig/test/must"
)

// TestEveryCommandHasAnExample checks all commands and their subcommands.
func TestEveryCommandHasAnExample(t *testing.T) {
	for _, c := range daemon.NewCommand().Commands() {
		must.StrContains(t, c.Example, "corianderbay "+c.Name())
		for _, sub := range c.Commands() {
			must.StrContains(t, sub.Example, "corianderbay "+c.Name()+" "+sub.Name())
		}
	}
}

// TestAllInvalidSettingsAreReported starts a balancer with several invalid
// settings: the error must contain all of them, not only the first.
func TestAllInvalidSettingsAreReported(t *testing.T) {
	root := daemon.NewCommand()
	var out bytes.Buffer
	root.SetErr(&out)
	root.SetArgs([]string{"balancer", "--mtu", "3", "--drain", "soon", "--workers", "1000"})
	must.Eq(t, setting.ExitUsage, setting.Execute(t.Context(), root))
	for _, want := range []string{"--name", "--gateway", "--key-file", `--mtu (CORIANDERBAY_MTU): "3"`, "576 to 65507", `"soon"`, "--workers", "1 to 64"} {
		must.StrContains(t, out.String(), want)
	}
}

// TestCallerReportsInvalidTarget starts the caller stand-in with targets that
// cannot be parsed.
func TestCallerReportsInvalidTarget(t *testing.T) {
	for _, target := range []string{"fitting", "fitting=icmp:198.51.100.1:7", "fitting=tcp:nowhere"} {
		root := daemon.NewCommand()
		var out bytes.Buffer
		root.SetErr(&out)
		root.SetArgs([]string{"standin", "caller", "--targets", target})
		must.Eq(t, setting.ExitUsage, setting.Execute(t.Context(), root))
		must.StrContains(t, out.String(), target)
	}
}
