package daisyhost

import (
	"context"
	"fmt"
	"net/netip"
	"sync"

	"github.com/daisyglade/daisyglade/internal/limit/daisybucket"
	"github.com/daisyglade/daisyglade/internal/limit/daisylimiter"
	"github.com/daisyglade/daisyglade/internal/net/daisylink"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

// granter requests rate limit tokens from other hosts, over one link to each.
type granter struct {
	dialer *daisylink.Dialer

	mu    sync.Mutex
	links map[netip.AddrPort]*grantLink
}

// grantLink is the link to one host. It carries one request at a time.
type grantLink struct {
	idle   chan struct{} // Holds one element while no request uses the link.
	link   *daisylink.Conn
	lastID uint64
}

func newGranter(d *daisylink.Dialer) *granter {
	return &granter{dialer: d, links: make(map[netip.AddrPort]*grantLink)}
}

func (g *granter) linkTo(addr netip.AddrPort) *grantLink {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.links[addr]
	if l == nil {
		l = &grantLink{idle: make(chan struct{}, 1)}
		l.idle <- struct{}{}
		g.links[addr] = l
	}
	return l
}

// RequestGrant implements daisylimiter.Granter.
func (g *granter) RequestGrant(ctx context.Context, addr netip.AddrPort, workspace string, request daisybucket.GrantRequest) (reply daisylimiter.GrantReply, err error) {
	l := g.linkTo(addr)
	select {
	case <-l.idle:
	case <-ctx.Done():
		return reply, ctx.Err()
	}
	defer func() { l.idle <- struct{}{} }()
	if l.link == nil {
		if l.link, err = g.dialer.Dial(ctx, addr, daisylink.PathGrant); err != nil {
			return reply, err
		}
	}
	reply, err = l.exchange(ctx, workspace, request)
	if err != nil {
		l.link.Close()
		l.link = nil
	}
	return reply, err
}

func (l *grantLink) exchange(ctx context.Context, workspace string, request daisybucket.GrantRequest) (reply daisylimiter.GrantReply, err error) {
	l.lastID++
	if err := l.link.Send(ctx, daisycodec.EncodeGrantRequest(daisycodec.GrantRequest{ID: l.lastID, Workspace: workspace, GrantRequest: request})); err != nil {
		return reply, err
	}
	b, err := l.link.Receive(ctx)
	if err != nil {
		return reply, err
	}
	id, reply, err := daisycodec.DecodeGrant(b)
	if err == nil && id != l.lastID {
		err = fmt.Errorf("received the grant for request %d while waiting for request %d", id, l.lastID)
	}
	return reply, err
}

// close closes the links. No call of RequestGrant may be running.
func (g *granter) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.links {
		if l.link != nil {
			l.link.Close()
		}
	}
}

// serveGrants answers another host's requests for tokens until the link ends or a
// request names another host than the link's peer.
func serveGrants(ctx context.Context, link *daisylink.Conn, l *daisylimiter.Limiter) {
	for {
		b, err := link.Receive(ctx)
		if err != nil {
			return
		}
		request, err := daisycodec.DecodeGrantRequest(b)
		if err != nil || request.Host != link.Peer() {
			return
		}
		reply := l.Grant(request.Workspace, request.GrantRequest)
		if link.Send(ctx, daisycodec.EncodeGrant(request.ID, reply)) != nil {
			return
		}
	}
}
