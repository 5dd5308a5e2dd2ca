// Package daemon is the command line of the program corianderbay: it turns
// checked settings into the processes of package instance and the stand-ins.
//
// Start with NewCommand.
package daemon

import (
	"context"
	"io"
	"os"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/platform"
	"github.com/corianderbay/corianderbay/setting"
	"github.com/spf13/cobra"
	"go.uber.org/zap/zapcore"
)

// Version is the release that the programs belong to.
const Version = "0.1.0"

// The commands that have others below them.
const (
	groupStandin  = "standin"
	groupPlatform = "platform"
)

// NewCommand returns the root command of corianderbay.
func NewCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "corianderbay",
		Short:         "Run the processes of the corianderbay load balancer",
		SilenceUsage:  true,
		SilenceErrors: true,
		Version:       Version,
	}
	standins := &cobra.Command{
		Use:     "standin",
		Short:   "Run a stand-in of what surrounds the system, for trials",
		Example: "  corianderbay standin platform --listen-address 127.0.0.1:8500",
	}
	userPlatform := &cobra.Command{
		Use:     "platform",
		Short:   "Run a process on the users' platform",
		Long:    "Run a process on the users' platform. What the platform lays out comes from the file that " + platform.SettingsVariable + " names.",
		Example: "  corianderbay platform balancer",
	}
	groups := map[string]*cobra.Command{"": root, groupStandin: standins, groupPlatform: userPlatform}
	for _, p := range programs() {
		groups[p.group].AddCommand(p.command())
	}
	root.AddCommand(standins, userPlatform, newVersionCommand())
	return root
}

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the release",
		Example: "  corianderbay version",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := io.WriteString(cmd.OutOrStdout(), "corianderbay "+Version+"\n")
			return err
		},
	}
}

// program is one subcommand with its settings.
type program struct {
	name    string
	short   string
	example string
	group   string // the command above; empty for the root
	set     *setting.Set
	run     func(ctx context.Context, w io.Writer) error
}

// programs returns the subcommands that have settings.
func programs() []program {
	return []program{
		newBalancerProgram(),
		newSidecarProgram(),
		newPlatformStandinProgram(),
		newFabricProgram(),
		newUpstreamProgram(),
		newCallerProgram(),
		newDemoProgram(),
		newUserPlatformProgram("balancer", "Take callers' packets and forward them to sidecars", platform.RunBalancer),
		newUserPlatformProgram("sidecar", "Serve the flows of the upstream beside it", platform.RunSidecar),
		newCheckProgram(),
		newLoadProgram(),
	}
}

// Settings returns the declarations of each subcommand by its name.
func Settings() map[string][]setting.Declaration {
	all := make(map[string][]setting.Declaration)
	for _, p := range programs() {
		name := p.name
		if p.group != "" {
			name = p.group + " " + name
		}
		all[name] = p.set.Declarations()
	}
	return all
}

func (p program) command() *cobra.Command {
	cmd := &cobra.Command{
		Use:     p.name,
		Short:   p.short,
		Example: "  " + p.example,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := p.set.Check(); err != nil {
				return err
			}
			return p.run(cmd.Context(), cmd.OutOrStdout())
		},
	}
	// Bind fails only for a setting that is declared twice, which each run of the command's help would show.
	if err := p.set.Bind(cmd); err != nil {
		cmd.RunE = func(*cobra.Command, []string) error { return err }
	}
	return cmd
}

// newLog returns a logger that writes to standard error.
func newLog(level, process string) *event.Logger {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		l = zapcore.InfoLevel
	}
	return event.NewJSON(zapcore.AddSync(os.Stderr), l, process)
}

func logLevels() []string {
	return []string{"debug", "info", "warn", "error"}
}
