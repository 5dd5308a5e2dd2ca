package setting

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"
)

// Execute runs the command line of root, prints an error to its error output
// and returns the exit code. Errors before a command starts, such as an
// unknown command or a wrong number of arguments, have the code ExitUsage.
// Execute sets root's PersistentPreRun, which no command below may replace.
func Execute(ctx context.Context, root *cobra.Command) int {
	refuseUnknown(root)
	started := false
	root.SilenceErrors = true
	root.SilenceUsage = true
	root.PersistentPreRun = func(*cobra.Command, []string) { started = true }
	cmd, err := root.ExecuteContextC(ctx)
	if err == nil {
		return 0
	}
	if !started {
		err = &UsageError{Cause: err}
	}
	fmt.Fprintln(root.ErrOrStderr(), err)
	if !started {
		fmt.Fprintf(root.ErrOrStderr(), "Run '%s --help' for usage.\n", cmd.CommandPath())
	}
	return ExitCode(err)
}

// refuseUnknown makes every command that only groups others report a word that names none of them.
func refuseUnknown(cmd *cobra.Command) {
	for _, sub := range cmd.Commands() {
		refuseUnknown(sub)
	}
	if cmd.Runnable() || !cmd.HasSubCommands() || !cmd.HasParent() {
		return
	}
	cmd.Args = func(cmd *cobra.Command, args []string) error {
		if len(args) == 0 {
			return nil
		}
		return &UnknownCommandError{Group: cmd.CommandPath(), Name: args[0]}
	}
	cmd.RunE = func(cmd *cobra.Command, _ []string) error { return cmd.Help() }
}
