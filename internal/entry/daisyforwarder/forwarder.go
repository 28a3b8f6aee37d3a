package daisyforwarder

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/control/daisyplacement"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/holder/daisygateway"
	"github.com/daisyglade/daisyglade/internal/net/daisypacer"
	"github.com/daisyglade/daisyglade/internal/net/daisytraffic"
)

// errNoGateway is returned while the fleet's state has no gateway for a server.
var errNoGateway = errors.New("no gateway is known for the backend server")

// Conn is a connection to another host.
type Conn interface {
	Send(ctx context.Context, message []byte) error
	Receive(ctx context.Context) ([]byte, error)
	// Protocol returns the protocol of the other host, one of daisylink's.
	Protocol() int
	Close()
}

// Dial opens a connection to another host.
type Dial func(ctx context.Context, addr netip.AddrPort) (Conn, error)

// Options configure a Forwarder.
type Options struct {
	Host     string // The name of this host.
	Local    *daisygateway.Gateway
	Topology daisyplacement.Topology
	Dial     Dial
	Pacer    *daisypacer.Pacer // Orders what this host sends over its link; may be nil.
	// OnWait is called with the time for which a message of the class waited for this host's
	// link. It may be nil.
	OnWait  func(place, class string, wait time.Duration)
	Delayed func() bool // Reports whether messages of this host are held up; may be nil.
	// Traffic returns the counter of bytes sent to the host at the address; may be nil.
	Traffic func(addr netip.AddrPort) daisytraffic.Counter
	Log     log.Interface
}

// Forwarder forwards statement requests to gateways. It is safe for concurrent
// use.
type Forwarder struct {
	// OnPosition is called with each position of a service's primary that comes
	// with a gateway's answer. The primary of the epoch was asked for it at the
	// time asked or later. OnPosition may be nil.
	OnPosition func(service string, epoch uint64, asked time.Time, p daisystatement.Position)
	// OnLoad is called with each load that a gateway states with its reply to a request.
	// It may be nil.
	OnLoad func(req daisyrequest.Request, l daisyrequest.Load)
	// OnCold is called with what each answer of a gateway tells of the budget of a cold
	// server, as daisygateway.Gateway.Cold. OnCold may be nil.
	OnCold func(server string, left float64, cold bool)

	options  Options
	counters counters
	ctx      context.Context
	cancel   context.CancelFunc
	wait     sync.WaitGroup
	gateways atomic.Pointer[map[string]daisyplacement.Gateways] // By server.
	regions  atomic.Pointer[map[string]string]                  // By host.

	cache daisyplacement.GatewayCache // Used by Refresh only.

	mu    sync.Mutex
	links map[netip.AddrPort]*link
}

// New returns a forwarder that knows no gateways. Refresh sets them.
func New(o Options) *Forwarder {
	f := &Forwarder{options: o, links: make(map[netip.AddrPort]*link)}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.gateways.Store(&map[string]daisyplacement.Gateways{})
	f.regions.Store(&map[string]string{})
	return f
}

// Refresh sets the gateways from the fleet's state. Calls must not overlap.
func (f *Forwarder) Refresh(s *daisyfleet.State) {
	next := f.cache.Gateways(f.options.Topology, s)
	regions := hostRegions(f.options.Topology, s)
	f.regions.Store(&regions)
	f.gateways.Store(&next)
}

// Gateways returns the gateways of a server.
func (f *Forwarder) Gateways(server string) daisyplacement.Gateways {
	return (*f.gateways.Load())[server]
}

// Rank returns the rank of this host among the gateways of a server, or -1. Gateways over
// which the requests are spread all have rank 0: each is the first for some workspaces.
func (f *Forwarder) Rank(server string) int {
	gateways := f.Gateways(server)
	rank := gateways.Rank(f.options.Host)
	if gateways.Spread {
		return min(rank, 0)
	}
	return rank
}

