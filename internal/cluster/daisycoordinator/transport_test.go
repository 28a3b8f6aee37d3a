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

	"github.com/daisyglade/daisyglade/internal/cluster/daisyconsensus"
	"github.com/daisyglade/daisyglade/internal/control/daisycontroller"
	"github.com/daisyglade/daisyglade/internal/control/daisylog"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/net/daisylink"
	"github.com/daisyglade/daisyglade/internal/net/daisynet"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

// listen serves links with the path until the test ends.
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

// Links between control hosts are opened before the first message and reopened as
// soon as the other side ends one, so that an election does not wait for them.
func TestLinksOpenBeforeFirstMessage(t *testing.T) {
	accepted := make(chan *daisylink.Conn)
	addr := listen(t, daisylink.PathLog, func(ctx context.Context, c *daisylink.Conn) {
		accepted <- c
		<-ctx.Done()
	})
	transport := NewTransport(daisylink.NewPlainDialer("c1", daisynet.TCP{}))
	transport.Open(addr)
	(<-accepted).Close()
	second := <-accepted
	sent := daisylog.Message{Kind: daisylog.KindPreVote, From: 1, To: 2, Term: 3}
	transport.Send(addr, sent)
	b, err := second.Receive(t.Context())
	assert.NilError(t, err)
	got, err := daisycodec.DecodeLogMessage(b)
	assert.NilError(t, err)
	assert.Equal(t, got.Kind, sent.Kind)
	assert.Equal(t, got.Term, sent.Term)
	second.Close()
	assert.NilError(t, transport.Close())
}

// lossyNetwork is a network in memory that loses the first connection attempts, as
// happens with a machine without power.
type lossyNetwork struct {
	lost     int
	accepted chan net.Conn
}

func (p *lossyNetwork) Listen(context.Context, netip.AddrPort) (net.Listener, error) { return p, nil }

func (p *lossyNetwork) Dial(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
	if p.lost > 0 {
		p.lost--
		<-ctx.Done()
		return nil, ctx.Err()
	}
	client, server := net.Pipe()
	p.accepted <- server
	return client, nil
}

func (p *lossyNetwork) Accept() (net.Conn, error) {
	c, ok := <-p.accepted
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (p *lossyNetwork) Close() error {
	close(p.accepted)
	return nil
}

func (p *lossyNetwork) Addr() net.Addr { return &net.TCPAddr{} }

// The machines of a fleet get their power back one after the other. A link to one
// that was still off is opened before TCP would retransmit its SYN.
func TestLinkToMachineAfterPowerLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const synTimeout = time.Second // RFC 6298, section 2: initial retransmission timeout.
		network := &lossyNetwork{lost: 2, accepted: make(chan net.Conn)}
		opened := make(chan struct{})
		mux := &daisylink.Mux{Plain: true}
		mux.Handle(daisylink.PathLog, func(ctx context.Context, c *daisylink.Conn) {
			close(opened)
			_, _ = c.Receive(ctx) // Blocks until the link ends.
		})
		server := &http.Server{Handler: mux} //nolint:gosec // Only this test reaches it.
		go func() { _ = server.Serve(network) }()
		started := time.Now()
		transport := NewTransport(daisylink.NewPlainDialer("c1", network))
		transport.Open(netip.MustParseAddrPort("10.0.0.1:7000"))
		<-opened
		assert.Assert(t, time.Since(started) < synTimeout, "opened after %v", time.Since(started))
		assert.NilError(t, transport.Close())
		assert.NilError(t, server.Close())
		time.Sleep(time.Minute) // Let the abandoned attempts end.
	})
}

// A control host that lost its disk is not in the configuration and learns late who
// leads. It ends the links of hosts that look for the leader, so that they ask
// another control host.
func TestUnjoinedHostEndsHeartbeatLinks(t *testing.T) {
	self := netip.MustParseAddrPort("127.0.0.1:7000")
	logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	view := daisyfleet.NewView()
	node, err := daisyconsensus.Open(daisyconsensus.Options{
		Self:  daisylog.Peer{Replica: 1, Name: "c1", Address: self},
		Saved: daisylog.PersistedState{Replica: 1}, Storage: discardStorage{}, Transport: discardTransport{}, View: view,
		Random: rand.New(rand.NewPCG(1, 1)), Log: logger,
	})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, node.Close()) }()
	coordinator := New(Options{
		Node: node, View: view, Self: self, Log: logger,
		NewDecider: func(started time.Time, _ uint64) Decider { return daisycontroller.NewLeader(started) },
	})
	defer func() { assert.NilError(t, coordinator.Close()) }()
	addr := listen(t, daisylink.PathHeartbeat, coordinator.Serve)

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

// Guards against links between control hosts that are closed without a word, again and
// again, over a message that cannot be decoded.
func TestClosedLogLinkIsLogged(t *testing.T) {
	other := daisylog.Peer{Replica: 2, Name: "c2", Address: netip.MustParseAddrPort("127.0.0.1:1")}
	tests := []struct {
		name    string
		message []byte
		seen    string
	}{
		{"Malformed", []byte("none"), "quorum: malformed message; closing the link"},
		{"OtherName", daisycodec.EncodeLogMessage(daisylog.Join(other)), "quorum: a host asks to join under another name than that of its link; closing the link"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			lines := make(chan string, 1)
			logger := &log.Logger{Handler: log.HandlerFunc(func(e *log.Entry) error {
				lines <- e.Message
				return nil
			}), Level: log.InfoLevel}
			addr := listen(t, daisylink.PathLog, func(ctx context.Context, c *daisylink.Conn) {
				ServeLog(ctx, c, func(daisylog.Message) {}, logger)
			})
			link, err := daisylink.NewPlainDialer("c1", daisynet.TCP{}).Dial(t.Context(), addr, daisylink.PathLog)
			assert.NilError(t, err)
			defer link.Close()
			assert.NilError(t, link.Send(t.Context(), test.message))
			assert.Equal(t, <-lines, test.seen)
		})
	}
}
