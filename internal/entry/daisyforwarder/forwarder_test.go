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
	"github.com/daisyglade/daisyglade/internal/control/daisyplacement"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/entry/daisyforwarder"
	"github.com/daisyglade/daisyglade/internal/holder/daisygateway"
	"github.com/daisyglade/daisyglade/internal/net/daisylink"
	"github.com/daisyglade/daisyglade/internal/net/daisypacer"
	"github.com/daisyglade/daisyglade/internal/net/daisytraffic"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

const (
	serverName = "m1"
	domain     = "north"
)

// server is a backend server in memory.
type server struct {
	mu              sync.Mutex
	executed        []string                  // Text of what ran, in order.
	asserted        []daisystatement.Position // The positions that the statements need, in order.
	rolledBack      int                       // Connections closed in a transaction.
	unreachableFrom map[string]bool
}

// seen returns the statements that ran and the number of transactions that were
// rolled back.
func (s *server) seen() (ran []string, rolledBack int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.executed), s.rolledBack
}

// dialer opens connections from one host.
type dialer struct {
	host   string
	server *server
}

func (d dialer) Dial(context.Context, daisypool.Target) (daisypool.Link, error) {
	if d.server.unreachableFrom[d.host] {
		return nil, errors.New("server unreachable")
	}
	return &connection{server: d.server}, nil
}

func (d dialer) Reach(context.Context, netip.AddrPort) error { return nil }

type connection struct {
	server *server
	sent   []daisystatement.Statement
	state  daisystatement.State
	signed int // Answers with a signature.
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
		c.server.rolledBack++
		c.state = daisystatement.StateIdle
	case daisystatement.KindCommit:
		c.state = daisystatement.StateIdle
	}
	c.server.executed = append(c.server.executed, s.Text)
	c.server.asserted = append(c.server.asserted, s.MinPosition)
	a := daisystatement.Answer{State: c.state, Position: daisystatement.Position{Term: 3, Number: 41}}
	switch s.Kind {
	case daisystatement.KindRead, daisystatement.KindWrite, daisystatement.KindExecute, daisystatement.KindCommit:
		c.signed++
		a.Signature, a.Rows = fmt.Sprint("s", c.signed), []string{"row of " + s.Text}
	case daisystatement.KindStatus:
		a.Rows = []string{"status"}
	}
	return a, nil
}

func (c *connection) Alive() (alive, unread bool) { return true, false }

// Close rolls back an open transaction.
func (c *connection) Close() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.state == daisystatement.StateOpen {
		c.server.rolledBack++
		c.state = daisystatement.StateIdle
	}
}

// wire is one end of a connection between hosts.
type wire struct {
	in, out chan []byte
	closed  chan struct{}
	once    *sync.Once
	silent  func() bool // Reports whether messages are dropped.
	peer    *host       // The other host.
}

func (w *wire) Send(_ context.Context, m []byte) error {
	if w.silent() {
		return nil
	}
	if call, err := daisycodec.DecodeCall(m, time.Now()); err == nil && call.Action == daisycodec.ActionRun {
		w.peer.objective.Store(!call.Request.Objective.IsZero())
	}
	time.Sleep(time.Duration(w.peer.hold.Load()))
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

func (w *wire) Protocol() int {
	if w.peer.old {
		return daisylink.ProtocolFirst
	}
	return daisylink.ProtocolLoad
}

func (w *wire) Close() { w.once.Do(func() { close(w.closed) }) }

// host is a host with a gateway and a forwarder.
type host struct {
	name      string
	address   netip.AddrPort
	gateway   *daisygateway.Gateway
	pool      *daisypool.Pool
	forwarder *daisyforwarder.Forwarder
	pacer     *daisypacer.Pacer // Of the replies that it sends; nil if its link is not full.
	down      atomic.Bool       // Refuses connections.
	silent    atomic.Bool       // Messages to and from it are dropped.
	frozen    atomic.Bool       // Does not answer dials.
	hold      atomic.Int64      // How long messages to it are held up, in nanoseconds.
	leading   uint64            // The epoch in which the server leads; 0 if it does not.
	recorded  []sample          // Recorded with answers of the primary.
	old       bool              // It speaks the first protocol.
	delayed   atomic.Bool       // It knows that its messages are held up.
	epochs    atomic.Uint64     // The epoch of its positions; 0 is 7.
	objective atomic.Bool       // Whether the last call to it stated an objective.
	needed    atomic.Int64      // How often a position was needed that it lacked.
	traffic   daisytraffic.Meter
}

// sample is a position that a gateway recorded.
type sample struct {
	Service  string
	Epoch    uint64
	SentAt   time.Time
	Position daisystatement.Position
}

// LeadingEpoch implements daisyforwarder.Samples.
func (h *host) LeadingEpoch(string, string) uint64 { return h.leading }

// RecordPeerPosition implements daisyforwarder.Samples.
func (h *host) RecordPeerPosition(service string, epoch uint64, sentAt time.Time, p daisystatement.Position) {
	h.recorded = append(h.recorded, sample{service, epoch, sentAt, p})
}

// Sample implements daisyforwarder.Samples.
func (h *host) Sample(string) (epoch uint64, p daisystatement.Position, age time.Duration) {
	return 7, daisystatement.Position{Term: 3, Number: 40}, 200 * time.Millisecond
}

// MinPosition implements daisyforwarder.Samples.
func (h *host) MinPosition(_ string, epoch uint64, _ time.Time, age time.Duration) (daisystatement.Position, bool) {
	known := h.epochs.Load()
	if known == 0 {
		known = 7
	}
	return daisystatement.Position{Term: 3, Number: 40}, epoch == known && age >= 200*time.Millisecond
}

// NeedPosition implements daisyforwarder.Samples.
func (h *host) NeedPosition(string, string) { h.needed.Add(1) }

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
	f := &fleet{t: t, server: &server{unreachableFrom: make(map[string]bool)}}
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
		h.forwarder = daisyforwarder.New(daisyforwarder.Options{
			Host: h.name, Local: h.gateway, Topology: daisyplacement.Topology{Regions: map[string]string{domain: "r"}},
			Dial: f.dial(h), Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}, Delayed: h.delayed.Load,
			Traffic: func(netip.AddrPort) daisytraffic.Counter { return h.traffic.Across(daisytraffic.BoundaryRegion) },
		})
	}
	for _, h := range f.hosts {
		h.forwarder.Refresh(&state)
	}
	return f
}

