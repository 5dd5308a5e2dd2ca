package ctl

import (
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"time"

	"github.com/corianderbay/corianderbay/report"
	"github.com/corianderbay/corianderbay/setting"
	"github.com/corianderbay/corianderbay/timer"
	"github.com/spf13/cobra"
)

// requestTimeout bounds one request to a process.
const requestTimeout = 3 * time.Second

// Config holds the dependencies of the commands. The zero value selects the defaults.
type Config struct {
	// Version is the release of the program. Empty selects "unknown".
	Version string
	// Timer is the clock for the validity of certificates. Nil selects the process clock.
	Timer *timer.Service
	// Random is the random source for keys. Nil selects crypto/rand.
	Random io.Reader
	// Client sends requests to processes. Nil selects a client with a timeout of 3 s.
	Client *http.Client
}

func (cfg Config) withDefaults() Config {
	if cfg.Version == "" {
		cfg.Version = "unknown"
	}
	if cfg.Timer == nil {
		cfg.Timer = timer.New(timer.Config{})
	}
	if cfg.Random == nil {
		cfg.Random = rand.Reader
	}
	if cfg.Client == nil {
		cfg.Client = &http.Client{Timeout: requestTimeout}
	}
	return cfg
}

// NewCommand returns the root command of corianderctl.
func NewCommand(cfg Config) *cobra.Command {
	cfg = cfg.withDefaults()
	root := &cobra.Command{
		Use:     "corianderctl",
		Short:   "Check, sign and roll out bundles of the corianderbay load balancer",
		Example: "  corianderctl bundle check bundle.yaml\n  corianderctl status 10.0.0.1:9100",
	}
	groups := map[string]*cobra.Command{
		"":       root,
		"key":    {Use: "key", Short: "Create keys and certificates", Example: "  corianderctl key new sari"},
		"flow":   {Use: "flow", Short: "Explain flows", Example: "  corianderctl flow explain bundle.yaml tcp 10.41.0.9:40000 203.0.113.10:7443"},
		"log":    {Use: "log", Short: "Explain logs of processes", Example: "  corianderctl log explain *.log --caller 100.64.0.7:40001"},
		"bundle": {Use: "bundle", Short: "Check, sign, compare and roll out bundles", Example: "  corianderctl bundle check bundle.yaml"},
	}
	root.AddCommand(groups["key"], groups["bundle"], groups["flow"], groups["log"], report.NewCommand())
	for _, p := range commandSpecs(cfg) {
		groups[p.group].AddCommand(p.command())
	}
	return root
}

// Settings returns the declared settings of each command by command name, which
// includes the group, as in "bundle check".
func Settings() map[string][]setting.Declaration {
	all := make(map[string][]setting.Declaration)
	for _, p := range commandSpecs(Config{}.withDefaults()) {
		all[p.path()] = p.set.Declarations()
	}
	return all
}

// commandSpec describes one command.
type commandSpec struct {
	// group is the name of the parent command, empty for the root.
	group string
	// use is the command name followed by its arguments.
	use     string
	short   string
	example string
	args    cobra.PositionalArgs
	set     *setting.Set
	run     func(ctx context.Context, s ioStreams, args []string) error
}

func commandSpecs(cfg Config) []commandSpec {
	return []commandSpec{
		newKeyCommand(cfg),
		newCheckCommand(),
		newFreezeCommand(),
		newSignCommand(),
		newVerifyCommand(),
		newShowCommand(),
		newAnchorCommand(),
		newDiffCommand(),
		newCarryCommand(),
		newRollbackCommand(),
		newPublishCommand(),
		newFlowExplainCommand(cfg),
		newLogExplainCommand(),
		newStatusCommand(cfg),
		newVersionCommand(cfg),
	}
}

// path returns the command name with its group.
func (p commandSpec) path() string {
	name := (&cobra.Command{Use: p.use}).Name()
	if p.group == "" {
		return name
	}
	return p.group + " " + name
}

func (p commandSpec) command() *cobra.Command {
	cmd := &cobra.Command{
		Use:     p.use,
		Short:   p.short,
		Example: "  corianderctl " + p.example,
		Args:    p.args,
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := p.set.Check(); err != nil {
				return err
			}
			return p.run(cmd.Context(), ioStreams{in: cmd.InOrStdin(), out: cmd.OutOrStdout()}, args)
		},
	}
	if err := p.set.Bind(cmd); err != nil {
		cmd.RunE = func(*cobra.Command, []string) error { return err }
	}
	return cmd
}

func newVersionCommand(cfg Config) commandSpec {
	return commandSpec{
		use:     "version",
		short:   "Print the release",
		example: "version",
		args:    cobra.NoArgs,
		set:     setting.NewSet(),
		run: func(_ context.Context, s ioStreams, _ []string) error {
			return s.printf("corianderctl %s\n", cfg.Version)
		},
	}
}
