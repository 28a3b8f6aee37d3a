package daisyforwarder_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/backend/daisypool"
	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/entry/daisyforwarder"
	"github.com/daisyglade/daisyglade/internal/holder/daisygateway"
	"github.com/daisyglade/daisyglade/internal/session/daisystatement"
)

const (
	serverName = "m1"
	domain     = "north"
)

// server is a backend server in memory.
type server struct {
	mu    sync.Mutex
	ran   []string // Text of what ran, in order.
	ended int      // Connections closed in a transaction.
	cut   map[string]bool
}

// seen returns what ran, and how many transactions were rolled back.
func (s *server) seen() (ran []string, ended int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.ran), s.ended
}

// dialer opens connections from one host.
type dialer struct {
	host   string
	server *server
}

func (d dialer) Dial(context.Context, daisypool.Target) (daisypool.Link, error) {
	if d.server.cut[d.host] {
		return nil, errors.New("cut off")
	}
	return &connection{server: d.server}, nil
}

func (d dialer) Reach(context.Context, netip.AddrPort) error { return nil }

type connection struct {
	server *server
	sent   []daisystatement.Statement
	state  daisystatement.State
}

func (c *connection) Send(s []daisystatement.Statement) error {
	c.sent = append(c.sent, s...)
	return nil
}

func (c *connection) Receive(time.Time) (daisystatement.Answer, error) {
	time.Sleep(10 * time.Millisecond)
	s := c.sent[0]
	c.sent = c.sent[1:]
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	switch s.Kind {
	case daisystatement.KindBegin:
		c.state = daisystatement.StateOpen
	case daisystatement.KindRollback:
		c.server.ended++
		c.state = daisystatement.StateIdle
	case daisystatement.KindCommit:
		c.state = daisystatement.StateIdle
	}
	c.server.ran = append(c.server.ran, s.Text)
	return daisystatement.Answer{Signature: "s", Rows: []string{"row of " + s.Text}, State: c.state}, nil
}

func (c *connection) Alive() bool { return true }
func (c *connection) Close()      {}

// wire is one end of a connection between hosts.
type wire struct {
	in, out chan []byte
	closed  chan struct{}
	once    *sync.Once
	silent  func() bool // Whether what is sent is lost.
}

func (w *wire) Send(_ context.Context, m []byte) error {
	if w.silent() {
		return nil
	}
	select {
	case w.out <- m:
		return nil
	case <-w.closed:
		return errors.New("closed")
	}
}

func (w *wire) Receive(ctx context.Context) ([]byte, error) {
	select {
	case m := <-w.in:
		return m, nil
	case <-w.closed:
		return nil, errors.New("closed")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (w *wire) Close() { w.once.Do(func() { close(w.closed) }) }

// host is a host with a gateway and a carrier.
type host struct {
	name    string
	address netip.AddrPort
	gateway *daisygateway.Gateway
	pool    *daisypool.Pool
	carrier *daisyforwarder.Forwarder
	down    atomic.Bool // Refuses connections.
	silent  atomic.Bool // Loses what is sent to and from it.
}

// Sample implements daisyforwarder.Samples.
func (h *host) Sample(string) (round uint64, p daisystatement.Position, age time.Duration) {
	return 7, daisystatement.Position{Term: 3, Number: 40}, 200 * time.Millisecond
}

// fleet is a few hosts in the failure domain of one server.
type fleet struct {
	t      *testing.T
	server *server
	hosts  []*host
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, server: &server{cut: make(map[string]bool)}}
	f.ctx, f.cancel = context.WithCancel(t.Context())
	var state daisyfleet.State
	index := uint64(0)
	put := func(k daisyfleet.Kind, name string, v daisyfleet.Value) {
		index++
		state.Apply(index, daisyfleet.Change{Operations: []daisyfleet.Operation{{ID: daisyfleet.ID{Kind: k, Name: name}, Value: v}}})
	}
	put(daisyfleet.KindServer, serverName, daisyfleet.Server{Service: "s", Address: netip.MustParseAddrPort("10.0.0.9:1"), FailureDomain: domain})
	for i := range n {
		h := &host{name: fmt.Sprint("h", i), address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(7000+i))}
		f.hosts = append(f.hosts, h)
		put(daisyfleet.KindHost, h.name, daisyfleet.Host{Address: h.address, FailureDomain: domain, Up: true})
		h.pool = daisypool.New(dialer{host: h.name, server: f.server})
		h.pool.Set(daisypool.Target{Server: serverName}, daisypool.Share{KeepOpen: 4, MaxOpen: 4})
		h.gateway = daisygateway.New(h.pool, &log.Logger{Handler: discard.New(), Level: log.FatalLevel})
		h.carrier = daisyforwarder.New(daisyforwarder.Options{
			Host: h.name, Local: h.gateway, Topology: daisyforwarder.Topology{Regions: map[string]string{domain: "r"}},
			Dial: f.dial(h), Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		})
	}
	for _, h := range f.hosts {
		h.carrier.Refresh(&state)
	}
	return f
}

