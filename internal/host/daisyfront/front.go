// Package daisyfront assembles an entry host of a fleet whose desired state is
// one document: it serves callers' sessions over its own pool of connections
// and acts on the state that the control leader leases to it.
package daisyfront

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/backend/daisypool"
	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/config/daisydesire"
	"github.com/daisyglade/daisyglade/internal/config/daisynode"
	"github.com/daisyglade/daisyglade/internal/control/daisybeat"
	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/control/daisykeeper"
	"github.com/daisyglade/daisyglade/internal/entry/daisyserver"
	"github.com/daisyglade/daisyglade/internal/limit/daisyallowance"
	"github.com/daisyglade/daisyglade/internal/limit/daisygate"
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
	// are given up: five sixths.
	drainShare = 5.0 / 6
)

// Options configure a Front.
type Options struct {
	Settings daisynode.Settings
	Network  daisynet.Network
	Dialer   daisypool.Dialer
	Codec    func(net.Conn) daisyserver.Codec
	Parse    func(content []byte) (*daisydesire.Document, error)
	Count    daisysession.Counter
	Log      log.Interface
}

// Front is a running entry host.
type Front struct {
	options     Options
	incarnation uint64
	ctx         context.Context
	cancel      context.CancelFunc
	wait        sync.WaitGroup
	leaving     atomic.Bool

	view   *daisyfleet.View
	index  atomic.Pointer[daisydesire.Index]
	keeper *daisykeeper.Keeper
	pool   *daisypool.Pool
	gate   *daisygate.Gate
	router *daisyrouter.Router
	server *daisyserver.Server
}

// Open starts an entry host.
func Open(o Options) (f *Front, err error) {
	defer daisyerror.Annotate(&err, "open entry host")
	f = &Front{options: o, incarnation: rand.Uint64(), view: daisyfleet.NewView()}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	s := &o.Settings
	dialer := daisylink.NewPlainDialer(s.Host, o.Network)
	f.keeper = daisykeeper.New(daisykeeper.Options{
		Hosts: s.Seeds, Report: f.report, Probe: func([]daisybeat.Probe) {}, Grant: f.grant, View: f.view, Log: o.Log,
		Dial: func(ctx context.Context, addr netip.AddrPort) (daisykeeper.Link, error) {
			c, err := dialer.Dial(ctx, addr, daisylink.PathBeat)
			if err != nil {
				return nil, err
			}
			return c, nil
		},
	})
	f.pool = daisypool.New(o.Dialer)
	f.gate = daisygate.New(f.keeper.Wake)
	f.router = daisyrouter.New(daisyrouter.Options{
		View: f.view, Right: f.keeper, Pool: f.pool, Doubt: f.keeper.Wake, Regions: s.Regions,
		Place: daisyrouter.Place{FailureDomain: s.FailureDomain, Region: s.Region()},
	})
	desk := &daisysession.Desk{Index: f.index.Load, Router: f.router, Pool: f.pool, Gate: f.gate, Count: o.Count, Log: o.Log}
	f.server, err = daisyserver.Open(f.ctx, daisyserver.Options{
		Network: o.Network, Listen: s.Callers, Codec: o.Codec, Desk: desk, Log: o.Log,
	})
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	f.keeper.Start()
	f.wait.Go(f.follow)
	f.wait.Go(func() { f.router.Sample(f.ctx) })
	return f, nil
}

// report gathers what the next heartbeat says.
func (f *Front) report() daisybeat.Beat {
	s := &f.options.Settings
	return daisybeat.Beat{
		Host: s.Host, Incarnation: f.incarnation, Address: s.Callers, FailureDomain: s.FailureDomain,
		Region: s.Region(), Leaving: f.leaving.Load(), Sights: f.router.Sights(), Demands: f.gate.Demands(),
	}
}

func (f *Front) grant(grants []daisybeat.Demand) { f.gate.Put(grants) }

// follow keeps what sessions use up with the state that the host holds.
func (f *Front) follow() {
	for {
		changed := f.view.Changed()
		f.refresh()
		select {
		case <-changed:
		case <-f.ctx.Done():
			return
		}
	}
}

func (f *Front) refresh() {
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
	f.router.Refresh(func(service string) daisypool.Share {
		connections := 0
		if index := f.index.Load(); index != nil {
			if v, ok := index.Service(service); ok {
				connections = v.Connections
			}
		}
		return daisypool.ShareOf(connections, hosts)
	})
}

// adopt puts a desired state in force.
func (f *Front) adopt(d daisyfleet.Document) {
	content, err := daisydesire.Unpack(d.Content)
	var document *daisydesire.Document
	if err == nil {
		document, err = f.options.Parse(content)
	}
	if err != nil {
		f.options.Log.WithError(err).Error("front: accepted desired state cannot be read")
		return
	}
	index := daisydesire.NewIndex(document)
	f.index.Store(index)
	var limits []daisyallowance.Limit
	index.EachWorkspace(func(w daisydesire.Workspace) {
		limits = append(limits, daisyallowance.Limit{Workspace: w.Name, Rate: w.Rate, Burst: w.Burst})
	})
	f.gate.SetLimits(limits)
	f.options.Log.WithField("Version", d.Version).Info("front: desired state in force")
}

// Ready reports whether callers may be sent here.
func (f *Front) Ready() bool {
	return !f.leaving.Load() && f.index.Load() != nil && f.keeper.Valid()
}

// SetSeeds replaces the seeds.
func (f *Front) SetSeeds(seeds []netip.AddrPort) { f.keeper.SetHosts(seeds) }

// Sessions returns how many callers are connected.
func (f *Front) Sessions() int { return f.server.Sessions() }

// Stop ends the host gracefully: callers go elsewhere, sessions end when they
// are idle, and open transactions have most of the grace period.
func (f *Front) Stop() error {
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
func (f *Front) Close() error {
	f.cancel()
	var errs []error
	if f.server != nil {
		errs = append(errs, f.server.Close())
	}
	errs = append(errs, f.keeper.Close(), f.pool.Close())
	f.wait.Wait()
	return errors.Join(errs...)
}
