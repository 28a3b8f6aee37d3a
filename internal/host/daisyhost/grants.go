package daisyhost

import (
	"context"
	"fmt"
	"net/netip"
	"sync"

	"github.com/daisyglade/daisyglade/internal/limit/daisybucket"
	"github.com/daisyglade/daisyglade/internal/limit/daisylimiter"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
	"github.com/daisyglade/daisyglade/internal/wire/daisylink"
)

// asker asks other hosts for tokens, over one link to each.
type asker struct {
	dialer *daisylink.Dialer

	mu    sync.Mutex
	lines map[netip.AddrPort]*askLine
}

// askLine is the link to one host. Asks take turns on it.
type askLine struct {
	turn chan struct{} // Holds one element while the line is free.
	link *daisylink.Conn
	sent uint64
}

func newAsker(d *daisylink.Dialer) *asker {
	return &asker{dialer: d, lines: make(map[netip.AddrPort]*askLine)}
}

func (a *asker) line(addr netip.AddrPort) *askLine {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.lines[addr]
	if l == nil {
		l = &askLine{turn: make(chan struct{}, 1)}
		l.turn <- struct{}{}
		a.lines[addr] = l
	}
	return l
}

// RequestGrant implements daisylimiter.Asker.
func (a *asker) RequestGrant(ctx context.Context, addr netip.AddrPort, workspace string, ask daisybucket.GrantRequest) (answer daisylimiter.GrantReply, err error) {
	l := a.line(addr)
	select {
	case <-l.turn:
	case <-ctx.Done():
		return answer, ctx.Err()
	}
	defer func() { l.turn <- struct{}{} }()
	if l.link == nil {
		if l.link, err = a.dialer.Dial(ctx, addr, daisylink.PathGrant); err != nil {
			return answer, err
		}
	}
	answer, err = l.exchange(ctx, workspace, ask)
	if err != nil {
		l.link.Close()
		l.link = nil
	}
	return answer, err
}

func (l *askLine) exchange(ctx context.Context, workspace string, ask daisybucket.GrantRequest) (answer daisylimiter.GrantReply, err error) {
	l.sent++
	if err := l.link.Send(ctx, daisycodec.EncodeGrantRequest(daisycodec.GrantRequest{ID: l.sent, Workspace: workspace, GrantRequest: ask})); err != nil {
		return answer, err
	}
	b, err := l.link.Receive(ctx)
	if err != nil {
		return answer, err
	}
	id, answer, err := daisycodec.DecodeGrant(b)
	if err == nil && id != l.sent {
		err = fmt.Errorf("grant %d came for ask %d", id, l.sent)
	}
	return answer, err
}

// close ends the links. No Ask may be under way.
func (a *asker) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.lines {
		if l.link != nil {
			l.link.Close()
		}
	}
}

// serveGrants answers another host's asks until the link ends.
func serveGrants(ctx context.Context, link *daisylink.Conn, l *daisylimiter.Limiter) {
	for {
		b, err := link.Receive(ctx)
		if err != nil {
			return
		}
		ask, err := daisycodec.DecodeGrantRequest(b)
		if err != nil || ask.Host != link.Peer() {
			return
		}
		answer := l.Grant(ask.Workspace, ask.GrantRequest)
		if link.Send(ctx, daisycodec.EncodeGrant(ask.ID, answer)) != nil {
			return
		}
	}
}
