package daisycli

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
	"github.com/spf13/cobra"

	"github.com/daisyglade/daisyglade/internal/config/daisysettings"
	"github.com/daisyglade/daisyglade/internal/host/daisyhost"
	"github.com/daisyglade/daisyglade/internal/net/daisynet"
	"github.com/daisyglade/daisyglade/internal/security/daisycert"
	"github.com/daisyglade/daisyglade/internal/try/daisysandbox"
)

func newRun() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "run",
		Short: "Run one host until SIGTERM, SIGINT or SIGHUP",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGHUP)
			defer stop()
			s, err := daisysettings.Read(path)
			if err != nil {
				return err
			}
			h, err := daisyhost.Open(s, daisynet.TCP{}, newLogger(s.Log))
			if err != nil {
				return err
			}
			<-ctx.Done()
			return h.Stop()
		},
	}
	settingsFlag(c, &path)
	return c
}

func newCheck() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "check",
		Short: "Check a settings file and report every fault with its line and field",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := daisysettings.Read(path)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "%s: settings of host %s are valid\n", path, s.Host)
			return err
		},
	}
	settingsFlag(c, &path)
	return c
}

func newBootstrap() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "found",
		Short: "Create the control log of a new fleet, once, on one control host",
		Long: "Create the control log of a new fleet in the data folder of this host. Run it once, on one\n" +
			"control host; the other control hosts join when they start.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := daisysettings.Read(path)
			if err != nil {
				return err
			}
			if !s.Control.Enabled {
				return fmt.Errorf("%w: host %s is no control host, since Control.Enabled is not set", errUsage, s.Host)
			}
			if err := daisyhost.Bootstrap(s); err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "control log created in %s\n", s.DataFolder)
			return err
		},
	}
	settingsFlag(c, &path)
	return c
}

func settingsFlag(c *cobra.Command, path *string) {
	c.Flags().StringVar(path, "settings", "", "settings file of the host")
	_ = c.MarkFlagRequired("settings")
	_ = c.MarkFlagFilename("settings", "jsonc", "json")
}

func newTry() *cobra.Command {
	var hosts int
	var verbose bool
	c := &cobra.Command{
		Use:   "try",
		Short: "Run a small fleet with a stand-in database on loopback, for trials",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			folder, err := os.MkdirTemp("", "daisyglade-try-")
			if err != nil {
				return err
			}
			defer func() { _ = os.RemoveAll(folder) }()
			level := log.WarnLevel
			if verbose {
				level = log.DebugLevel
			}
			f, err := daisysandbox.Open(c.Context(), daisynet.TCP{}, folder, hosts, &log.Logger{Handler: text.New(os.Stderr), Level: level})
			if err != nil {
				return err
			}
			if err := printSandbox(c, f); err != nil {
				return err
			}
			<-c.Context().Done()
			return f.Close()
		},
	}
	c.Flags().IntVar(&hosts, "hosts", 3, "number of hosts")
	c.Flags().BoolVarP(&verbose, "verbose", "v", false, "log what the hosts do")
	return c
}

func printSandbox(c *cobra.Command, f *daisysandbox.Fleet) error {
	var b strings.Builder
	fmt.Fprintf(&b, "A fleet of %d hosts serves workspace %s.\n\nConnect for bookings:\n", len(f.Hosts), daisysandbox.Workspace)
	for i := range f.Hosts {
		fmt.Fprintf(&b, "  %s\n", f.ConnString(i, daisysandbox.ProfileWrite))
	}
	fmt.Fprintf(&b, "Connect for lookups that replicas may serve:\n  %s\n", f.ConnString(0, daisysandbox.ProfileRead))
	fmt.Fprintf(&b, "\nOperate:\n  daisyglade status --server %s --token-file %s/operator.token\n", f.URLs()[0], f.Folder)
	b.WriteString("\nStop with Ctrl-C.\n")
	_, err := c.OutOrStdout().Write([]byte(b.String()))
	return err
}

func newCerts() *cobra.Command {
	var folder string
	c := &cobra.Command{
		Use:   "certs HOST...",
		Short: "Create a certificate authority and a certificate for each host",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, hosts []string) error {
			authority, err := daisycert.NewAuthority("daisyglade")
			if err != nil {
				return err
			}
			for _, h := range hosts {
				if _, err := authority.Issue(folder, h); err != nil {
					return err
				}
			}
			return nil
		},
	}
	c.Flags().StringVar(&folder, "folder", "certs", "folder to write to")
	return c
}

// newLogger returns a logger that writes text to a terminal and JSON elsewhere,
// unless the settings say otherwise.
func newLogger(l daisysettings.Log) *log.Logger {
	logger := &log.Logger{Handler: json.New(os.Stderr), Level: log.MustParseLevel(l.Level)}
	info, err := os.Stderr.Stat()
	terminal := err == nil && info.Mode()&os.ModeCharDevice != 0
	if l.Format == "text" || l.Format == "auto" && terminal {
		logger.Handler = text.New(os.Stderr)
	}
	return logger
}
