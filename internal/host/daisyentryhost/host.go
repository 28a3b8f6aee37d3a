// Package daisyentryhost assembles an entry host of a fleet whose desired state is
// one document. The host serves clients' sessions over its own pool of
// connections to backend servers. It acts on the control state while its lease
// from the control leader is valid.
package daisyentryhost

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/backend/daisypool"
	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/cluster/daisylease"
	"github.com/daisyglade/daisyglade/internal/config/daisynode"
	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/control/daisyplacement"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/entry/daisyforwarder"
	"github.com/daisyglade/daisyglade/internal/entry/daisyfrontend"
	"github.com/daisyglade/daisyglade/internal/holder/daisygateway"
	"github.com/daisyglade/daisyglade/internal/limit/daisyadmission"
	"github.com/daisyglade/daisyglade/internal/limit/daisyquota"
	"github.com/daisyglade/daisyglade/internal/net/daisylink"
	"github.com/daisyglade/daisyglade/internal/net/daisynet"
	"github.com/daisyglade/daisyglade/internal/net/daisypacer"
	"github.com/daisyglade/daisyglade/internal/net/daisytraffic"
	"github.com/daisyglade/daisyglade/internal/session/daisybalance"
	"github.com/daisyglade/daisyglade/internal/session/daisyrouter"
	"github.com/daisyglade/daisyglade/internal/session/daisysession"
)

const (
	// balancerDelay is how long the balancer still sends clients to a host that
	// has started to report that it is not ready: two checks, a second apart.
	balancerDelay = 2200 * time.Millisecond
	// drainShare is the part of the grace period after which open transactions
	// are aborted. The rest is for the statements that are still running then.
	drainShare = 0.7
	// finishShare is the part after which statements that are still running lose their
	// connections.
	finishShare = 0.9
	// closeShare is the part after which Stop no longer waits, since the platform
	// kills the process at the end of the grace period.
	closeShare = 0.96
	// workCheckInterval is the time between checks whether the work of other hosts at
	// the gateway of a stopping host has ended.
	workCheckInterval = 20 * time.Millisecond
	// leaseCheckInterval is the time between checks whether the lease has expired
	// or become valid, to log the change.
	leaseCheckInterval = 200 * time.Millisecond
	// headerTimeout bounds the reading of the HTTP header that opens a link.
	headerTimeout = 5 * time.Second
)

// Options configure an EntryHost.
type Options struct {
	Settings daisynode.Settings
	Network  daisynet.Network
	Dialer   daisypool.Dialer
	Codec    func(net.Conn) daisyfrontend.Codec
	Parse    func(content []byte) (*daisyspec.Document, error)
	Count    daisysession.Counter
	// OnWait is called with the time for which a request of the class waited at a place:
	// for tokens, in a gateway's queue or for a connection. It may be nil.
	OnWait func(place, class string, wait time.Duration)
	Log    log.Interface
}

// EntryHost is a running entry host.
type EntryHost struct {
	options     Options
	incarnation uint64
	ctx         context.Context
	cancel      context.CancelFunc
	wait        sync.WaitGroup
	leaving     atomic.Bool
	evacuations atomic.Pointer[[]string] // The evacuated failure domains that the parts below know.
	placement   pacedWork                // Used by applyState only.

	view      *daisyfleet.View
	dialer    *daisylink.Dialer
	index     atomic.Pointer[daisyspec.Index]
	lease     *daisylease.Client
	pacer     *daisypacer.Pacer
	pool      *daisypool.Pool
	gateway   *daisygateway.Gateway
	forwarder *daisyforwarder.Forwarder
	mux       daisylink.Mux
	links     *http.Server
	admission *daisyadmission.Controller
	router    *daisyrouter.Router
	traffic   daisytraffic.Meter
	server    *daisyfrontend.Server
}

