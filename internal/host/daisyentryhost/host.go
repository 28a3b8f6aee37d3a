// Package daisyentryhost assembles an entry host of a fleet whose desired state is
// one document: it serves callers' sessions over its own pool of connections
// and acts on the state that the control leader leases to it.
package daisyentryhost

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/backend/daisypool"
	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/config/daisynode"
	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/control/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/control/daisylease"
	"github.com/daisyglade/daisyglade/internal/entry/daisyforwarder"
	"github.com/daisyglade/daisyglade/internal/entry/daisyfrontend"
	"github.com/daisyglade/daisyglade/internal/holder/daisygateway"
	"github.com/daisyglade/daisyglade/internal/limit/daisyadmission"
	"github.com/daisyglade/daisyglade/internal/limit/daisyquota"
	"github.com/daisyglade/daisyglade/internal/session/daisyrouter"
	"github.com/daisyglade/daisyglade/internal/session/daisysession"
	"github.com/daisyglade/daisyglade/internal/wire/daisylink"
	"github.com/daisyglade/daisyglade/internal/wire/daisynet"
)

const (
	// rotationTime is how long after it reports that it is not ready the
	// balancer still sends callers to the host: two checks, a second apart.
	rotationTime = 2200 * time.Millisecond
	// drainShare is the part of the grace period after which open transactions
	// are given up; the rest is for what is under way then.
	drainShare = 0.7
	// beliefInterval is how often a lost or regained lease is looked for.
	beliefInterval = 200 * time.Millisecond
	// headerTimeout bounds the opening of a link.
	headerTimeout = 5 * time.Second
)

// Options configure a Front.
type Options struct {
	Settings daisynode.Settings
	Network  daisynet.Network
	Dialer   daisypool.Dialer
	Codec    func(net.Conn) daisyfrontend.Codec
	Parse    func(content []byte) (*daisyspec.Document, error)
	Count    daisysession.Counter
	Log      log.Interface
}

// EntryHost is a running entry host.
type EntryHost struct {
	options     Options
	incarnation uint64
	ctx         context.Context
	cancel      context.CancelFunc
	wait        sync.WaitGroup
	leaving     atomic.Bool

	view    *daisyfleet.View
	dialer  *daisylink.Dialer
	index   atomic.Pointer[daisyspec.Index]
	keeper  *daisylease.Client
	pool    *daisypool.Pool
	gateway *daisygateway.Gateway
	carrier *daisyforwarder.Forwarder
	mux     daisylink.Mux
	links   *http.Server
	gate    *daisyadmission.Controller
	router  *daisyrouter.Router
	server  *daisyfrontend.Server
}

