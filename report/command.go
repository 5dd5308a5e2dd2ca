package report

import (
	"context"
	"io"

	"github.com/spf13/cobra"
)

// NewCommand returns the command "report" with its subcommands "burn" and "spread".
func NewCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "report",
		Short:   "Report the burn rate of service-level objectives and the spread of load",
		Example: "  corianderctl report burn 10.0.0.1:6060 10.0.0.2:6060",
		Long: "Report reads the operator addresses of any set of processes. Processes may\n" +
			"start, stop and restart between samples; those that do not respond are listed.",
	}
	cmd.AddCommand(newBurnCommand(), newSpreadCommand())
	return cmd
}

func newBurnCommand() *cobra.Command {
	var cfg Config
	cmd := newSubcommand(&cfg, Burn)
	cmd.Use = "burn ADDR..."
	cmd.Short = "Burn rate of each service's objectives over 1 h/5 min, 6 h/30 min and 3 d"
	cmd.Long = "The burn rate is how many times faster than allowed an error budget is spent; at\n" +
		"1 exactly the budget is spent. ALERT is yes if the burn rates over both times of\n" +
		"a window are at or above its threshold (14.4, 6 and 1) and the samples cover at\n" +
		"least 5 min, 30 min or 6 h of it. SEEN is how much of the window they cover."
	cmd.Example = "  corianderctl report burn 10.0.0.1:6060 10.0.0.2:6060\n" +
		"  corianderctl report burn --interval 10s --samples 30 --plot burn.svg 10.0.0.1:6060\n" +
		"  corianderctl report burn --keep samples.json --json 10.0.0.1:6060"
	cmd.Flags().StringVar(&cfg.SampleFile, "keep", "", "file of samples that are read first and to which new ones are appended")
	return cmd
}

func newSpreadCommand() *cobra.Command {
	var cfg Config
	cmd := newSubcommand(&cfg, Spread)
	cmd.Use = "spread ADDR..."
	cmd.Short = "Ratio of maximum to mean of connections and slots; refusals, waits and hops"
	cmd.Example = "  corianderctl report spread 10.0.0.1:6060 10.0.0.2:6060\n" +
		"  corianderctl report spread --interval 1s --samples 60 --plot spread.png 10.0.0.1:6060"
	return cmd
}

// newSubcommand returns a command that runs one report, with the flags that both reports share.
func newSubcommand(cfg *Config, run func(context.Context, Config, io.Writer) error) *cobra.Command {
	cmd := &cobra.Command{
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			cfg.Addresses = args
			return run(cmd.Context(), *cfg, cmd.OutOrStdout())
		},
	}
	f := cmd.Flags()
	f.BoolVar(&cfg.JSON, "json", false, "print JSON")
	f.StringVar(&cfg.PlotFile, "plot", "", "draw a plot into a .png or .svg `file`")
	f.DurationVar(&cfg.Interval, "interval", defaultInterval, "time between two samples")
	f.IntVar(&cfg.Samples, "samples", 1, "number of samples")
	f.DurationVar(&cfg.Timeout, "timeout", defaultTimeout, "how long a process may take to respond")
	return cmd
}
