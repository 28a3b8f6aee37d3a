package daisycli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/daisyglade/daisyglade/internal/domain/daisyroute"
	"github.com/daisyglade/daisyglade/internal/host/daisyops"
)

func newExplainRoute() *cobra.Command {
	o := &operator{}
	var q daisyroute.Query
	var kind, keyFile string
	c := &cobra.Command{
		Use:   "route DATABASE",
		Short: "Show where a statement would go from a host now, and why not elsewhere",
		Long: "Show where a statement would go from a host now: the servers with their figures and the\n" +
			"ages of these, and why each other was not taken. Nothing is sent to a server. The host is\n" +
			"asked at its metrics address on the platform, else at its operations address. DATABASE is\n" +
			"the name that clients connect to.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) (err error) {
			q.Database = args[0]
			if q.Kind, err = daisyroute.ParseKind(kind); err != nil {
				return fmt.Errorf("%w: --kind: %w", errUsage, err)
			}
			if q.Key, err = readKey(keyFile); err != nil {
				return err
			}
			var route daisyroute.Route
			if err := o.call(c.Context(), http.MethodPost, daisyops.RoutePath, q, &route); err != nil {
				return err
			}
			if o.output == "json" {
				return json.NewEncoder(c.OutOrStdout()).Encode(route)
			}
			return printRoute(c.OutOrStdout(), route)
		},
	}
	o.flags(c)
	o.anonymous = true
	c.Flags().StringVar(&kind, "kind", string(daisyroute.KindRead), fmt.Sprintf("kind of statement, one of %v", daisyroute.Kinds))
	c.Flags().StringVar(&q.Workspace, "workspace", "", "name of the workspace")
	c.Flags().StringVar(&keyFile, "key-file", "", "file with a key of the workspace, instead of its name")
	return c
}

// readKey returns the key in the file, or an empty string without a file.
func readKey(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("%w: --key-file: %w", errUsage, err)
	}
	key := strings.TrimSpace(string(text))
	if key == "" {
		return "", fmt.Errorf("%w: --key-file: %w", errUsage, errors.New("the file holds no key"))
	}
	return key, nil
}

// printRoute writes the route as text.
func printRoute(out io.Writer, r daisyroute.Route) error {
	server := r.Server
	if server == "" {
		server = "no server"
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "%s on %s from %s: %s of %s\n", r.Kind, r.Database, r.Host, server, r.Service)
	for _, note := range r.Notes {
		_, _ = fmt.Fprintln(w, "note: "+note)
	}
	if len(r.Servers) == 0 {
		return w.Flush()
	}
	_, _ = fmt.Fprintln(w, "SERVER\tROLE\tCHANCE\tDISTANCE\tCOST\tEXPECTED\tWAIT\tRUN\tWAY\tAGE\tANSWERED\tBUSY\tGATEWAYS\tWHY NOT")
	for _, s := range r.Servers {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.2f\t%s\t%d\t%s\t%s\n", s.Name, role(s), s.Chance, figures(s), s.Busy, strings.Join(s.Gateways, " "), s.Reason)
	}
	return w.Flush()
}

// figures returns the columns from the distance to the answered part. A server that is
// not weighed by them has none.
func figures(s daisyroute.Server) string {
	if s.Expected == 0 {
		return strings.Repeat("-\t", 7) + "-"
	}
	return strings.Join([]string{
		s.Distance, short(s.Cost), short(s.Expected), short(s.Wait), short(s.Run), short(s.Way), age(s), fmt.Sprintf("%.2f", s.Answered),
	}, "\t")
}

func role(s daisyroute.Server) string {
	if s.Primary {
		return "primary"
	}
	return "replica"
}

func short(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }

// age returns the age of the server's load.
func age(s daisyroute.Server) string {
	if !s.Known {
		return "unknown"
	}
	return s.Age.Round(time.Millisecond).String()
}
