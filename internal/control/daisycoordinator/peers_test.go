package daisycoordinator

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/control/daisyconsensus"
	"github.com/daisyglade/daisyglade/internal/control/daisycontroller"
	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/control/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/control/daisylog"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
	"github.com/daisyglade/daisyglade/internal/wire/daisylink"
	"github.com/daisyglade/daisyglade/internal/wire/daisynet"
)

// listen serves links of one use until the test ends.
func listen(t *testing.T, path daisylink.Path, h daisylink.Handler) netip.AddrPort {
	mux := &daisylink.Mux{Plain: true}
	mux.Handle(path, h)
	listener, err := daisynet.TCP{}.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	assert.NilError(t, err)
	server := &http.Server{Handler: mux} //nolint:gosec // Only this test reaches it.
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { assert.NilError(t, server.Close()) })
	addr, err := netip.ParseAddrPort(listener.Addr().String())
	assert.NilError(t, err)
	return addr
}

// Links between control hosts are open before the first message, and again as
// soon as the other side has ended one: an election does not wait for them.
func TestLinksOpenBeforeTheyAreUsed(t *testing.T) {
	accepted := make(chan *daisylink.Conn)
	addr := listen(t, daisylink.PathLog, func(ctx context.Context, c *daisylink.Conn) {
		accepted <- c
		<-ctx.Done()
	})
	peers := NewPeers(daisylink.NewPlainDialer("c1", daisynet.TCP{}))
	peers.Open(addr)
	(<-accepted).Close()
	second := <-accepted
	sent := daisylog.Message{Kind: daisylog.KindPreVote, From: 1, To: 2, Term: 3}
	peers.Send(addr, sent)
	b, err := second.Receive(t.Context())
	assert.NilError(t, err)
	got, err := daisycodec.DecodeLogMessage(b)
	assert.NilError(t, err)
	assert.Equal(t, got.Kind, sent.Kind)
	assert.Equal(t, got.Term, sent.Term)
	second.Close()
	assert.NilError(t, peers.Close())
}

// pipes is a network in memory on which the first connections are lost, as to a
// machine without power.
type pipes struct {
	lost     int
	accepted chan net.Conn
}

func (p *pipes) Listen(context.Context, netip.AddrPort) (net.Listener, error) { return p, nil }

func (p *pipes) Dial(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
	if p.lost > 0 {
		p.lost--
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	p.accepted <- far
	return near, nil
}

func (p *pipes) Accept() (net.Conn, error) {
	c, ok := <-p.accepted
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (p *pipes) Close() error {
	close(p.accepted)
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// A whole fleet gets its power back, one machine after the other: a link to one
// that was still off opens before TCP would repeat its request.
func TestLinkToMachineWithoutPower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const repeated = time.Second // RFC 6298, section 2: the first timeout.
		network := &pipes{lost: 2, accepted: make(chan net.Conn)}
		opened := make(chan struct{})
		mux := &daisylink.Mux{Plain: true}
		mux.Handle(daisylink.PathLog, func(ctx context.Context, c *daisylink.Conn) {
			close(opened)
			_, _ = c.Receive(ctx) // Until the link ends.
		})
		server := &http.Server{Handler: mux} //nolint:gosec // Only this test reaches it.
		go func() { _ = server.Serve(network) }()
		began := time.Now()
		peers := NewPeers(daisylink.NewPlainDialer("c1", network))
		peers.Open(netip.MustParseAddrPort("10.0.0.1:7000"))
		<-opened
		assert.Assert(t, time.Since(began) < repeated, "opened after %v", time.Since(began))
		assert.NilError(t, peers.Close())
		assert.NilError(t, server.Close())
		time.Sleep(time.Minute) // Attempts that were given up end.
	})
}

// A control host whose disk was lost has no seat and hears late who leads. It
// ends the links of hosts that look for the leader, so that they ask another.
func TestNewcomerSendsHostsOn(t *testing.T) {
	self := netip.MustParseAddrPort("127.0.0.1:7000")
	logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	view := daisyfleet.NewView()
	node, err := daisyconsensus.Open(daisyconsensus.Options{
		Self:  daisylog.Seat{Replica: 1, Name: "c1", Address: self},
		Saved: daisylog.PersistedState{Replica: 1}, Storage: noDisk{}, Transport: nobody{}, View: view,
		Random: rand.New(rand.NewPCG(1, 1)), Log: logger,
	})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, node.Close()) }()
	council := New(Options{
		Node: node, View: view, Self: self, Log: logger,
		New: func(began time.Time, _ uint64) Decider { return daisycontroller.NewLeader(began) },
	})
	defer func() { assert.NilError(t, council.Close()) }()
	addr := listen(t, daisylink.PathHeartbeat, council.Serve)

	link, err := daisylink.NewPlainDialer("h1", daisynet.TCP{}).Dial(t.Context(), addr, daisylink.PathHeartbeat)
	assert.NilError(t, err)
	defer link.Close()
	assert.NilError(t, link.Send(t.Context(), daisycodec.EncodeHeartbeat(daisyheartbeat.Heartbeat{Host: "h1", Incarnation: 1, Address: self, ID: 7})))
	message, err := link.Receive(t.Context())
	assert.NilError(t, err)
	answer, err := daisycodec.DecodeServerMessage(message)
	assert.NilError(t, err)
	assert.Assert(t, !answer.Reply.Leader.IsValid())
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute) // Only a link left open reaches it.
	defer cancel()
	_, err = link.Receive(ctx)
	assert.Assert(t, err != nil && ctx.Err() == nil, "%v", err)
}
