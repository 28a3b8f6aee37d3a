package daisylink_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"flag"
	"io"
	"net/http"
	"net/netip"
	"runtime"
	"testing"
	"time"

	stdlog "log"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/measure/daisyregression"
	"github.com/daisyglade/daisyglade/internal/security/daisycert"
	"github.com/daisyglade/daisyglade/internal/wire/daisylink"
	"github.com/daisyglade/daisyglade/internal/wire/daisynet"
)

var footprint = flag.Bool("footprint", false, "measure what links cost")

// ends are two hosts, of which one serves echoes.
type ends struct {
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

func open(t testing.TB, client *tls.Config, server *tls.Config) *ends {
	e := &ends{dialer: daisylink.NewDialer(client, daisynet.TCP{}), mux: &daisylink.Mux{}, peers: make(chan string, 1000)}
	e.mux.Handle(daisylink.PathStream, func(ctx context.Context, c *daisylink.Conn) {
		e.peers <- c.Peer()
		for {
			b, err := c.Receive(ctx)
			if err != nil || c.Send(ctx, b) != nil {
				return
			}
		}
	})
	listener, err := daisynet.TCP{}.Listen(context.Background(), netip.MustParseAddrPort("127.0.0.1:0"))
	assert.NilError(t, err)
	e.addr = netip.MustParseAddrPort(listener.Addr().String())
	e.server = &http.Server{Handler: e.mux, ReadHeaderTimeout: time.Second, ErrorLog: stdlog.New(io.Discard, "", 0)}
	go func() { _ = e.server.Serve(tls.NewListener(listener, server)) }()
	return e
}

func (e *ends) close() {
	_ = e.server.Close()
	e.mux.Wait()
}

func TestPeersAreProved(t *testing.T) {
	fleet, err := daisycert.NewAuthority("fleet")
	assert.NilError(t, err)
	stranger, err := daisycert.NewAuthority("stranger")
	assert.NilError(t, err)
	server := config(t, fleet, "h1")
	tests := []struct {
		name   string
		client *tls.Config
		ok     bool
	}{
		{"OwnFleet", config(t, fleet, "h2"), true},
		{"OtherFleet", config(t, stranger, "h2"), false},
		{"NoCertificate", &tls.Config{MinVersion: tls.VersionTLS13, InsecureSkipVerify: true}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := open(t, test.client, server)
			defer e.close()
			c, err := e.dialer.Dial(t.Context(), e.addr, daisylink.PathStream)
			if !test.ok {
				assert.Check(t, err != nil)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, c.Peer(), "h1")
			assert.Equal(t, <-e.peers, "h2")
			want := bytes.Repeat([]byte{7}, 1<<20)
			assert.NilError(t, c.Send(t.Context(), want))
			got, err := c.Receive(t.Context())
			assert.NilError(t, err)
			assert.Check(t, bytes.Equal(got, want))
			c.Close()
		})
	}
}

// TestServerOfAnotherFleetIsRefused checks that a host proves itself to those
// who dial it, too.
func TestServerOfAnotherFleetIsRefused(t *testing.T) {
	fleet, err := daisycert.NewAuthority("fleet")
	assert.NilError(t, err)
	stranger, err := daisycert.NewAuthority("stranger")
	assert.NilError(t, err)
	server := config(t, stranger, "h1")
	server.ClientAuth = tls.NoClientCert
	server.VerifyConnection = nil
	e := open(t, config(t, fleet, "h2"), server)
	defer e.close()
	_, err = e.dialer.Dial(t.Context(), e.addr, daisylink.PathStream)
	assert.Check(t, err != nil)
}

// TestOversizedFrameEndsTheLink checks that a frame over the limit is not read.
func TestOversizedFrameEndsTheLink(t *testing.T) {
	fleet, err := daisycert.NewAuthority("fleet")
	assert.NilError(t, err)
	e := open(t, config(t, fleet, "h2"), config(t, fleet, "h1"))
	defer e.close()
	c, err := e.dialer.Dial(t.Context(), e.addr, daisylink.PathStream)
	assert.NilError(t, err)
	defer c.Close()
	_ = c.Send(t.Context(), make([]byte, 25<<20))
	_, err = c.Receive(t.Context())
	assert.Check(t, err != nil)
}

// TestLinkMemory measures the memory of idle links, both ends together.
func TestLinkMemory(t *testing.T) {
	if !*footprint {
		t.Skip("measures; give -footprint")
	}
	fleet, err := daisycert.NewAuthority("fleet")
	assert.NilError(t, err)
	e := open(t, config(t, fleet, "h2"), config(t, fleet, "h1"))
	defer e.close()
	var sizes, bytes []float64
	var links []*daisylink.Conn
	for range 4 {
		for range 100 {
			c, err := e.dialer.Dial(t.Context(), e.addr, daisylink.PathStream)
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
	e := open(b, config(b, fleet, "h2"), config(b, fleet, "h1"))
	defer e.close()
	for b.Loop() {
		c, err := e.dialer.Dial(b.Context(), e.addr, daisylink.PathStream)
		assert.NilError(b, err)
		<-e.peers
		c.Close()
	}
}

func BenchmarkExchange(b *testing.B) {
	fleet, err := daisycert.NewAuthority("fleet")
	assert.NilError(b, err)
	e := open(b, config(b, fleet, "h2"), config(b, fleet, "h1"))
	defer e.close()
	c, err := e.dialer.Dial(b.Context(), e.addr, daisylink.PathStream)
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
