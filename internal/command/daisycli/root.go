// Package daisycli is the command line of daisyglade.
package daisycli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/daisyglade/daisyglade/internal/config/daisysettings"
)

// Exit codes of the program.
const (
	exitOK       = 0
	exitFailure  = 1 // The command failed.
	exitUsage    = 2 // The arguments or the settings are not valid.
	exitConflict = 3 // A change was refused, for example because it was made against an old revision.
)

// errUsage marks errors in the arguments.
var errUsage = errors.New("usage")

// errConflict marks changes that the fleet refused.
var errConflict = errors.New("change was refused")

// Main runs the program with the arguments and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "daisyglade: "+err.Error())
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var settings *daisysettings.Error
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errUsage) || errors.As(err, &settings):
		return exitUsage
	case errors.Is(err, errConflict):
		return exitConflict
	}
	return exitFailure
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "daisyglade",
		Short:         "A database proxy with session consistency",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fmt.Errorf("%w: %w", errUsage, err) })
	root.AddCommand(newRun(), newCheck(), newBootstrap(), newTry(), newCerts(), newVersion(), newEntry(), newControl(), newExplain())
	root.AddCommand(newOperatorCommands()...)
	root.AddCommand(newReport(), newEvents())
	return root
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), "daisyglade", version)
			return err
		},
	}
}