func (f *fleet) dial(from *host) daisyforwarder.Dial {
	return func(_ context.Context, addr netip.AddrPort) (daisyforwarder.Conn, error) {
		for _, to := range f.hosts {
			if to.address != addr || to.down.Load() {
				continue
			}
			a, b := make(chan []byte, 64), make(chan []byte, 64)
			closed, once := make(chan struct{}), &sync.Once{}
			silent := func() bool { return from.silent.Load() || to.silent.Load() }
			near := &wire{in: a, out: b, closed: closed, once: once, silent: silent}
			far := &wire{in: b, out: a, closed: closed, once: once, silent: silent}
			f.wait.Go(func() { daisyforwarder.Serve(f.ctx, far, to.gateway, to, &log.Logger{Handler: discard.New()}) })
			return near, nil
		}
		return nil, errors.New("refused")
	}
}

// first returns the server's gateway and another host.
func (f *fleet) first() (gateway, other *host) {
	for _, h := range f.hosts {
		if h.carrier.Rank(serverName) == 0 {
			gateway = h
		} else if other == nil {
			other = h
		}
	}
	return gateway, other
}

func (f *fleet) close() {
	for _, h := range f.hosts {
		assert.NilError(f.t, h.carrier.Close())
	}
	f.cancel()
	f.wait.Wait()
	for _, h := range f.hosts {
		assert.NilError(f.t, h.gateway.Close())
		assert.NilError(f.t, h.pool.Close())
	}
}

func errand(k daisystatement.Kind, text string) daisygateway.StatementRequest {
	now := time.Now()
	return daisygateway.StatementRequest{
		Server: serverName, Workspace: "w", SendDeadline: now.Add(700 * time.Millisecond), Deadline: now.Add(time.Second),
		Statement: daisystatement.Statement{ID: "1", Kind: k, Text: text}, Pin: k == daisystatement.KindBegin,
	}
}

func TestErrandReachesTheGateway(t *testing.T) {
	tests := []struct {
		name   string
		strike func(gateway *host, s *server)
		served bool
	}{
		{"Nothing", func(*host, *server) {}, true},
		{"GatewayDown", func(g *host, _ *server) { g.down.Store(true) }, true},
		{"GatewayCutFromServer", func(g *host, s *server) { s.cut[g.name] = true }, true},
		{"ServerCutFromAll", func(_ *host, s *server) { s.cut["h0"], s.cut["h1"], s.cut["h2"] = true, true, true }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				defer f.close()
				gateway, other := f.first()
				test.strike(gateway, f.server)
				a, _, err := other.carrier.Run(errand(daisystatement.KindWrite, "w1"))
				if !test.served {
					assert.ErrorIs(t, err, daisygateway.ErrNotSent)
					ran, _ := f.server.seen()
					assert.Equal(t, len(ran), 0)
					return
				}
				assert.NilError(t, err)
				assert.DeepEqual(t, a.Rows, []string{"row of w1"})
				ran, _ := f.server.seen()
				assert.DeepEqual(t, ran, []string{"w1"})
			})
		})
	}
}

