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
	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/holder/daisygateway"
	"github.com/daisyglade/daisyglade/internal/session/daisystatement"
)

// errNoGateway is returned while no host is known that reaches the server.
var errNoGateway = errors.New("no gateway of the server is known")

// Conn is a connection to another host.
type Conn interface {
	Send(ctx context.Context, message []byte) error
	Receive(ctx context.Context) ([]byte, error)
	Close()
}

// Dial opens a connection to another host.
type Dial func(ctx context.Context, addr netip.AddrPort) (Conn, error)

// Options configure a Carrier.
type Options struct {
	Host     string // The name of this host.
	Local    *daisygateway.Gateway
	Topology Topology
	Dial     Dial
	Log      log.Interface
}

// Forwarder brings errands to gateways. It is safe for concurrent use.
type Forwarder struct {
	// OnPosition is told the positions of primaries that gateways know: the primary of
	// the round was asked at the time or later. It may be nil.
	OnPosition func(service string, round uint64, asked time.Time, p daisystatement.Position)

	options  Options
	ctx      context.Context
	cancel   context.CancelFunc
	wait     sync.WaitGroup
	gateways atomic.Pointer[map[string][]Gateway] // By server.

	mu    sync.Mutex
	links map[netip.AddrPort]*link
}

// New returns a carrier that knows no gateways yet.
func New(o Options) *Forwarder {
	c := &Forwarder{options: o, links: make(map[netip.AddrPort]*link)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.gateways.Store(&map[string][]Gateway{})
	return c
}

// Refresh takes over the gateways that follow from the fleet's state.
func (c *Forwarder) Refresh(s *daisyfleet.State) {
	next := make(map[string][]Gateway)
	s.Each(daisyfleet.KindServer, func(o daisyfleet.Object) {
		if v, ok := o.Value.(daisyfleet.Server); ok {
			next[o.Name] = c.options.Topology.Gateways(s, o.Name, v.FailureDomain)
		}
	})
	c.gateways.Store(&next)
}

// Rank returns the rank of this host among the gateways of a server, or -1.
func (c *Forwarder) Rank(server string) int {
	for i, g := range (*c.gateways.Load())[server] {
		if g.Host == c.options.Host {
			return i
		}
	}
	return -1
}

// Run has the errand run by the first gateway that can send it. Errors are as
// for daisygateway.Gateway.Run.
func (c *Forwarder) Run(e daisygateway.StatementRequest) (a daisystatement.Answer, lane daisygateway.PinnedConn, err error) {
	err = fmt.Errorf("%w: %w", daisygateway.ErrNotSent, errNoGateway)
	for _, g := range (*c.gateways.Load())[e.Server] {
		if time.Until(e.SendDeadline) <= 0 {
			break
		}
		a, lane, err = c.runAt(g, e)
		if !errors.Is(err, daisygateway.ErrUnreachable) {
			return a, lane, err
		}
	}
	return a, nil, err
}

// runAt runs the errand at one gateway. A gateway that cannot be reached counts
// like a server that cannot.
func (c *Forwarder) runAt(g Gateway, e daisygateway.StatementRequest) (daisystatement.Answer, daisygateway.PinnedConn, error) {
	if g.Host == c.options.Host {
		return c.options.Local.Run(e)
	}
	l, err := c.link(g.Address, e.SendDeadline)
	if err != nil {
		return daisystatement.Answer{}, nil, fmt.Errorf("%w: %w: %w", daisygateway.ErrNotSent, daisygateway.ErrUnreachable, err)
	}
	sent := daisyclock.Now()
	r, lane, err := l.run(e)
	if s := r.Sample; s.Epoch > 0 && c.OnPosition != nil {
		// The gateway answered after the errand was sent, so the primary was asked
		// no earlier than this.
		c.OnPosition(e.Service, s.Epoch, sent.Add(-s.Age), s.Position)
	}
	return r.Answer, lane, err
}

// link returns a link to the host, which it opens if there is none.
func (c *Forwarder) link(addr netip.AddrPort, until time.Time) (*link, error) {
	c.mu.Lock()
	l := c.links[addr]
	if l == nil || l.done() && !l.recent() {
		l = newLink(addr)
		c.links[addr] = l
		c.wait.Go(func() { l.serve(c.ctx, c.options.Dial, c.options.Log) })
	}
	c.mu.Unlock()
	return l, l.await(until)
}

// Close ends all links and waits for them.
func (c *Forwarder) Close() error {
	c.cancel()
	c.wait.Wait()
	return nil
}
