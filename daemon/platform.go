package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/platform"
	"github.com/corianderbay/corianderbay/timer"
	"github.com/spf13/cobra"
	"go.uber.org/zap/zapcore"
)

// defaultLines is how many lines a second each event may have in the log.
const defaultLines = 20

// keptLines is how many lines wait for a reader of standard output that is slow.
const keptLines = 512

// newPlatformCommand returns the processes that run on the users' platform.
// Their settings come from a file that the platform lays out.
func newPlatformCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "platform",
		Short:   "Run a process on the users' platform",
		Long:    "Run a process on the users' platform. Its settings come from the file that " + platform.SettingsVariable + " names.",
		Example: "  corianderbay platform balancer",
	}
	cmd.AddCommand(
		platformRole("balancer", "Take callers' packets and forward them to sidecars", platform.RunBalancer),
		platformRole("sidecar", "Serve the flows of the upstream beside it", platform.RunSidecar),
	)
	return cmd
}

func platformRole(name, short string, run func(context.Context, platform.Config) error) *cobra.Command {
	level, lines := "info", defaultLines
	cmd := &cobra.Command{
		Use:     name,
		Short:   short,
		Example: "  corianderbay platform " + name + " --log-level debug",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			l, err := zapcore.ParseLevel(level)
			if err != nil {
				return err
			}
			t := timer.New(timer.Config{Suspended: timer.Suspended})
			out := event.NewWriter(cmd.OutOrStdout(), keptLines, t)
			defer out.Close()
			return run(cmd.Context(), platform.Config{
				Path:        platform.SettingsPath(),
				Incarnation: newIncarnation(),
				Timer:       t,
				Log:         event.NewSampled(out, l, name, lines),
			})
		},
	}
	cmd.Flags().StringVar(&level, "log-level", level, "least level of the events that are logged")
	cmd.Flags().IntVar(&lines, "log-lines", lines, "lines that each event may have in the log (lines a second)")
	return cmd
}

// newIncarnation returns a number that no other start of a process has.
func newIncarnation() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails; it ends the process instead
	return binary.BigEndian.Uint64(b[:])
}