// A gateway that goes silent is given up long before the statement's limit, and
// what was sent to it is never said not to have run.
func TestSilentGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.close()
		gateway, other := f.first()
		_, _, err := other.carrier.Run(errand(daisystatement.KindWrite, "w1"))
		assert.NilError(t, err)
		gateway.silent.Store(true)
		began := time.Now()
		_, _, err = other.carrier.Run(errand(daisystatement.KindWrite, "w2"))
		assert.Assert(t, err != nil && !errors.Is(err, daisygateway.ErrNotSent), "%v", err)
		assert.Assert(t, time.Since(began) <= 600*time.Millisecond, "took %v", time.Since(began))
		gateway.silent.Store(false)
		gateway.down.Store(true)
		_, _, err = other.carrier.Run(errand(daisystatement.KindWrite, "w3"))
		assert.NilError(t, err)
	})
}

// An answer brings the position of the primary that its gateway knows. The time
// is no later than when the gateway asked, however long the answer took.
func TestAnswersBringSamples(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.close()
		_, other := f.first()
		began := time.Now()
		learned := 0
		other.carrier.OnPosition = func(service string, round uint64, asked time.Time, p daisystatement.Position) {
			learned++
			assert.Equal(t, service, "s")
			assert.Equal(t, round, uint64(7))
			assert.Equal(t, p, daisystatement.Position{Term: 3, Number: 40})
			assert.Equal(t, began.Sub(asked), 200*time.Millisecond)
		}
		e := errand(daisystatement.KindRead, "r")
		e.Service = "s"
		_, _, err := other.carrier.Run(e)
		assert.NilError(t, err)
		assert.Equal(t, learned, 1)
	})
}

// A transaction's lane ends with the link over which it is used.
func TestLaneEndsWithItsLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.close()
		_, other := f.first()
		_, lane, err := other.carrier.Run(errand(daisystatement.KindBegin, "begin"))
		assert.NilError(t, err)
		_, err = lane.Do(errand(daisystatement.KindWrite, "w1"))
		assert.NilError(t, err)
		assert.NilError(t, other.carrier.Close())
		time.Sleep(time.Second)
		_, ended := f.server.seen()
		assert.Equal(t, ended, 1)
		_, err = lane.Do(errand(daisystatement.KindCommit, "commit"))
		assert.Assert(t, err != nil)
	})
}

// All hosts agree on the gateways, and the loss of one moves only its servers.
func TestGatewaysMoveLittle(t *testing.T) {
	var s daisyfleet.State
	index := uint64(0)
	put := func(name string, h daisyfleet.Host) {
		index++
		id := daisyfleet.ID{Kind: daisyfleet.KindHost, Name: name}
		o, _ := s.Get(id)
		s.Apply(index, daisyfleet.Change{Operations: []daisyfleet.Operation{{ID: id, Against: o.Revision, Value: h}}})
	}
	host := daisyfleet.Host{Address: netip.MustParseAddrPort("10.0.0.1:1"), FailureDomain: domain, Up: true}
	for i := range 10 {
		put(fmt.Sprint("h", i), host)
	}
	place := daisyforwarder.Topology{Regions: map[string]string{domain: "r"}}
	before := make(map[string]string)
	for i := range 300 {
		server := fmt.Sprint("m", i)
		before[server] = place.Gateways(&s, server, domain)[0].Host
	}
	lost := host
	lost.Up = false
	put("h3", lost)
	for server, was := range before {
		now := place.Gateways(&s, server, domain)[0].Host
		assert.Assert(t, now != "h3")
		assert.Assert(t, was == "h3" || now == was, "%s moved from %s to %s", server, was, now)
	}
}
