package daisycli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/daisyglade/daisyglade/internal/report/daisyburn"
	"github.com/daisyglade/daisyglade/internal/wire/daisywire"
)

const pageMode = 0o600

func newReport() *cobra.Command {
	c := &cobra.Command{Use: "report", Short: "Reports on the service"}
	c.AddCommand(newBurn())
	return c
}

func newBurn() *cobra.Command {
	o := &operator{}
	var servers []string
	var html string
	c := &cobra.Command{
		Use: "burn", Short: "Show the burn rates of error budgets and their causes", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var reports []daisyburn.Report
			for _, s := range servers {
				o.server = s
				var r daisyburn.Report
				if err := o.call(c.Context(), http.MethodGet, "/v1/burn", nil, &r); err != nil {
					_, _ = fmt.Fprintf(c.ErrOrStderr(), "daisyglade: no report from %s, which is left out: %v\n", s, err)
					continue
				}
				reports = append(reports, r)
			}
			if len(reports) == 0 {
				return fmt.Errorf("no host answered")
			}
			return writeBurn(c.OutOrStdout(), reports, o.output, html)
		},
	}
	o.flags(c)
	c.Flags().StringSliceVar(&servers, "servers", []string{"https://127.0.0.1:7402"}, "base URLs of all hosts")
	c.Flags().StringVar(&html, "html", "", "file to write a page to")
	return c
}

func writeBurn(out io.Writer, reports []daisyburn.Report, output, html string) (err error) {
	if html != "" {
		file, err := os.OpenFile(html, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, pageMode)
		if err != nil {
			return err
		}
		if err := daisyburn.WritePage(file, reports, time.Now()); err != nil {
			return err
		}
		if err := file.Close(); err != nil {
			return err
		}
	}
	burns := daisyburn.Merge(reports)
	if output == "json" {
		return json.NewEncoder(out).Encode(burns)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "WORKSPACE\tPROFILE\tOBJECTIVE\tWINDOW\tRATE\tBAD\tALL\tCAUSES")
	for _, b := range burns {
		for _, r := range b.Rates {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%.4g%%\t%s\t%.2f\t%d\t%d\t%s\n",
				b.Workspace, b.Profile, 100*b.Objective, r.Window, r.Rate, r.Bad, r.Total, r.CauseText())
		}
	}
	return w.Flush()
}

func newEvents() *cobra.Command {
	o := &operator{}
	c := &cobra.Command{
		Use: "events", Short: "Show the fleet's decisions and their reasons, in order (ask a control host)", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var events []daisywire.Event
			if err := o.call(c.Context(), http.MethodGet, "/v1/events", nil, &events); err != nil {
				return err
			}
			if o.output == "json" {
				return json.NewEncoder(c.OutOrStdout()).Encode(events)
			}
			for _, e := range events {
				line := fmt.Sprintf("%s  %6d  %s", time.Unix(0, e.At).UTC().Format("2006-01-02 15:04:05.000"), e.Revision, e.Reason)
				if e.Refused != "" {
					line += " (refused: " + e.Refused + ")"
				}
				if _, err := fmt.Fprintln(c.OutOrStdout(), line); err != nil {
					return err
				}
			}
			return nil
		},
	}
	o.flags(c)
	return c
}
