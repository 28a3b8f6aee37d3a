package daisycli

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"maps"
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
	"github.com/daisyglade/daisyglade/internal/host/daisyops"
	"github.com/daisyglade/daisyglade/internal/net/daisynet"
	"github.com/daisyglade/daisyglade/internal/report/daisylogger"
	"github.com/daisyglade/daisyglade/internal/report/daisymetrics"
	"github.com/daisyglade/daisyglade/platform"
)

const (
	// memoryShare is the part of a process's memory that the Go runtime may use
	// before it collects garbage more often; the rest is for stacks, buffers and
	// bursts.
	memoryShare = 0.75
	// settingsInterval is how often the settings file is read again, since it may
	// change without a signal.
	settingsInterval = time.Second
	// callTimeout bounds the time to read a request of the HTTP servers.
	callTimeout = 10 * time.Second
	// answerShare is the part of the grace period in which calls that were accepted are
	// answered before the process stops.
	answerShare = 0.3
)

// process is the part that entry and control hosts on the platform share.
type process struct {
	settings  daisynode.Settings
	logWriter *daisylogger.Logger
	log       *log.Logger
	servers   []*http.Server
	hangup    chan os.Signal // Receives SIGHUP until the process has ended.
	ending    *ending        // Nil for a process without a data folder.
}

func openProcess(check func(*daisynode.Settings) error) (p *process, err error) {
	// SIGHUP ends a process that does not ask for it, also one that starts or stops.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	settings, err := platform.ReadSettings()
	if err == nil {
		err = check(&settings)
	}
	p = &process{settings: settings, logWriter: daisylogger.Open(os.Stdout, settings.Host), hangup: hangup}
	p.log = &log.Logger{Handler: p.logWriter, Level: log.InfoLevel}
	if err != nil {
		return nil, errors.Join(err, p.close(err))
	}
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	}
	p.log.WithFields(log.Fields{"FailureDomain": settings.FailureDomain, "Found": settings.Bootstrap}).Info("process: started")
	return p, nil
}

// serve serves HTTP requests at the address until the process is closed.
func (p *process) serve(ctx context.Context, addr netip.AddrPort, h http.Handler) error {
	listener, err := daisynet.TCP{}.Listen(ctx, addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: callTimeout, ReadTimeout: callTimeout}
	p.servers = append(p.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.log.WithError(err).Error("process: HTTP server stopped")
		}
	}()
	return nil
}

// serveMetrics serves the metrics and, on an entry host, the explanation of a route.
func (p *process) serveMetrics(ctx context.Context, r *daisymetrics.Registry, route http.Handler) error {
	mux := http.NewServeMux()
	if route != nil {
		mux.Handle("POST "+daisyops.RoutePath, route)
	}
	mux.Handle("GET /metrics", r)
	mux.Handle("GET /debug/vars", expvar.Handler())
	return p.serve(ctx, p.settings.Metrics, mux)
}

// followSettings reads the settings again on SIGHUP and every settingsInterval,
// and passes changed seeds to setSeeds, until ctx ends.
func (p *process) followSettings(ctx context.Context, setSeeds func([]netip.AddrPort)) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-p.hangup:
			p.log.Info("process: SIGHUP received, reading the settings again")
		case <-ctx.Done():
			return
		}
		next, err := platform.ReadSettings()
		switch {
		case err != nil:
			p.log.WithError(err).Warn("process: invalid settings, the previous ones stay in force")
		case !slices.Equal(next.Seeds, p.settings.Seeds):
			p.settings.Seeds = next.Seeds
			p.log.WithField("Seeds", len(next.Seeds)).Info("process: seeds changed")
			setSeeds(next.Seeds)
		}
	}
}

// answerCalls refuses new calls and waits until those that were accepted are answered,
// for answerShare of the grace period at most.
func (p *process) answerCalls() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(answerShare*float64(p.settings.GracePeriod)))
	defer cancel()
	for _, s := range p.servers {
		if err := s.Shutdown(ctx); err != nil {
			p.log.WithError(err).Warn("process: stopping with calls unanswered")
		}
	}
}

// close ends the process, which err is the reason of unless it is nil.
func (p *process) close(err error) error {
	var errs []error
	for _, s := range p.servers {
		errs = append(errs, s.Close())
	}
	if err != nil {
		p.log.WithError(err).Error("process: ends with an error")
	}
	if p.ending != nil {
		p.ending.close(err)
	}
	p.log.Info("process: stopped")
	return errors.Join(append(errs, p.logWriter.Close())...)
}

// boolGauge returns the value of a gauge: 1 for true, 0 for false.
func boolGauge(holds bool) float64 {
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
			defer func() { err = errors.Join(err, p.close(err)) }()
			metrics := daisymetrics.New()
			host, err := daisyentryhost.Open(daisyentryhost.Options{
				Settings: p.settings, Network: daisynet.TCP{}, Dialer: platform.Dialer{Network: daisynet.TCP{}},
				Codec: platform.NewClientCodec, Parse: platform.ParseDocument, Count: metrics, OnWait: metrics.RecordWait, Log: p.log,
			})
			if err != nil {
				return err
			}
			metrics.AddGauge("daisyglade_sessions", func() float64 { return float64(host.Sessions()) })
			metrics.AddGauge("daisyglade_desired_version", func() float64 { version, _ := host.Status(); return float64(version) })
			metrics.AddGauge("daisyglade_lease_valid", func() float64 { _, valid := host.Status(); return boolGauge(valid) })
			addEvacuations(metrics, p.settings.Regions, host.Evacuations)
			addLoad(metrics, host)
			err = errors.Join(
				p.serve(c.Context(), p.settings.Ready, platform.NewReadyHandler(host.Ready)),
				p.serveMetrics(c.Context(), metrics, daisyops.RouteHandler(host.ExplainRoute)),
			)
			if err == nil {
				p.followSettings(c.Context(), host.SetSeeds)
			}
			return errors.Join(err, host.Stop())
		},
	}
}

