package setting_test

import (
	"bytes"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/setting"
	"github.com/shoenig/test/must"
	"github.com/spf13/cobra"
)

// values are the settings that these tests declare.
type values struct {
	listen  *netip.AddrPort
	peers   *[]netip.AddrPort
	wait    *time.Duration
	shards  *int
	share   *float64
	trace   *bool
	level   *string
	keyFile *string
}

// command returns a command with settings, which Execute fills in.
func command(args ...string) (*cobra.Command, *values, *bytes.Buffer) {
	s := setting.NewSet()
	v := &values{
		listen:  s.Address("listen-address", "127.0.0.1:4789", "Where to listen."),
		peers:   s.Addresses("peers", "", "Who to ask."),
		wait:    s.Duration("wait", 5*time.Second, time.Second, time.Minute, "How long to wait."),
		shards:  s.Int("shards", 16, 1, 256, "shards", "How many shards."),
		share:   s.Float("share", 0.5, 0, 1, "", "The share."),
		trace:   s.Bool("trace", false, "Trace."),
		level:   s.Choice("level", "info", []string{"info", "debug"}, "Level of logs."),
		keyFile: s.File("key-file", "", "Key."),
	}
	s.Require("listen-address")
	cmd := &cobra.Command{Use: "trial", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return s.Check() }}
	out := new(bytes.Buffer)
	cmd.SetErr(out)
	cmd.SetOut(out)
	cmd.SetArgs(args)
	if err := s.Bind(cmd); err != nil {
		panic(err)
	}
	return cmd, v, out
}

func TestDefaultsFlagsAndVariables(t *testing.T) {
	t.Setenv("CORIANDERBAY_WAIT", "7s")
	t.Setenv("CORIANDERBAY_SHARDS", "32")
	cmd, v, out := command("--shards", "64", "--trace", "--peers", "10.0.0.1:1, 10.0.0.2:2")
	must.Eq(t, 0, setting.Execute(t.Context(), cmd), must.Sprint(out))
	must.Eq(t, "127.0.0.1:4789", v.listen.String())
	must.Eq(t, 7*time.Second, *v.wait)
	must.Eq(t, 64, *v.shards)
	must.True(t, *v.trace)
	must.Eq(t, "info", *v.level)
	must.Len(t, 2, *v.peers)
}

func TestCheckReportsAllFaults(t *testing.T) {
	t.Setenv("CORIANDERBAY_WAIT", "2h")
	cmd, _, out := command("--shards", "many", "--listen-address", "", "--share", "NaN", "--trace=maybe",
		"--peers", "10.0.0.1", "--level", "loud", "--key-file", "/does/not/exist")
	must.Eq(t, setting.ExitUsage, setting.Execute(t.Context(), cmd))
	const want = `--listen-address (CORIANDERBAY_LISTEN_ADDRESS) must be set to an address and port
--peers (CORIANDERBAY_PEERS): "10.0.0.1" is not addresses and ports with commas
--wait (CORIANDERBAY_WAIT): "2h" is not a duration like 10s in the range 1s to 1m0s
--shards (CORIANDERBAY_SHARDS): "many" is not a whole number in the range 1 to 256
--share (CORIANDERBAY_SHARE): "NaN" is not a number in the range 0 to 1
--trace (CORIANDERBAY_TRACE): "maybe" is not true or false
--level (CORIANDERBAY_LEVEL): "loud" is not a word in the range info, debug
--key-file (CORIANDERBAY_KEY_FILE): "/does/not/exist" is not a file that can be read
`
	must.Eq(t, want, out.String())
}

func TestUsageErrors(t *testing.T) {
	for _, args := range [][]string{{"--nothing"}, {"extra"}} {
		cmd, _, out := command(args...)
		must.Eq(t, setting.ExitUsage, setting.Execute(t.Context(), cmd))
		must.StrContains(t, out.String(), "Run 'trial --help' for usage.")
	}
}

func TestExitCode(t *testing.T) {
	must.Eq(t, 0, setting.ExitCode(nil))
	must.Eq(t, setting.ExitFailure, setting.ExitCode(errors.ErrUnsupported))
	must.Eq(t, setting.ExitUsage, setting.ExitCode(&setting.UsageError{Cause: errors.ErrUnsupported}))
}

func TestHelpShowsDefaultAndRange(t *testing.T) {
	cmd, _, out := command("--help")
	must.Eq(t, 0, setting.Execute(t.Context(), cmd))
	must.StrContains(t, out.String(), "--shards number            How many shards. (shards, 1 to 256) (default 16)")
}