// Open starts an entry host.
func Open(o Options) (f *EntryHost, err error) {
	defer daisyerror.Annotate(&err, "open entry host")
	f = &EntryHost{
		options: o, incarnation: rand.Uint64(), view: daisyfleet.NewView(),
		dialer: daisylink.NewPlainDialer(o.Settings.Host, o.Network),
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.openControl()
	f.openBackends()
	if err := errors.Join(f.openLinks(), f.openEntry()); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	f.keeper.Start()
	f.wait.Go(f.follow)
	f.wait.Go(func() { f.router.Run(f.ctx) })
	return f, nil
}

// openControl makes what the host has from the control leader: the state under
// its lease and tokens.
func (f *EntryHost) openControl() {
	f.keeper = daisylease.New(daisylease.Options{
		Hosts: f.options.Settings.Seeds, Report: f.report, Probe: func([]daisyheartbeat.Probe) {}, Grant: f.grant,
		View: f.view, Log: f.options.Log, Eager: true,
		Dial: func(ctx context.Context, addr netip.AddrPort) (daisylease.Link, error) {
			c, err := f.dial(ctx, addr, daisylink.PathHeartbeat)
			if err != nil {
				return nil, err
			}
			return c, nil
		},
	})
	f.gate = daisyadmission.New(f.keeper.Wake)
}

// openBackends makes the ways to backend servers.
func (f *EntryHost) openBackends() {
	s := &f.options.Settings
	f.pool = daisypool.New(f.options.Dialer)
	f.gateway = daisygateway.New(f.pool, f.options.Log)
	f.carrier = daisyforwarder.New(daisyforwarder.Options{
		Host: s.Host, Local: f.gateway, Topology: daisyforwarder.Topology{Regions: s.Regions}, Log: f.options.Log,
		Dial: func(ctx context.Context, addr netip.AddrPort) (daisyforwarder.Conn, error) {
			c, err := f.dial(ctx, addr, daisylink.PathStatement)
			if err != nil {
				return nil, err
			}
			return c, nil
		},
	})
	f.router = daisyrouter.New(daisyrouter.Options{
		View: f.view, Lease: f.keeper, Forwarder: f.carrier, Reach: f.pool.Reach,
		Gateway: func(server string) bool { return f.carrier.Rank(server) == 0 }, OnUnresponsive: f.keeper.Wake, Regions: s.Regions,
		Place: daisyrouter.Place{FailureDomain: s.FailureDomain, Region: s.Region()},
	})
	f.carrier.OnPosition = f.router.Learn
}

// dial opens a link to another host.
func (f *EntryHost) dial(ctx context.Context, addr netip.AddrPort, path daisylink.Path) (*daisylink.Conn, error) {
	return f.dialer.Dial(ctx, addr, path)
}

// openEntry serves callers.
func (f *EntryHost) openEntry() (err error) {
	o := &f.options
	f.server, err = daisyfrontend.Open(f.ctx, daisyfrontend.Options{
		Network: o.Network, Listen: o.Settings.Callers, Codec: o.Codec, Log: o.Log,
		Environment: &daisysession.Environment{
			Index: f.index.Load, Router: f.router, Forwarder: f.carrier, Admission: f.gate, Count: o.Count, Log: o.Log,
		},
	})
	return err
}

// openLinks serves the errands of other hosts.
func (f *EntryHost) openLinks() error {
	f.mux.Plain = true
	f.mux.Handle(daisylink.PathStatement, func(ctx context.Context, c *daisylink.Conn) {
		daisyforwarder.Serve(ctx, c, f.gateway, f.router, f.options.Log)
	})
	listener, err := f.options.Network.Listen(f.ctx, f.options.Settings.Link)
	if err != nil {
		return err
	}
	f.links = &http.Server{
		Handler: &f.mux, ReadHeaderTimeout: headerTimeout,
		BaseContext: func(net.Listener) context.Context { return f.ctx },
	}
	f.wait.Go(func() { _ = f.links.Serve(listener) })
	return nil
}

// report gathers what the next heartbeat says.
func (f *EntryHost) report() daisyheartbeat.Heartbeat {
	s := &f.options.Settings
	return daisyheartbeat.Heartbeat{
		Host: s.Host, Incarnation: f.incarnation, Address: s.Link, FailureDomain: s.FailureDomain,
		Region: s.Region(), Leaving: f.leaving.Load(), Observations: f.router.Observations(), Demands: f.gate.Demands(),
	}
}

func (f *EntryHost) grant(grants []daisyheartbeat.Demand) { f.gate.Put(grants) }

// follow keeps what sessions use up with the state that the host holds.
func (f *EntryHost) follow() {
	held := beliefs{primacies: make(map[string]daisyfleet.Leadership)}
	ticker := time.NewTicker(beliefInterval)
	defer ticker.Stop()
	for {
		changed := f.view.Changed()
		f.refresh()
		if !f.awaitChange(changed, ticker.C, &held) {
			return
		}
	}
}

// awaitChange reports what the host believes until the held state changes. It
// returns false if the host is closed.
func (f *EntryHost) awaitChange(changed <-chan struct{}, tick <-chan time.Time, held *beliefs) bool {
	for {
		f.reportBeliefs(held)
		select {
		case <-changed:
			return true
		case <-tick:
		case <-f.ctx.Done():
			return false
		}
	}
}

// beliefs are what the host has reported to believe.
type beliefs struct {
	valid     bool
	primacies map[string]daisyfleet.Leadership
}

// reportBeliefs writes a line for each change of what sessions act on.
func (f *EntryHost) reportBeliefs(held *beliefs) {
	if valid := f.keeper.Valid(); valid != held.valid {
		held.valid = valid
		f.options.Log.WithFields(log.Fields{"Valid": valid, "Revision": f.view.Revision()}).Info("front: lease changed")
	}
	f.view.Read(func(s *daisyfleet.State) {
		s.EachSorted(daisyfleet.KindLeadership, func(o daisyfleet.Object) {
			p, ok := o.Value.(daisyfleet.Leadership)
			if !ok || held.primacies[o.Name] == p {
				return
			}
			held.primacies[o.Name] = p
			f.options.Log.WithFields(log.Fields{
				"Service": o.Name, "Round": p.Epoch, "Primary": p.Server, "Term": p.Term, "Revision": o.Revision,
			}).Info("front: primary changed")
		})
	})
}

func (f *EntryHost) refresh() {
	if d, ok := f.view.Document(); ok {
		if held := f.index.Load(); held == nil || held.Version != d.Version {
			f.adopt(d)
		}
	}
	hosts := 0
	f.view.Read(func(s *daisyfleet.State) {
		s.Each(daisyfleet.KindHost, func(daisyfleet.Object) { hosts++ })
	})
	f.gate.SetHosts(max(1, hosts))
	f.view.Read(f.carrier.Refresh)
	f.refreshServers()
	f.router.Refresh()
}

// refreshServers gives each server its share of connections and its slots.
func (f *EntryHost) refreshServers() {
	known := make(map[string]bool)
	f.view.Read(func(s *daisyfleet.State) {
		s.Each(daisyfleet.KindServer, func(o daisyfleet.Object) {
			v, ok := o.Value.(daisyfleet.Server)
			if !ok {
				return
			}
			known[o.Name] = true
			most := daisyforwarder.Share(f.connections(v.Service), f.carrier.Rank(o.Name))
			target := daisypool.Target{Server: o.Name, Service: v.Service, Address: v.Address}
			f.pool.Set(target, daisypool.Share{KeepOpen: most, MaxOpen: most})
			regions := f.options.Settings.Regions
			f.gateway.SetSlots(o.Name, v.Slots, regions[v.FailureDomain] != f.options.Settings.Region())
		})
	})
	for _, name := range f.pool.ServerNames() {
		if !known[name] {
			f.pool.Remove(name)
			f.gateway.Forget(name)
		}
	}
}

// connections returns how many connections a server of the service takes.
func (f *EntryHost) connections(service string) int {
	index := f.index.Load()
	if index == nil {
		return 0
	}
	v, _ := index.Service(service)
	return v.Connections
}

// adopt puts a desired state in force.
func (f *EntryHost) adopt(d daisyfleet.Document) {
	content, err := daisyspec.Unpack(d.Content)
	var document *daisyspec.Document
	if err == nil {
		document, err = f.options.Parse(content)
	}
	if err != nil {
		f.options.Log.WithError(err).Error("front: accepted desired state cannot be read")
		return
	}
	index := daisyspec.NewIndex(document)
	f.index.Store(index)
	var limits []daisyquota.Limit
	index.EachWorkspace(func(w daisyspec.Workspace) {
		limits = append(limits, daisyquota.Limit{Workspace: w.Name, Rate: w.Rate, Burst: w.Burst})
	})
	f.gate.SetLimits(limits)
	f.options.Log.WithField("Version", d.Version).Info("front: desired state in force")
}

// Ready reports whether callers may be sent here.
func (f *EntryHost) Ready() bool {
	return !f.leaving.Load() && f.index.Load() != nil && f.keeper.Valid()
}

// SetSeeds replaces the seeds.
func (f *EntryHost) SetSeeds(seeds []netip.AddrPort) { f.keeper.SetHosts(seeds) }

// Status tells what the host acts on: the version of the desired state in force and
// whether its lease is valid.
func (f *EntryHost) Status() (version uint64, valid bool) {
	if index := f.index.Load(); index != nil {
		version = index.Version
	}
	return version, f.keeper.Valid()
}

// Sessions returns how many callers are connected.
func (f *EntryHost) Sessions() int { return f.server.Sessions() }

// Stop ends the host gracefully: callers go elsewhere, sessions end when they
// are idle, and open transactions have most of the grace period.
func (f *EntryHost) Stop() error {
	began := time.Now()
	f.leaving.Store(true)
	f.keeper.Wake()
	f.options.Log.Info("front: stopping")
	limit := time.Duration(float64(f.options.Settings.Grace) * drainShare)
	time.Sleep(min(rotationTime, limit/2))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(limit))
	defer cancel()
	f.server.Drain(ctx)
	return f.Close()
}

// Close stops the host at once and waits until nothing of it runs.
func (f *EntryHost) Close() error {
	f.cancel()
	var errs []error
	if f.server != nil {
		errs = append(errs, f.server.Close())
	}
	if f.links != nil {
		errs = append(errs, f.links.Close())
		f.mux.Wait()
	}
	errs = append(errs, f.keeper.Close(), f.carrier.Close(), f.gateway.Close(), f.pool.Close())
	f.wait.Wait()
	return errors.Join(errs...)
}
