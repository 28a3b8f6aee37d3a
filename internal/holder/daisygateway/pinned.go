package daisygateway

import (
	"context"
	"time"

	"github.com/daisyglade/daisyglade/internal/backend/daisypool"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/holder/daisyqueue"
)

// localPinnedConn is a daisyrequest.PinnedConn over a connection of this host's pool.
type localPinnedConn struct {
	gateway *Gateway
	server  *serverState
	conn    *daisypool.Conn // Nil once it is released.
	class   string
	runTime time.Duration // Total run time of the statements.
}

// Do implements daisyrequest.PinnedConn.
func (p *localPinnedConn) Do(req daisyrequest.Request) (a daisystatement.Answer, err error) {
	if p.conn == nil {
		return a, daisyrequest.ErrPinnedConnClosed
	}
	ctx, cancel := context.WithDeadline(p.server.evacuation.context(), req.Deadline)
	defer cancel()
	slot, err := p.server.queue.AcquireSlot(ctx, daisyqueue.SlotRequest{Workspace: req.Workspace, Weight: req.Weight, Urgent: true})
	if err != nil {
		return a, notQueued(err)
	}
	defer slot.Release()
	if err := p.server.cold.await(ctx); err != nil {
		return a, err
	}
	req.Pin = true
	began := time.Now()
	a, err = run(p.server, p.conn, req)
	p.runTime += time.Since(began)
	if err != nil {
		p.conn.MarkBroken()
		p.end()
		return a, err
	}
	if a.State == daisystatement.StateIdle || !p.conn.Usable() {
		p.end()
	}
	return a, nil
}

func (p *localPinnedConn) end() {
	p.server.observeClass(p.class, p.runTime)
	p.server.evacuation.end(p.conn)
	p.conn.Release()
	p.conn = nil
	p.gateway.active.Add(-1)
}

// Close implements daisyrequest.PinnedConn.
func (p *localPinnedConn) Close() {
	if p.conn == nil {
		return
	}
	p.conn.MarkBroken() // Closing it rolls back, whatever the server answers.
	p.end()
}
