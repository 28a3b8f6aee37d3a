// Package daisylink carries messages between hosts of a fleet over WebSocket
// with mutual TLS. Each message is one binary frame.
//
// On a network that only hosts of the fleet can reach, links may go without
// TLS if the settings ask for it. A host then says its name itself.
package daisylink

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/security/daisycert"
	"github.com/daisyglade/daisyglade/internal/wire/daisynet"
)

// Path names what a link is used for.
type Path string

// The uses of a link.
const (
	PathStream    Path = "/lane"  // Requests from entry hosts to holders.
	PathHeartbeat Path = "/beat"  // Heartbeats and proposals to the control leader.
	PathLog       Path = "/log"   // Messages between replicas of the log.
	PathGrant     Path = "/grant" // Token requests to owners of buckets.

	PathStatement Path = "/errand" // Statements to gateways of backend servers.
)

// limit returns the size in bytes up to which a frame is accepted.
func (p Path) limit() int64 {
	if p == PathLog || p == PathHeartbeat {
		return 64 << 20
	}
	return 24 << 20
}

const dialTimeout = 2 * time.Second

// Conn is one link. Send may be called from several goroutines, Receive from one.
type Conn struct {
	ws   *websocket.Conn
	peer string
}

// Peer returns the name of the host at the other end, proved by its certificate.
func (c *Conn) Peer() string { return c.peer }

// Send writes one message.
func (c *Conn) Send(ctx context.Context, message []byte) error {
	return c.ws.Write(ctx, websocket.MessageBinary, message)
}

// Receive reads one message. After an error the link is unusable.
func (c *Conn) Receive(ctx context.Context) ([]byte, error) {
	kind, message, err := c.ws.Read(ctx)
	if err != nil {
		return nil, err
	}
	if kind != websocket.MessageBinary {
		return nil, errors.New("frame is not binary")
	}
	return message, nil
}

// Watch returns a context that ends with ctx or once the other side has ended
// the link. Nothing may be received on the link then.
func (c *Conn) Watch(ctx context.Context) context.Context { return c.ws.CloseRead(ctx) }

// Close ends the link without waiting for the other side.
func (c *Conn) Close() { _ = c.ws.CloseNow() }

// nameHeader carries the name of the dialling host on links without TLS.
const nameHeader = "Daisyglade-Host"

// Dialer opens links.
type Dialer struct {
	network daisynet.Network
	tls     *tls.Config
	scheme  string
	header  http.Header
}

// NewDialer returns a dialer that shows the certificate in the configuration.
func NewDialer(c *tls.Config, n daisynet.Network) *Dialer {
	return &Dialer{network: n, tls: c, scheme: "https://"}
}

// NewPlainDialer returns a dialer for links without TLS that says the name.
func NewPlainDialer(name string, n daisynet.Network) *Dialer {
	return &Dialer{network: n, scheme: "http://", header: http.Header{nameHeader: []string{name}}}
}

// Dial opens a link to the address. Nothing of an attempt outlasts ctx.
func (d *Dialer) Dial(ctx context.Context, addr netip.AddrPort, path Path) (c *Conn, err error) {
	defer daisyerror.Annotate(&err, "dial %s%s", addr, path)
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := d.network.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	// A transport of its own, as a shared one goes on dialling after an attempt was
	// given up and keeps what it opens.
	client := &http.Client{Transport: &http.Transport{
		TLSClientConfig: d.tls,
		DialContext:     func(context.Context, string, string) (net.Conn, error) { return conn, nil },
	}}
	url := d.scheme + addr.String() + string(path)
	ws, response, err := websocket.Dial(ctx, url, &websocket.DialOptions{HTTPClient: client, HTTPHeader: d.header}) //nolint:bodyclose // The library closes it.
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	ws.SetReadLimit(path.limit())
	peer := addr.String()
	if response.TLS != nil {
		peer = daisycert.PeerName(response.TLS)
	}
	return &Conn{ws: ws, peer: peer}, nil
}

// Handler serves one accepted link and returns when it is done with it.
type Handler func(ctx context.Context, c *Conn)

// Mux routes accepted links to handlers.
type Mux struct {
	http.ServeMux
	Plain bool // Links come without TLS and hosts say their names themselves.

	wait sync.WaitGroup
}

// Wait returns once no handler runs.
func (m *Mux) Wait() { m.wait.Wait() }

// Handle registers the handler of a path. Peers without a host certificate of
// the fleet are refused.
func (m *Mux) Handle(path Path, h Handler) {
	m.HandleFunc(string(path), func(w http.ResponseWriter, r *http.Request) {
		peer := daisycert.PeerName(r.TLS)
		if m.Plain && r.TLS == nil {
			peer = r.Header.Get(nameHeader)
		}
		if peer == "" {
			http.Error(w, "host certificate required", http.StatusForbidden)
			return
		}
		ws, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		ws.SetReadLimit(path.limit())
		m.wait.Add(1)
		defer m.wait.Done()
		c := &Conn{ws: ws, peer: peer}
		defer c.Close()
		h(r.Context(), c)
	})
}
