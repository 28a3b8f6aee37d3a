package daisycli

import (
	"context"
	"errors"
	"expvar"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/spf13/cobra"

	"github.com/daisyglade/daisyglade/internal/config/daisynode"
	"github.com/daisyglade/daisyglade/internal/host/daisycontrolhost"
	"github.com/daisyglade/daisyglade/internal/host/daisyentryhost"
	"github.com/daisyglade/daisyglade/internal/report/daisylogger"
	"github.com/daisyglade/daisyglade/internal/report/daisymetrics"
	"github.com/daisyglade/daisyglade/internal/wire/daisynet"
	"github.com/daisyglade/daisyglade/platform"
)

const (
	// memoryShare is the part of a process's memory that the runtime may use
	// before it collects harder; the rest is for stacks, buffers and bursts.
	memoryShare = 0.75
	// settingsInterval is how often the settings file is read again; it may
	// change without a signal.
	settingsInterval = time.Second
	// callTimeout bounds a call to a host's HTTP servers.
	callTimeout = 10 * time.Second
)

// process is what the processes on the platform have in common.
type process struct {
	settings daisynode.Settings
	journal  *daisylogger.Logger
	log      *log.Logger
	servers  []*http.Server
}

func openProcess(check func(*daisynode.Settings) error) (p *process, err error) {
	settings, err := platform.ReadSettings()
	if err == nil {
		err = check(&settings)
	}
	if err != nil {
		return nil, err
	}
	p = &process{settings: settings, journal: daisylogger.Open(os.Stdout, settings.Host)}
	p.log = &log.Logger{Handler: p.journal, Level: log.InfoLevel}
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	}
	p.log.WithFields(log.Fields{"FailureDomain": settings.FailureDomain, "Found": settings.Found}).Info("process: started")
	return p, nil
}

// serve answers calls at the address until the process is closed.
func (p *process) serve(ctx context.Context, addr netip.AddrPort, h http.Handler) error {
	listener, err := daisynet.TCP{}.Listen(ctx, addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: callTimeout, ReadTimeout: callTimeout}
	p.servers = append(p.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.log.WithError(err).Error("process: server ended")
		}
	}()
	return nil
}

func (p *process) serveMetrics(ctx context.Context, r *daisymetrics.Registry) error {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", r)
	mux.Handle("GET /debug/vars", expvar.Handler())
	return p.serve(ctx, p.settings.Metrics, mux)
}

// follow reads the settings again when a signal says so and from time to time,
// and passes changed seeds on, until ctx ends.
func (p *process) follow(ctx context.Context, seeds func([]netip.AddrPort)) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-hangup:
			p.log.Info("process: settings read again")
		case <-ctx.Done():
			return
		}
		next, err := platform.ReadSettings()
		switch {
		case err != nil:
			p.log.WithError(err).Warn("process: settings not understood, those before stay")
		case !slices.Equal(next.Seeds, p.settings.Seeds):
			p.settings.Seeds = next.Seeds
			p.log.WithField("Seeds", len(next.Seeds)).Info("process: seeds changed")
			seeds(next.Seeds)
		}
	}
}

func (p *process) close() error {
	var errs []error
	for _, s := range p.servers {
		errs = append(errs, s.Close())
	}
	p.log.Info("process: stopped")
	return errors.Join(append(errs, p.journal.Close())...)
}

// flag returns 1 for true and 0 for false, as metrics show them.
func flag(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}

func newEntry() *cobra.Command {
	return &cobra.Command{
		Use:   "entry",
		Short: "Run an entry host on the users' platform until SIGTERM",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) (err error) {
			p, err := openProcess((*daisynode.Settings).CheckEntry)
			if err != nil {
				return err
			}
			defer func() { err = errors.Join(err, p.close()) }()
			metrics := daisymetrics.New()
			f, err := daisyentryhost.Open(daisyentryhost.Options{
				Settings: p.settings, Network: daisynet.TCP{}, Dialer: platform.Dialer{Network: daisynet.TCP{}},
				Codec: platform.NewCaller, Parse: platform.ParseDocument, Count: metrics, Log: p.log,
			})
			if err != nil {
				return err
			}
			metrics.Gauge("daisyglade_sessions", func() float64 { return float64(f.Sessions()) })
			metrics.Gauge("daisyglade_desired_version", func() float64 { version, _ := f.Status(); return float64(version) })
			metrics.Gauge("daisyglade_lease_valid", func() float64 { _, valid := f.Status(); return flag(valid) })
			err = errors.Join(
				p.serve(c.Context(), p.settings.Ready, platform.NewReadyHandler(f.Ready)),
				p.serveMetrics(c.Context(), metrics),
			)
			if err == nil {
				p.follow(c.Context(), f.SetSeeds)
			}
			return errors.Join(err, f.Stop())
		},
	}
}

func newControl() *cobra.Command {
	return &cobra.Command{
		Use:   "control",
		Short: "Run a control host on the users' platform until SIGTERM",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) (err error) {
			p, err := openProcess((*daisynode.Settings).CheckControl)
			if err != nil {
				return err
			}
			defer func() { err = errors.Join(err, p.close()) }()
			network := daisynet.TCP{}
			core, err := daisycontrolhost.Open(daisycontrolhost.Options{
				Settings: p.settings, Network: network, Prober: platform.Dialer{Network: network}, Parse: platform.ParseDocument,
				Promoter: platform.Promoter{Network: network, Address: p.settings.Promotions, Holder: p.settings.Host, Log: p.log},
				Log:      p.log,
			})
			if err != nil {
				return err
			}
			metrics := daisymetrics.New()
			metrics.Gauge("daisyglade_leads", func() float64 { return flag(core.Leads()) })
			err = errors.Join(
				p.serve(c.Context(), p.settings.Control, platform.NewControlHandler(core, p.settings.Control, p.log)),
				p.serveMetrics(c.Context(), metrics),
			)
			if err == nil {
				p.follow(c.Context(), core.SetSeeds)
			}
			return errors.Join(err, core.Close())
		},
	}
}