// addEvacuations adds a gauge for each failure domain: whether it is evacuated.
func addEvacuations(m *daisymetrics.Registry, domains map[string]string, evacuated func() []string) {
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		m.AddGauge(fmt.Sprintf("daisyglade_evacuated{domain=%q}", domain), func() float64 {
			return boolGauge(slices.Contains(evacuated(), domain))
		})
	}
}

// addLoad adds the totals of an entry host's load to the metrics.
func addLoad(m *daisymetrics.Registry, h *daisyentryhost.EntryHost) {
	totals := []struct {
		name  string
		value func(l daisyentryhost.Load) uint64
	}{
		{"daisyglade_calls_total", func(l daisyentryhost.Load) uint64 { return l.Forwarder.Calls }},
		{"daisyglade_calls_timed_out_total", func(l daisyentryhost.Load) uint64 { return l.Forwarder.TimedOut }},
		{"daisyglade_late_replies_total", func(l daisyentryhost.Load) uint64 { return l.Forwarder.LateReplies }},
		{"daisyglade_links_failed_total", func(l daisyentryhost.Load) uint64 { return l.Forwarder.LinksFailed }},
		{"daisyglade_links_lost_total", func(l daisyentryhost.Load) uint64 { return l.Forwarder.LinksLost }},
		{"daisyglade_gateway_requests_total", func(l daisyentryhost.Load) uint64 { return l.Gateway.Requests }},
		{"daisyglade_gateway_overloaded_total", func(l daisyentryhost.Load) uint64 { return l.Gateway.Overloaded }},
		{"daisyglade_gateway_not_sent_total", func(l daisyentryhost.Load) uint64 { return l.Gateway.NotSent }},
		{"daisyglade_gateway_evacuated_total", func(l daisyentryhost.Load) uint64 { return l.Gateway.Evacuated }},
		{"daisyglade_gateway_over_budget_total", func(l daisyentryhost.Load) uint64 { return l.Gateway.OverBudget }},
		{"daisyglade_not_at_home_total", func(l daisyentryhost.Load) uint64 { return l.NotAtHome }},
		{"daisyglade_server_dials_total", func(l daisyentryhost.Load) uint64 { return l.Dials }},
		{"daisyglade_server_dials_refused_total", func(l daisyentryhost.Load) uint64 { return l.Refused }},
		{"daisyglade_answers_foreign_total", func(l daisyentryhost.Load) uint64 { return l.Answers.Foreign }},
		{"daisyglade_answers_uncertain_total", func(l daisyentryhost.Load) uint64 { return l.Answers.Uncertain }},
		{"daisyglade_answers_unread_total", func(l daisyentryhost.Load) uint64 { return l.Answers.Unread }},
		{"daisyglade_primary_checks_total", func(l daisyentryhost.Load) uint64 { return l.Checks }},
		{"daisyglade_unsampled_reads_total", func(l daisyentryhost.Load) uint64 { return l.Unsampled }},
		{"daisyglade_held_off_total", func(l daisyentryhost.Load) uint64 { return l.HeldOff }},
		{"daisyglade_control_dials_total", func(l daisyentryhost.Load) uint64 { return l.Controls }},
		{"daisyglade_refused_over_rate_total", func(l daisyentryhost.Load) uint64 { return l.Refusals.OverRate }},
		{"daisyglade_refused_unanswered_total", func(l daisyentryhost.Load) uint64 { return l.Refusals.Unanswered }},
		{"daisyglade_refused_lost_control_total", func(l daisyentryhost.Load) uint64 { return l.Refusals.LostControl }},
		{"daisyglade_reserve_used_total", func(l daisyentryhost.Load) uint64 { return l.Reserve }},
	}
	for _, t := range totals {
		m.AddGauge(t.name, func() float64 { return float64(t.value(h.Load())) })
	}
	addTraffic(m, h)
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
			defer func() { err = errors.Join(err, p.close(err)) }()
			p.ending = openEnding(p.settings.DataFolder, p.log)
			network := daisynet.TCP{}
			host, err := daisycontrolhost.Open(daisycontrolhost.Options{
				Settings: p.settings, Network: network, Prober: platform.Dialer{Network: network}, Parse: platform.ParseDocument,
				Promoter: platform.Promoter{Network: network, Address: p.settings.PromotionService, Holder: p.settings.Host, Log: p.log},
				Log:      p.log,
			})
			if err != nil {
				return err
			}
			metrics := daisymetrics.New()
			metrics.AddGauge("daisyglade_leads", func() float64 { return boolGauge(host.Leads()) })
			metrics.AddGauge("daisyglade_storage_failed", func() float64 { return boolGauge(host.StorageFailed()) })
			metrics.AddGauge("daisyglade_control_links", func() float64 { open, _ := host.Links(); return float64(open) })
			metrics.AddGauge("daisyglade_control_links_total", func() float64 { _, opened := host.Links(); return float64(opened) })
			addEvacuations(metrics, p.settings.Regions, host.Evacuations)
			err = errors.Join(
				p.serve(c.Context(), p.settings.Control, platform.NewControlHandler(host, p.settings.Control, p.log)),
				p.serveMetrics(c.Context(), metrics, nil),
			)
			if err == nil {
				p.followSettings(c.Context(), host.SetSeeds)
			}
			p.answerCalls()
			return errors.Join(err, host.Close())
		},
	}
}