// Open starts an entry host.
func Open(o Options) (h *EntryHost, err error) {
	defer daisyerror.Annotate(&err, "open entry host")
	h = &EntryHost{
		options: o, incarnation: rand.Uint64(), view: daisyfleet.NewView(),
		dialer: daisylink.NewPlainDialer(o.Settings.Host, o.Network),
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.openControl()
	h.openBackends()
	if err := errors.Join(h.openLinks(), h.openEntry()); err != nil {
		return nil, errors.Join(err, h.Close())
	}
	h.lease.Start()
	h.wait.Go(h.applyState)
	h.wait.Go(h.logLoad)
	h.wait.Go(func() { h.router.Run(h.ctx) })
	return h, nil
}

// openControl creates what depends on the control leader: the lease client, which
// receives the control state, and admission control, which receives tokens.
func (h *EntryHost) openControl() {
	h.lease = daisylease.New(daisylease.Options{
		Hosts: h.options.Settings.Seeds, Report: h.heartbeat, Probe: func([]daisyheartbeat.Probe) {}, Grant: h.grant,
		View: h.view, Log: h.options.Log, Eager: true,
		Dial: func(ctx context.Context, addr netip.AddrPort) (daisylease.Link, error) {
			c, err := h.dial(ctx, addr, daisylink.PathHeartbeat)
			if err != nil {
				return nil, err
			}
			return daisylease.Counted(c, h.trafficTo(addr)), nil
		},
	})
	h.admission = daisyadmission.New(h.lease.Wake)
	h.admission.WatchControl(h.lease.Lost)
}

// openBackends creates the parts that connect to backend servers.
func (h *EntryHost) openBackends() {
	s := &h.options.Settings
	h.pacer = daisypacer.New(s.LinkSpeed)
	h.pool = daisypool.New(h.options.Dialer)
	h.pool.OnRepeat = func(server string) {
		h.options.Log.WithField("Server", server).Warn("pool: backend server sends answers again")
	}
	h.gateway = daisygateway.New(h.pool, h.options.Log)
	h.gateway.OnWait = h.options.OnWait
	h.forwarder = daisyforwarder.New(daisyforwarder.Options{
		Host: s.Host, Local: h.gateway, Topology: daisyplacement.Topology{Regions: s.Regions}, Log: h.options.Log, Delayed: h.lease.Delayed,
		Pacer: h.pacer, OnWait: h.options.OnWait, Traffic: h.trafficTo,
		Dial: func(ctx context.Context, addr netip.AddrPort) (daisyforwarder.Conn, error) {
			c, err := h.dial(ctx, addr, daisylink.PathStatement)
			if err != nil {
				return nil, err
			}
			return c, nil
		},
	})
	h.router = daisyrouter.New(daisyrouter.Options{
		View: h.view, Lease: h.lease, Forwarder: h.forwarder, Reach: h.pool.Reach,
		GatewayRank: h.forwarder.Rank, OnUnresponsive: h.lease.Wake, Delayed: h.lease.Delayed, Regions: s.Regions, Index: h.index.Load,
		Location: daisyrouter.Location{FailureDomain: s.FailureDomain, Region: s.Region()},
		Costs:    daisybalance.Costs{Domain: s.DomainCost, Region: s.RegionCost},
	})
	h.forwarder.OnLoad = h.router.RecordLoad
	h.forwarder.OnPosition = h.router.RecordPeerPosition
	h.forwarder.OnCold = h.router.RecordCold
}

// dial opens a link to another host.
func (h *EntryHost) dial(ctx context.Context, addr netip.AddrPort, path daisylink.Path) (*daisylink.Conn, error) {
	return h.dialer.Dial(ctx, addr, path)
}

// openEntry starts to serve clients.
func (h *EntryHost) openEntry() (err error) {
	o := &h.options
	h.server, err = daisyfrontend.Open(h.ctx, daisyfrontend.Options{
		Network: daisypacer.Network{Network: o.Network, Pacer: h.pacer}, Listen: o.Settings.Clients, Codec: o.Codec, Log: o.Log,
		Environment: &daisysession.Environment{
			Index: h.index.Load, Router: h.router, Forwarder: h.forwarder, Admission: h.admission, Control: contact{h}, Count: o.Count, OnWait: o.OnWait, Log: o.Log,
		},
	})
	return err
}

// openLinks starts to serve the statement requests of other hosts.
func (h *EntryHost) openLinks() error {
	h.mux.Plain = true
	h.mux.Handle(daisylink.PathStatement, func(ctx context.Context, c *daisylink.Conn) {
		pacing := daisyforwarder.Pacing{Pacer: h.pacer, OnWait: h.options.OnWait}
		daisyforwarder.Serve(ctx, c, h.gateway, h.router, pacing, h.trafficToHost(c.Peer()), h.options.Log)
	})
	listener, err := h.options.Network.Listen(h.ctx, h.options.Settings.Link)
	if err != nil {
		return err
	}
	h.links = &http.Server{
		Handler: &h.mux, ReadHeaderTimeout: headerTimeout,
		BaseContext: func(net.Listener) context.Context { return h.ctx },
	}
	h.wait.Go(func() { _ = h.links.Serve(listener) })
	return nil
}

// heartbeat returns the content of the next heartbeat.
func (h *EntryHost) heartbeat() daisyheartbeat.Heartbeat {
	s := &h.options.Settings
	return daisyheartbeat.Heartbeat{
		Host: s.Host, Incarnation: h.incarnation, Address: s.Link, FailureDomain: s.FailureDomain,
		Region: s.Region(), Leaving: h.leaving.Load(), Observations: h.router.Observations(), Demands: h.admission.Demands(),
	}
}

func (h *EntryHost) grant(grants []daisyheartbeat.Demand) { h.admission.AddGrants(grants) }

// applyState updates what sessions use whenever the control state changes, until
// the host is closed.
func (h *EntryHost) applyState() {
	logged := loggedState{leaderships: make(map[string]daisyfleet.Leadership)}
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		changed := h.view.Changed()
		h.refreshDesired()
		h.refreshPlacement()
		if !h.logUntilChange(changed, ticker.C, &logged) {
			return
		}
	}
}