// GatewayHosts returns the names of the server's gateways, in the order in which requests
// of the workspace with the home regions try them.
func (f *Forwarder) GatewayHosts(server, workspace string, home daisyrequest.Home) (hosts []string) {
	for _, g := range f.usable(f.Gateways(server).Order(server, workspace), &daisyrequest.Request{Home: home}) {
		hosts = append(hosts, g.Host)
	}
	return hosts
}

// Run runs the request at the first gateway, in the order for its workspace, that can
// send it. Errors are as for daisygateway.Gateway.Run.
func (f *Forwarder) Run(req daisyrequest.Request) (a daisystatement.Answer, pinned daisyrequest.PinnedConn, err error) {
	err = fmt.Errorf("%w: %w", daisyrequest.ErrNotSent, errNoGateway)
	all := f.Gateways(req.Server).Order(req.Server, req.Workspace)
	gateways := f.usable(all, &req)
	if len(all) > 0 && len(gateways) == 0 {
		err = errNoGatewayAtHome(&req)
	}
	for i, g := range gateways {
		if time.Until(req.SendDeadline) <= 0 {
			break
		}
		a, pinned, err = f.runAt(g, req, i == len(gateways)-1)
		if !errors.Is(err, daisyrequest.ErrUnreachable) {
			return a, pinned, err
		}
	}
	return a, nil, err
}

// runAt runs the request at one gateway. An unreachable gateway gives the same
// error as an unreachable server. The last gateway is also waited for while a lost link
// to it is opened again.
func (f *Forwarder) runAt(g daisyplacement.Gateway, req daisyrequest.Request, last bool) (daisystatement.Answer, daisyrequest.PinnedConn, error) {
	if g.Host == f.options.Host {
		a, pinned, err := f.options.Local.Run(req)
		f.recordLoad(req, f.options.Local.Load(req))
		f.reportLocalCold(req.Server)
		return a, pinned, err
	}
	l, err := f.link(g.Address, req.SendDeadline, last)
	if err != nil {
		return daisystatement.Answer{}, nil, fmt.Errorf("%w: %w: %w", daisyrequest.ErrNotSent, daisyrequest.ErrUnreachable, err)
	}
	sent := daisyclock.Now()
	r, pinned, err := l.run(req)
	if s := r.Sample; s.Epoch > 0 && f.OnPosition != nil {
		// The gateway took the sample's age after the request was sent, so the
		// primary was asked no earlier than this.
		f.OnPosition(req.Service, s.Epoch, sent.Add(-s.Age), s.Position)
	}
	f.recordLoad(req, r.Load)
	f.reportCold(req.Server, r, err)
	return r.Answer, pinned, err
}

// recordLoad passes on a load that was stated.
func (f *Forwarder) recordLoad(req daisyrequest.Request, l daisyrequest.Load) {
	if f.OnLoad != nil && !l.IsZero() {
		f.OnLoad(req, l)
	}
}

// link returns an open link to the host. It opens one if there is none, unless
// the last one failed less than redialDelay ago. While a link that failed is opened again,
// it returns an error at once unless wait is set: a frozen host answers no dial, and
// each request would wait for dialTimeout before it goes to the next gateway.
func (f *Forwarder) link(addr netip.AddrPort, deadline time.Time, wait bool) (*link, error) {
	f.mu.Lock()
	l := f.links[addr]
	if l == nil || l.hasFailed() && !l.failedRecently() {
		reopened := l != nil
		l = newLink(addr, &f.counters, f.options.Delayed)
		l.pace = f.pace
		l.reopened = reopened
		if f.options.Traffic != nil {
			l.traffic = f.options.Traffic(addr)
		}
		f.links[addr] = l
		f.wait.Go(func() { l.serve(f.ctx, f.options.Dial, f.options.Log) })
	}
	f.mu.Unlock()
	if l.reopened && !wait {
		deadline = time.Time{}
	}
	return l, l.await(deadline)
}

// Close closes all links and waits until they have ended.
func (f *Forwarder) Close() error {
	f.cancel()
	f.wait.Wait()
	return nil
}