func (f *fleet) dial(from *host) daisyforwarder.Dial {
	return func(ctx context.Context, addr netip.AddrPort) (daisyforwarder.Conn, error) {
		for _, to := range f.hosts {
			if to.address != addr || to.down.Load() {
				continue
			}
			if to.frozen.Load() {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			a, b := make(chan []byte, 64), make(chan []byte, 64)
			closed, once := make(chan struct{}), &sync.Once{}
			silent := func() bool { return from.silent.Load() || to.silent.Load() }
			near := &wire{in: a, out: b, closed: closed, once: once, silent: silent, peer: to}
			far := &wire{in: b, out: a, closed: closed, once: once, silent: silent, peer: from}
			f.wait.Go(func() {
				daisyforwarder.Serve(f.ctx, far, to.gateway, to, daisyforwarder.Pacing{Pacer: to.pacer}, to.traffic.Across(daisytraffic.BoundaryDomain), &log.Logger{Handler: discard.New()})
			})
			return near, nil
		}
		return nil, errors.New("refused")
	}
}

// first returns the server's gateway for the workspace w and another host.
func (f *fleet) first() (gateway, other *host) {
	for _, h := range f.hosts {
		if h.forwarder.Gateways(serverName).Order(serverName, "w")[0].Host == h.name {
			gateway = h
		} else if other == nil {
			other = h
		}
	}
	return gateway, other
}

func (f *fleet) close() {
	for _, h := range f.hosts {
		assert.NilError(f.t, h.forwarder.Close())
	}
	f.cancel()
	f.wait.Wait()
	for _, h := range f.hosts {
		assert.NilError(f.t, h.pool.Close())
	}
}

func request(k daisystatement.Kind, text string) daisyrequest.Request {
	now := time.Now()
	return daisyrequest.Request{
		Server: serverName, Workspace: "w", SendDeadline: now.Add(700 * time.Millisecond), Deadline: now.Add(time.Second),
		Statement: daisystatement.Statement{ID: "1", Kind: k, Text: text}, Pin: k == daisystatement.KindBegin,
	}
}

func TestRequestReachesGateway(t *testing.T) {
	tests := []struct {
		name   string
		inject func(gateway *host, s *server)
		served bool
	}{
		{"Nothing", func(*host, *server) {}, true},
		{"GatewayDown", func(g *host, _ *server) { g.down.Store(true) }, true},
		{"GatewayCutFromServer", func(g *host, s *server) { s.unreachableFrom[g.name] = true }, true},
		{"ServerCutFromAll", func(_ *host, s *server) {
			s.unreachableFrom["h0"], s.unreachableFrom["h1"], s.unreachableFrom["h2"] = true, true, true
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				defer f.close()
				gateway, other := f.first()
				test.inject(gateway, f.server)
				a, _, err := other.forwarder.Run(request(daisystatement.KindWrite, "w1"))
				if !test.served {
					assert.ErrorIs(t, err, daisyrequest.ErrNotSent)
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

// An answer carries the position of the primary that the gateway knows. The
// reported time is no later than when the primary was asked, however long the
// answer took.
func TestAnswersCarryPositionSamples(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.close()
		_, other := f.first()
		began := time.Now()
		samples := 0
		other.forwarder.OnPosition = func(service string, epoch uint64, asked time.Time, p daisystatement.Position) {
			samples++
			assert.Equal(t, service, "s")
			assert.Equal(t, epoch, uint64(7))
			assert.Equal(t, p, daisystatement.Position{Term: 3, Number: 40})
			assert.Equal(t, began.Sub(asked), 200*time.Millisecond)
		}
		req := request(daisystatement.KindRead, "r")
		req.Service = "s"
		_, _, err := other.forwarder.Run(req)
		assert.NilError(t, err)
		assert.Equal(t, samples, 1)
	})
}

// Guards against hosts that must ask an overloaded primary for its position before
// replicas may serve their reads: its gateway learns the position from the answers
// of the primary to reads, as of the time at which they arrived at the gateway.
func TestGatewayLearnsPositionFromAnswers(t *testing.T) {
	tests := []struct {
		name    string
		kind    daisystatement.Kind
		leading uint64
		learns  bool
	}{
		{"ReadOnPrimary", daisystatement.KindRead, 7, true},
		{"BeginOnPrimary", daisystatement.KindBegin, 7, true},
		{"WriteOnPrimary", daisystatement.KindWrite, 7, false},
		{"ReadOnReplica", daisystatement.KindRead, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2)
				defer f.close()
				gateway, other := f.first()
				gateway.leading = test.leading
				began := time.Now()
				req := request(test.kind, "r")
				req.Service = "s"
				_, pinned, err := other.forwarder.Run(req)
				assert.NilError(t, err)
				if pinned != nil {
					pinned.Close()
				}
				if !test.learns {
					assert.Equal(t, len(gateway.recorded), 0)
					return
				}
				assert.DeepEqual(t, gateway.recorded, []sample{{"s", 7, began, daisystatement.Position{Term: 3, Number: 41}}})
			})
		})
	}
}

