// Package daisylink carries messages between hosts of a fleet over WebSocket
// with mutual TLS. Each message is one binary frame.
//
// On a network that only hosts of the fleet can reach, links may run without
// TLS if the settings ask for it. The dialing host then states its name in a
// header, without proof.
package daisylink

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/net/daisynet"
	"github.com/daisyglade/daisyglade/internal/security/daisycert"
)

// Path is the HTTP path of a link, which tells what the link is used for.
type Path string

// The uses of a link.
const (
	PathStream    Path = "/lane"  // Requests from entry hosts to holders.
	PathHeartbeat Path = "/beat"  // Heartbeats and proposals to the control leader.
	PathLog       Path = "/log"   // Messages between replicas of the log.
	PathGrant     Path = "/grant" // Requests for rate limit tokens, to the owners of the token buckets.

	PathStatement Path = "/errand" // Statement requests to the gateway hosts of backend servers.
)

// Limit returns the most bytes that a message may have. A longer one ends the link.
func (p Path) Limit() int64 {
	if p == PathLog || p == PathHeartbeat {
		return 64 << 20
	}
	return 24 << 20
}

// dialTimeout bounds the opening of a link.
const dialTimeout = 2 * time.Second

// Conn is one link. Send may be called from several goroutines, Receive from one.
type Conn struct {
	ws       *websocket.Conn
	peer     string
	protocol int
	received *receiveTimer // Nil for accepted links.
}

// receiveTimer notes when bytes last arrived on a connection.
type receiveTimer struct {
	net.Conn
	last atomic.Int64 // Nanoseconds of daisyclock since opened.
	zero time.Time
}

func (c *receiveTimer) Read(b []byte) (n int, err error) {
	if n, err = c.Conn.Read(b); n > 0 {
		c.last.Store(int64(daisyclock.Now().Sub(c.zero)))
	}
	return n, err
}

// LastReceived returns when bytes last arrived on a link that this host dialed, also
// those of a message that is still incomplete; zero for an accepted link.
func (c *Conn) LastReceived() time.Time {
	if c.received == nil {
		return time.Time{}
	}
	return c.received.zero.Add(time.Duration(c.received.last.Load()))
}

// The protocols of links. Both hosts state theirs when a link opens; hosts that state
// none speak ProtocolFirst. Decoders refuse fields that they do not know, so a
// message may have a field only if the receiver's protocol has it.
const (
	ProtocolFirst    = 1
	ProtocolOverload = 2 // Calls may have Sent, and their refusals RetryAfter and OwnShare.
	ProtocolPosition = 3 // Calls may have MaxAge and Round.
	// Grants of tokens may have After, Denied and RetryAfter, replies to heartbeats
	// Revision.
	ProtocolReservation = 4
	// Calls may have ObjectiveLeft and may be given up, replies to calls Load, demands and grants of tokens
	// Reserve. Replies to heartbeats may be compressed, and the control state may hold
	// evacuations and cold servers.
	ProtocolLoad = 5

	protocolLatest = ProtocolLoad
)

// Protocol returns the protocol of the other host.
func (c *Conn) Protocol() int { return c.protocol }

// Peer returns the name in the certificate of the host at the other end. On a
// link without TLS it is the name stated by the dialing host or the address
// that was dialed.
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
		return nil, errors.New("received frame is not binary")
	}
	return message, nil
}

// Watch returns a context that is canceled with ctx or when the peer closes the
// link. Receive must not be called after it.
func (c *Conn) Watch(ctx context.Context) context.Context { return c.ws.CloseRead(ctx) }

// Close closes the link without waiting for the peer.
func (c *Conn) Close() { _ = c.ws.CloseNow() }

// nameHeader carries the name of the dialing host on links without TLS.
const nameHeader = "Daisyglade-Host"

// protocolHeader carries the protocol of the host that sends the HTTP header.
const protocolHeader = "Daisyglade-Protocol"

// parseProtocol returns the protocol stated in the header.
func parseProtocol(h http.Header) int {
	protocol, err := strconv.Atoi(h.Get(protocolHeader))
	if err != nil {
		return ProtocolFirst
	}
	return protocol
}

// Dialer opens links.
type Dialer struct {
	network daisynet.Network
	tls     *tls.Config
	scheme  string
	header  http.Header
}

// NewDialer returns a dialer that presents the certificate in the configuration.
func NewDialer(c *tls.Config, n daisynet.Network) *Dialer {
	return &Dialer{network: n, tls: c, scheme: "https://", header: http.Header{
		protocolHeader: []string{strconv.Itoa(protocolLatest)},
	}}
}

// NewPlainDialer returns a dialer for links without TLS that states the name of
// this host.
func NewPlainDialer(name string, n daisynet.Network) *Dialer {
	return &Dialer{network: n, scheme: "http://", header: http.Header{
		nameHeader: []string{name}, protocolHeader: []string{strconv.Itoa(protocolLatest)},
	}}
}

// Dial opens a link to the address. No goroutine or connection of a failed
// attempt outlives ctx.
func (d *Dialer) Dial(ctx context.Context, addr netip.AddrPort, path Path) (c *Conn, err error) {
	defer daisyerror.Annotate(&err, "dial %s%s", addr, path)
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialed, err := d.network.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	conn := &receiveTimer{Conn: dialed, zero: daisyclock.Now()}
	// Each attempt has its own transport: a shared one continues to dial after the
	// attempt was abandoned and keeps the connection that it opens.
	client := &http.Client{Transport: &http.Transport{
		TLSClientConfig: d.tls,
		DialContext:     func(context.Context, string, string) (net.Conn, error) { return conn, nil },
	}}
	url := d.scheme + addr.String() + string(path)
	ws, response, err := websocket.Dial(ctx, url, &websocket.DialOptions{HTTPClient: client, HTTPHeader: d.header}) //nolint:bodyclose // The library closes it.
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	ws.SetReadLimit(path.Limit())
	peer := addr.String()
	if response.TLS != nil {
		peer = daisycert.PeerName(response.TLS)
	}
	return &Conn{ws: ws, peer: peer, protocol: parseProtocol(response.Header), received: conn}, nil
}

// Handler serves one accepted link, which is closed when the handler returns.
type Handler func(ctx context.Context, c *Conn)

// Mux routes accepted links to handlers.
type Mux struct {
	http.ServeMux
	Plain bool // Links without TLS are accepted; the dialing host states its name.

	wait sync.WaitGroup
}

// Wait waits until no handler runs.
func (m *Mux) Wait() { m.wait.Wait() }

// Handle registers the handler of a path. Peers that prove no host name, or
// state none on a link without TLS, are refused.
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
		w.Header().Set(protocolHeader, strconv.Itoa(protocolLatest))
		ws, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		ws.SetReadLimit(path.Limit())
		m.wait.Add(1)
		defer m.wait.Done()
		c := &Conn{ws: ws, peer: peer, protocol: parseProtocol(r.Header)}
		defer c.Close()
		h(r.Context(), c)
	})
}
