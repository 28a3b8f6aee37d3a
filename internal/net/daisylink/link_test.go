package daisylink_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"testing"
	"time"

	stdlog "log"

	"github.com/coder/websocket"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/measure/daisyregression"
	"github.com/daisyglade/daisyglade/internal/net/daisylink"
	"github.com/daisyglade/daisyglade/internal/net/daisynet"
	"github.com/daisyglade/daisyglade/internal/security/daisycert"
)

var footprint = flag.Bool("footprint", false, "measure the memory of idle links")

// hostPair is a dialing host and a serving host, which echoes messages.
type hostPair struct {
	dialer *daisylink.Dialer
	addr   netip.AddrPort
	mux    *daisylink.Mux
	server *http.Server
	peers  chan string
}

func config(t testing.TB, a *daisycert.Authority, host string) *tls.Config {
	files, err := a.Issue(t.TempDir(), host)
	assert.NilError(t, err)
	c, err := files.Load()
	assert.NilError(t, err)
	return c
}

func newHostPair(t testing.TB, client *tls.Config, server *tls.Config) *hostPair {
	p := &hostPair{dialer: daisylink.NewDialer(client, daisynet.TCP{}), mux: &daisylink.Mux{}, peers: make(chan string, 1000)}
	p.mux.Handle(daisylink.PathStream, func(ctx context.Context, c *daisylink.Conn) {
		p.peers <- c.Peer()
		for {
			b, err := c.Receive(ctx)
			if err != nil || c.Send(ctx, b) != nil {
				return
			}
		}
	})
	listener, err := daisynet.TCP{}.Listen(context.Background(), netip.MustParseAddrPort("127.0.0.1:0"))
	assert.NilError(t, err)
	p.addr = netip.MustParseAddrPort(listener.Addr().String())
	p.server = &http.Server{Handler: p.mux, ReadHeaderTimeout: time.Second, ErrorLog: stdlog.New(io.Discard, "", 0)}
	go func() { _ = p.server.Serve(tls.NewListener(listener, server)) }()
	return p
}

func (p *hostPair) close() {
	_ = p.server.Close()
	p.mux.Wait()
}

func TestPeerAuthentication(t *testing.T) {
	fleet, err := daisycert.NewAuthority("fleet")
	assert.NilError(t, err)
	otherFleet, err := daisycert.NewAuthority("stranger")
	assert.NilError(t, err)
	server := config(t, fleet, "h1")
	tests := []struct {
		name   string
		client *tls.Config
		ok     bool
	}{
		{"OwnFleet", config(t, fleet, "h2"), true},
		{"OtherFleet", config(t, otherFleet, "h2"), false},
		{"NoCertificate", &tls.Config{MinVersion: tls.VersionTLS13, InsecureSkipVerify: true}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newHostPair(t, test.client, server)
			defer p.close()
			c, err := p.dialer.Dial(t.Context(), p.addr, daisylink.PathStream)
			if !test.ok {
				assert.Check(t, err != nil)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, c.Peer(), "h1")
			assert.Equal(t, <-p.peers, "h2")
			want := bytes.Repeat([]byte{7}, 1<<20)
			assert.NilError(t, c.Send(t.Context(), want))
			got, err := c.Receive(t.Context())
			assert.NilError(t, err)
			assert.Check(t, bytes.Equal(got, want))
			c.Close()
		})
	}
}

// TestServerOfAnotherFleetIsRefused checks that the dialing host verifies the
// certificate of the server.
func TestServerOfAnotherFleetIsRefused(t *testing.T) {
	fleet, err := daisycert.NewAuthority("fleet")
	assert.NilError(t, err)
	otherFleet, err := daisycert.NewAuthority("stranger")
	assert.NilError(t, err)
	server := config(t, otherFleet, "h1")
	server.ClientAuth = tls.NoClientCert
	server.VerifyConnection = nil
	p := newHostPair(t, config(t, fleet, "h2"), server)
	defer p.close()
	_, err = p.dialer.Dial(t.Context(), p.addr, daisylink.PathStream)
	assert.Check(t, err != nil)
}

// TestOversizedFrameClosesLink checks that a frame over the limit is not read.
func TestOversizedFrameClosesLink(t *testing.T) {
	fleet, err := daisycert.NewAuthority("fleet")
	assert.NilError(t, err)
	p := newHostPair(t, config(t, fleet, "h2"), config(t, fleet, "h1"))
	defer p.close()
	c, err := p.dialer.Dial(t.Context(), p.addr, daisylink.PathStream)
	assert.NilError(t, err)
	defer c.Close()
	_ = c.Send(t.Context(), make([]byte, 25<<20))
	_, err = c.Receive(t.Context())
	assert.Check(t, err != nil)
}

