// Package daemon implements the command line of the program corianderbay. It
// validates the settings and runs three kinds of processes: those of package
// instance, those of package platform, which run on the platform of the users, and
// the stand-ins, which simulate the environment of the load balancer.
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

// Version is the release of the programs.
const Version = "0.1.0"

// Commands that have subcommands.
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
		Short:   "Run a stand-in for a component that surrounds the system, for trials",
		Example: "  corianderbay standin platform --listen-address 127.0.0.1:8500",
	}
	userPlatform := &cobra.Command{
		Use:     "platform",
		Short:   "Run a process on the users' platform",
		Long:    "Run a process on the users' platform. The platform provides the settings in the file whose path is in " + platform.SettingsVariable + ".",
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

// program is a subcommand with its settings.
type program struct {
	name    string
	short   string
	example string
	group   string // parent command; empty for the root
	set     *setting.Set
	run     func(ctx context.Context, w io.Writer) error
	// runFile is set instead of run by a command whose only argument is the path of a file.
	runFile func(ctx context.Context, w io.Writer, path string) error
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
		newUserPlatformProgram("balancer", "Receive callers' packets and forward them to sidecars", balancerOptions, platform.RunBalancer),
		newUserPlatformProgram("sidecar", "Serve the flows of the upstream on the same instance", sidecarOptions, platform.RunSidecar),
		newCheckProgram(),
		newCheckConfigProgram(),
		newLoadProgram(),
	}
}

// Settings returns the declared settings of each subcommand, keyed by the name of
// the subcommand with its parent command in front.
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
	if p.runFile != nil {
		cmd.Use += " FILE"
		cmd.Args = cobra.ExactArgs(1)
		cmd.RunE = func(cmd *cobra.Command, args []string) error {
			if err := p.set.Check(); err != nil {
				return err
			}
			return p.runFile(cmd.Context(), cmd.OutOrStdout(), args[0])
		}
	}
	// Bind fails only if a setting is declared twice; then every run of the command
	// returns the error.
	if err := p.set.Bind(cmd); err != nil {
		cmd.RunE = func(*cobra.Command, []string) error { return err }
	}
	return cmd
}

// newLog returns a logger that writes to standard error. An invalid level counts as info.
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
