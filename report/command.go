package report

import (
	"context"
	"io"

	"github.com/spf13/cobra"
)

// NewCommand returns the command "report" with its parts "burn" and "spread".
func NewCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "report",
		Short:   "Report on service-level burn and on the spread of load",
		Example: "  corianderctl report burn 10.0.0.1:6060 10.0.0.2:6060",
		Long: "Report reads the operator addresses of any set of processes. Processes may\n" +
			"come, go and restart between samples; those that do not answer are listed.",
	}
	cmd.AddCommand(newBurnCommand(), newSpreadCommand())
	return cmd
}

func newBurnCommand() *cobra.Command {
	var cfg Config
	cmd := newSubcommand(&cfg, Burn)
	cmd.Use = "burn ADDR..."
	cmd.Short = "Burn of each service's objectives over 1 h/5 min, 6 h/30 min and 3 d"
	cmd.Long = "Burn says how many times faster than allowed an error budget is spent; 1\n" +
		"spends exactly the budget. ALERT is yes when both times of a window are at or\n" +
		"above its threshold (14.4, 6 and 1) and at least 5 min, 30 min or 6 h of it were\n" +
		"sampled. SEEN is how much of the window was."
	cmd.Example = "  corianderctl report burn 10.0.0.1:6060 10.0.0.2:6060\n" +
		"  corianderctl report burn --interval 10s --samples 30 --plot burn.svg 10.0.0.1:6060\n" +
		"  corianderctl report burn --keep samples.json --json 10.0.0.1:6060"
	cmd.Flags().StringVar(&cfg.SampleFile, "keep", "", "file of samples to read before and to append to")
	return cmd
}

func newSpreadCommand() *cobra.Command {
	var cfg Config
	cmd := newSubcommand(&cfg, Spread)
	cmd.Use = "spread ADDR..."
	cmd.Short = "Maximum over mean of connections and slots, refusals, waits and hops"
	cmd.Example = "  corianderctl report spread 10.0.0.1:6060 10.0.0.2:6060\n" +
		"  corianderctl report spread --interval 1s --samples 60 --plot spread.png 10.0.0.1:6060"
	return cmd
}

// newSubcommand returns a command that runs one report with the flags of both.
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
	f.StringVar(&cfg.PlotFile, "plot", "", "draw into a .png or .svg `file`")
	f.DurationVar(&cfg.Interval, "interval", defaultInterval, "time between two samples")
	f.IntVar(&cfg.Samples, "samples", 1, "number of samples")
	f.DurationVar(&cfg.Timeout, "timeout", defaultTimeout, "how long a process may take to answer")
	return cmd
}