// TestLinkMemory measures the memory of idle links, both ends together.
func TestLinkMemory(t *testing.T) {
	if !*footprint {
		t.Skip("measurement; run with -footprint")
	}
	fleet, err := daisycert.NewAuthority("fleet")
	assert.NilError(t, err)
	p := newHostPair(t, config(t, fleet, "h2"), config(t, fleet, "h1"))
	defer p.close()
	var sizes, bytes []float64
	var links []*daisylink.Conn
	for range 4 {
		for range 100 {
			c, err := p.dialer.Dial(t.Context(), p.addr, daisylink.PathStream)
			assert.NilError(t, err)
			assert.NilError(t, c.Send(t.Context(), make([]byte, 200)))
			_, err = c.Receive(t.Context())
			assert.NilError(t, err)
			links = append(links, c)
		}
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		sizes = append(sizes, float64(len(links)))
		bytes = append(bytes, float64(m.HeapAlloc+m.StackInuse))
	}
	t.Logf("both ends: bytes %.0f at links %.0f, fit %s", bytes, sizes, daisyregression.Fit(sizes, bytes))
	for _, c := range links {
		c.Close()
	}
}

func BenchmarkDial(b *testing.B) {
	fleet, err := daisycert.NewAuthority("fleet")
	assert.NilError(b, err)
	p := newHostPair(b, config(b, fleet, "h2"), config(b, fleet, "h1"))
	defer p.close()
	for b.Loop() {
		c, err := p.dialer.Dial(b.Context(), p.addr, daisylink.PathStream)
		assert.NilError(b, err)
		<-p.peers
		c.Close()
	}
}

func BenchmarkExchange(b *testing.B) {
	fleet, err := daisycert.NewAuthority("fleet")
	assert.NilError(b, err)
	p := newHostPair(b, config(b, fleet, "h2"), config(b, fleet, "h1"))
	defer p.close()
	c, err := p.dialer.Dial(b.Context(), p.addr, daisylink.PathStream)
	assert.NilError(b, err)
	defer c.Close()
	message := make([]byte, 200)
	b.ReportAllocs()
	for b.Loop() {
		if c.Send(b.Context(), message) != nil {
			b.Fatal("send failed")
		}
		if _, err := c.Receive(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
}

// A host that states no protocol, as those before the header did, speaks the first.
func TestAcceptedLinkHasProtocolOfDialer(t *testing.T) {
	tests := []struct {
		name   string
		header http.Header
		want   int
	}{
		{"Stated", http.Header{"Daisyglade-Host": {"h2"}, "Daisyglade-Protocol": {"2"}}, daisylink.ProtocolOverload},
		{"NotStated", http.Header{"Daisyglade-Host": {"h2"}}, daisylink.ProtocolFirst},
		{"Unreadable", http.Header{"Daisyglade-Host": {"h2"}, "Daisyglade-Protocol": {"x"}}, daisylink.ProtocolFirst},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			mux := &daisylink.Mux{Plain: true}
			protocols := make(chan int, 1)
			mux.Handle(daisylink.PathStatement, func(_ context.Context, c *daisylink.Conn) { protocols <- c.Protocol() })
			server := httptest.NewServer(mux)
			defer server.Close()
			ws, _, err := websocket.Dial(t.Context(), server.URL+string(daisylink.PathStatement), &websocket.DialOptions{HTTPHeader: test.header}) //nolint:bodyclose // The library closes it.
			assert.NilError(t, err)
			defer func() { _ = ws.CloseNow() }()
			assert.Equal(t, <-protocols, test.want)
		})
	}
}

// Both hosts of a plain link state the present protocol.
func TestPlainLinkStatesItsProtocol(t *testing.T) {
	mux := &daisylink.Mux{Plain: true}
	protocols := make(chan int, 1)
	mux.Handle(daisylink.PathStatement, func(_ context.Context, c *daisylink.Conn) { protocols <- c.Protocol() })
	server := httptest.NewServer(mux)
	defer server.Close()
	c, err := daisylink.NewPlainDialer("h2", daisynet.TCP{}).Dial(t.Context(), netip.MustParseAddrPort(server.Listener.Addr().String()), daisylink.PathStatement)
	assert.NilError(t, err)
	defer c.Close()
	assert.Equal(t, <-protocols, daisylink.ProtocolLoad)
	assert.Equal(t, c.Protocol(), daisylink.ProtocolLoad)
}
