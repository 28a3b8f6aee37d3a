package daisysession_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/backend/daisypool"
	"github.com/daisyglade/daisyglade/internal/control/daisyplacement"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/entry/daisyforwarder"
	"github.com/daisyglade/daisyglade/internal/holder/daisygateway"
	"github.com/daisyglade/daisyglade/internal/net/daisylink"
	"github.com/daisyglade/daisyglade/internal/net/daisytraffic"
	"github.com/daisyglade/daisyglade/internal/session/daisyrouter"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

// pipe carries the messages of a link in one direction, in order and late.
type pipe struct {
	name    string
	chance  chance
	replies bool
	lost    func()
	closed  chan struct{}
	out     chan []byte

	mu    sync.Mutex
	sent  int
	queue []delayed
	wake  chan struct{}
}

type delayed struct {
	message []byte
	at      time.Time
}

// send queues a message. A reply may be queued again later. The link may be lost with it.
func (p *pipe) send(message []byte) {
	p.mu.Lock()
	p.sent++
	n := p.sent
	p.queueLocked(message, p.chance.delay(p.name, n))
	p.mu.Unlock()
	if p.chance.of(1000, "lost", p.name, n) < 4 {
		time.AfterFunc(p.chance.delay("lost", p.name, n), p.lost)
	}
	if p.replies && p.chance.of(100, "again", p.name, n) < 10 {
		time.AfterFunc(p.chance.delay("again", p.name, n), func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.queueLocked(message, 0)
		})
	}
}