// Guards against statements that are run though their callers have given up: a call
// that is held up on its way for longer than it may wait is not run.
func TestStatementOfLateCallIsNotRun(t *testing.T) {
	tests := []struct {
		name  string
		hold  time.Duration
		old   bool
		wants []string
	}{
		{"Punctual", 0, false, []string{"warm", "late"}},
		{"LittleLate", 300 * time.Millisecond, false, []string{"warm", "late"}},
		{"TooLate", 800 * time.Millisecond, false, []string{"warm"}},
		{"GatewayOfEarlierVersion", 800 * time.Millisecond, true, []string{"warm", "late"}}, // It states nothing.
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2)
				defer f.close()
				gateway, other := f.first()
				gateway.old = test.old
				_, _, err := other.forwarder.Run(request(daisystatement.KindWrite, "warm"))
				assert.NilError(t, err)
				gateway.hold.Store(int64(test.hold))
				_, _, _ = other.forwarder.Run(request(daisystatement.KindWrite, "late")) // May be sent for 0.7 s.
				time.Sleep(time.Second)
				ran, _ := f.server.seen()
				assert.DeepEqual(t, ran, test.wants)
			})
		})
	}
}

// A refusal for load tells when to retry, except to a host of an earlier version: its
// decoder would refuse the field, and close the link with all its calls.
func TestRefusalTellsWhenToRetry(t *testing.T) {
	for _, test := range []struct {
		name string
		old  bool
	}{{"SameVersion", false}, {"EarlierVersion", true}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2)
				defer f.close()
				_, other := f.first()
				other.old = test.old
				_, _, err := other.forwarder.Run(request(daisystatement.KindRead, "warm"))
				assert.NilError(t, err)
				var wait sync.WaitGroup
				for range 8 { // More than the gateway has slots or connections, for 10 ms each.
					wait.Go(func() { _, _, _ = other.forwarder.Run(request(daisystatement.KindRead, "r")) })
				}
				synctest.Wait()
				req := request(daisystatement.KindRead, "late")
				req.SendDeadline = time.Now().Add(5 * time.Millisecond)
				_, _, err = other.forwarder.Run(req)
				wait.Wait()
				assert.ErrorIs(t, err, daisyrequest.ErrNotSent)
				var overload *daisyrequest.OverloadError
				assert.Equal(t, errors.As(err, &overload), !test.old)
			})
		})
	}
}

// The connection pinned for a transaction is closed with the link over which it
// is used.
func TestPinnedConnClosesWithLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.close()
		_, other := f.first()
		_, pinned, err := other.forwarder.Run(request(daisystatement.KindBegin, "begin"))
		assert.NilError(t, err)
		_, err = pinned.Do(request(daisystatement.KindWrite, "w1"))
		assert.NilError(t, err)
		assert.NilError(t, other.forwarder.Close())
		time.Sleep(time.Second)
		_, rolledBack := f.server.seen()
		assert.Equal(t, rolledBack, 1)
		_, err = pinned.Do(request(daisystatement.KindCommit, "commit"))
		assert.Assert(t, err != nil)
	})
}