// logUntilChange logs changes of the lease and of primaries until the control
// state changes. It returns false if the host is closed.
func (h *EntryHost) logUntilChange(changed <-chan struct{}, tick <-chan time.Time, logged *loggedState) bool {
	h.logState(logged)
	for {
		h.logLease(logged)
		select {
		case <-changed:
			return true
		case <-h.placement.due():
			h.refreshPlacement()
		case <-tick:
		case <-h.ctx.Done():
			return false
		}
	}
}

// loggedState is what was last logged of the state that sessions act on.
type loggedState struct {
	leaseValid  bool
	controlLost bool
	leaderships map[string]daisyfleet.Leadership
	evacuations []string
}

// logLease writes a log line if the lease has expired or become valid.
func (h *EntryHost) logLease(logged *loggedState) {
	if valid := h.lease.Valid(); valid != logged.leaseValid {
		logged.leaseValid = valid
		h.options.Log.WithFields(log.Fields{"Valid": valid, "Revision": h.view.Revision()}).Info("front: lease changed")
	}
	h.logControl(logged)
}

// logState writes a log line for each change of the evacuated failure domains or of a
// primary.
func (h *EntryHost) logState(logged *loggedState) {
	if domains := h.Evacuations(); !slices.Equal(domains, logged.evacuations) {
		logged.evacuations = domains
		h.options.Log.WithField("Domains", domains).Info("front: evacuated failure domains changed")
	}
	h.view.Read(func(s *daisyfleet.State) {
		s.EachSorted(daisyfleet.KindLeadership, func(o daisyfleet.Object) {
			leadership, ok := o.Value.(daisyfleet.Leadership)
			if !ok || logged.leaderships[o.Name] == leadership {
				return
			}
			logged.leaderships[o.Name] = leadership
			h.options.Log.WithFields(log.Fields{
				"Service": o.Name, "Round": leadership.Epoch, "Primary": leadership.Server, "Term": leadership.Term, "Revision": o.Revision,
			}).Info("front: primary changed")
		})
	})
}

// service returns the named service of the desired state, the zero value if there is
// none.
func (h *EntryHost) service(name string) (v daisyspec.Service) {
	if index := h.index.Load(); index != nil {
		v, _ = index.Service(name)
	}
	return v
}

