package daisycli

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/daisyglade/daisyglade/internal/report/daisytrace"
)

// errNoTrace is returned if no log line names the request.
var errNoTrace = errors.New("no log line names the request; it was served normally, or its lines were dropped")

func newExplain() *cobra.Command {
	c := &cobra.Command{
		Use:   "explain REQUEST FILE...",
		Short: "Show the trace of a request from the logs of several hosts",
		Long: "Show the trace of a request from the logs of several hosts: every line that names it, in the\n" +
			"order of time, and the state that each host that handled it had last logged before.",
		Args: cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			var entries []daisytrace.Entry
			for _, path := range args[1:] {
				next, err := readLog(path)
				if err != nil {
					return err
				}
				entries = append(entries, next...)
			}
			trace := daisytrace.ForRequest(args[0], entries)
			if len(trace) == 0 {
				return fmt.Errorf("%w: %s", errNoTrace, args[0])
			}
			return daisytrace.Write(c.OutOrStdout(), args[0], trace)
		},
	}
	c.AddCommand(newExplainRoute())
	return c
}

func readLog(path string) (entries []daisytrace.Entry, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return daisytrace.Read(file)
}
