package daisycli

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/daisyglade/daisyglade/internal/report/daisytrace"
)

// errNoStory is returned if no log names the request.
var errNoStory = errors.New("no log names the request; it was served as usual, or its lines were left out")

func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST FILE...",
		Short: "Tell what became of a request, from the logs of many hosts",
		Long: "Tell what became of a request, from the logs of many hosts: every line that names it, in the\n" +
			"order of time, and what each host that handled it believed before.",
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
			story := daisytrace.ForRequest(args[0], entries)
			if len(story) == 0 {
				return fmt.Errorf("%w: %s", errNoStory, args[0])
			}
			return daisytrace.Write(c.OutOrStdout(), args[0], story)
		},
	}
}

func readLog(path string) (entries []daisytrace.Entry, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return daisytrace.Read(file)
}