// applyDocument puts a desired state in force on this host.
func (h *EntryHost) applyDocument(d daisyfleet.Document) {
	content, err := daisyspec.Unpack(d.Content)
	var document *daisyspec.Document
	if err == nil {
		document, err = h.options.Parse(content)
	}
	if err != nil {
		h.options.Log.WithError(err).Error("front: accepted desired state is unreadable; the previous one stays in force")
		return
	}
	index := daisyspec.NewIndex(document)
	h.index.Store(index)
	var limits []daisyquota.WorkspaceLimit
	index.EachWorkspace(func(w daisyspec.Workspace) {
		limits = append(limits, daisyquota.WorkspaceLimit{Workspace: w.Name, Rate: w.Rate, Burst: w.Burst})
	})
	h.admission.SetLimits(limits)
	h.options.Log.WithField("Version", d.Version).Info("front: desired state in force")
}

// Ready reports whether the balancer may send clients to this host.
func (h *EntryHost) Ready() bool {
	return !h.leaving.Load() && h.index.Load() != nil && h.lease.Valid() && !h.lease.Lost()
}

// SetSeeds replaces the addresses of the control hosts to contact.
func (h *EntryHost) SetSeeds(seeds []netip.AddrPort) { h.lease.SetHosts(seeds) }

// Status returns the version of the desired state in force on the host and
// whether its lease is valid.
func (h *EntryHost) Status() (version uint64, valid bool) {
	if index := h.index.Load(); index != nil {
		version = index.Version
	}
	return version, h.lease.Valid()
}

// Evacuations returns the names of the evacuated failure domains that this host obeys.
func (h *EntryHost) Evacuations() (domains []string) {
	if obeyed := h.evacuations.Load(); obeyed != nil {
		domains = *obeyed
	}
	return domains
}

// Sessions returns the number of connected clients.
func (h *EntryHost) Sessions() int { return h.server.Sessions() }

// Stop stops the host gracefully. The host first reports that it is not ready, so
// that the balancer sends new clients elsewhere and other hosts use other gateways.
// Sessions end once they are idle, and open transactions, also those of other hosts at
// this gateway, may run for drainShare of the grace period. Statements that are running
// then are answered until finishShare of it.
func (h *EntryHost) Stop() error {
	started := time.Now()
	until := func(share float64) time.Time {
		return started.Add(time.Duration(float64(h.options.Settings.GracePeriod) * share))
	}
	h.leaving.Store(true)
	h.lease.Wake()
	h.options.Log.Info("front: stopping; draining sessions")
	time.Sleep(min(balancerDelay, time.Until(until(drainShare))/2))
	drain, cancel := context.WithDeadline(context.Background(), until(drainShare))
	defer cancel()
	h.server.Drain(drain)
	h.awaitGateway(drain)
	h.options.Log.WithFields(log.Fields{"Sessions": h.server.Sessions(), "Active": h.gateway.Active()}).Info("front: ending sessions once their statements are answered")
	finish, cancel := context.WithDeadline(context.Background(), until(finishShare))
	defer cancel()
	h.server.Finish(finish)
	closed := make(chan error, 1)
	go func() { closed <- h.Close() }()
	select {
	case err := <-closed:
		return err
	case <-time.After(time.Until(until(closeShare))):
		h.options.Log.Warn("front: the grace period is nearly over; ending with statements unanswered")
		return nil
	}
}

// awaitGateway waits until no statement or transaction uses this host's gateway, or ctx
// ends.
func (h *EntryHost) awaitGateway(ctx context.Context) {
	ticker := time.NewTicker(workCheckInterval)
	defer ticker.Stop()
	for h.gateway.Active() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Close stops the host at once and waits until all its parts have stopped.
func (h *EntryHost) Close() error {
	h.cancel()
	var errs []error
	if h.server != nil {
		errs = append(errs, h.server.Close())
	}
	if h.links != nil {
		errs = append(errs, h.links.Close())
		h.mux.Wait()
	}
	errs = append(errs, h.lease.Close(), h.pacer.Close(), h.forwarder.Close(), h.pool.Close())
	h.wait.Wait()
	return errors.Join(errs...)
}