func (p *pipe) queueLocked(message []byte, delay time.Duration) {
	at := time.Now().Add(delay)
	if n := len(p.queue); n > 0 && p.queue[n-1].at.After(at) {
		at = p.queue[n-1].at
	}
	p.queue = append(p.queue, delayed{message, at})
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run hands on the messages until the link is closed.
func (p *pipe) run() {
	for {
		p.mu.Lock()
		if len(p.queue) == 0 {
			p.mu.Unlock()
			select {
			case <-p.wake:
				continue
			case <-p.closed:
				return
			}
		}
		next := p.queue[0]
		p.mu.Unlock()
		select {
		case <-time.After(time.Until(next.at)):
		case <-p.closed:
			return
		}
		p.mu.Lock()
		p.queue = p.queue[1:]
		p.mu.Unlock()
		select {
		case p.out <- next.message:
		case <-p.closed:
			return
		}
	}
}

// pipeConn is one end of a link between hosts.
type pipeConn struct {
	out, in *pipe
	close   func()
}

func (c *pipeConn) Send(_ context.Context, message []byte) error {
	select {
	case <-c.out.closed:
		return errors.New("closed")
	default:
		c.out.send(message)
		return nil
	}
}

func (c *pipeConn) Receive(ctx context.Context) ([]byte, error) {
	select {
	case m := <-c.in.out:
		return m, nil
	case <-c.in.closed:
		return nil, errors.New("closed")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *pipeConn) Protocol() int { return daisylink.ProtocolLoad }
func (c *pipeConn) Close()        { c.close() }

// hosts are an entry host and the gateway hosts of a service in memory, with a network
// between them.
type hosts struct {
	*fleet
	service   *service
	gateways  []*gatewayHost
	forwarder *daisyforwarder.Forwarder
	ctx       context.Context
	cancel    context.CancelFunc
	wait      sync.WaitGroup

	mu    sync.Mutex
	dials int
}

type gatewayHost struct {
	address netip.AddrPort
	pool    *daisypool.Pool
	gateway *daisygateway.Gateway
}

// newHosts returns the hosts. The sessions of its fleet are on the named host: one of the
// gateways or another.
func newHosts(t *testing.T, c chance, entry string) *hosts {
	t.Helper()
	h := &hosts{fleet: newFleet(t), service: newService(c)}
	h.ctx, h.cancel = context.WithCancel(t.Context())
	logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	var state daisyfleet.State
	index := uint64(0)
	put := func(k daisyfleet.Kind, name string, v daisyfleet.Value) {
		index++
		state.Apply(index, daisyfleet.Change{Operations: []daisyfleet.Operation{{ID: daisyfleet.ID{Kind: k, Name: name}, Value: v}}})
	}
	for i, name := range serverNames {
		put(daisyfleet.KindServer, name, daisyfleet.Server{Service: serviceName, Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.9"), uint16(7000+i)), FailureDomain: "north"})
	}
	options := daisyforwarder.Options{
		Host: entry, Topology: daisyplacement.Topology{Regions: map[string]string{"north": "r"}}, Log: logger,
		Dial: func(_ context.Context, addr netip.AddrPort) (daisyforwarder.Conn, error) { return h.dial(addr) },
	}
	for i := range 2 {
		g := &gatewayHost{address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(7000+i))}
		name := fmt.Sprint("gateway", i)
		put(daisyfleet.KindHost, name, daisyfleet.Host{Address: g.address, FailureDomain: "north", Up: true})
		g.pool = daisypool.New(h.service)
		for _, server := range serverNames {
			g.pool.Set(daisypool.Target{Server: server}, daisypool.Share{KeepOpen: 4, MaxOpen: 6})
		}
		g.gateway = daisygateway.New(g.pool, logger)
		h.gateways = append(h.gateways, g)
		if name == entry {
			options.Local = g.gateway
		}
	}
	h.forwarder = daisyforwarder.New(options)
	h.router = daisyrouter.New(daisyrouter.Options{
		View: h.view, Lease: h.lease, Forwarder: h.forwarder, GatewayRank: func(string) int { return 0 },
		Reach: func(context.Context, string) error { return nil }, Rand: rand.New(rand.NewPCG(uint64(c), 0)),
	})
	h.router.Refresh()
	h.env.Router = h.router
	h.forwarder.OnPosition = h.router.RecordPeerPosition
	h.forwarder.Refresh(&state)
	h.env.Forwarder = h.forwarder
	return h
}

func (h *hosts) dial(addr netip.AddrPort) (daisyforwarder.Conn, error) {
	h.mu.Lock()
	h.dials++
	serial := h.dials
	h.mu.Unlock()
	for _, g := range h.gateways {
		if g.address != addr || h.service.chance.of(10, "link", serial) == 0 {
			continue
		}
		closed, once := make(chan struct{}), sync.Once{}
		end := func() { once.Do(func() { close(closed) }) }
		direction := func(name string, replies bool) *pipe {
			p := &pipe{name: fmt.Sprint(name, serial), chance: h.service.chance, replies: replies, lost: end, closed: closed, out: make(chan []byte), wake: make(chan struct{}, 1)}
			h.wait.Go(p.run)
			return p
		}
		calls, replies := direction("calls", false), direction("replies", true)
		replies.send(daisycodec.EncodeCallReply(daisycodec.CallReply{})) // Of no call.
		far := &pipeConn{out: replies, in: calls, close: end}
		h.wait.Go(func() {
			defer end()
			daisyforwarder.Serve(h.ctx, far, g.gateway, h.router, daisyforwarder.Pacing{}, daisytraffic.Counter{}, &log.Logger{Handler: discard.New(), Level: log.FatalLevel})
		})
		return &pipeConn{out: calls, in: replies, close: end}, nil
	}
	return nil, errors.New("refused")
}

// stop waits until all work has ended.
func (h *hosts) stop() {
	time.Sleep(5 * time.Second) // Nothing is awaited for longer.
}

// close stops all hosts.
func (h *hosts) close() {
	assert.NilError(h.t, h.forwarder.Close())
	h.cancel()
	h.wait.Wait()
	h.stop()
	for _, g := range h.gateways {
		assert.NilError(h.t, g.pool.Close())
	}
	h.service.close()
	h.fleet.close()
}
