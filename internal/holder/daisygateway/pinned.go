package daisygateway

import (
	"context"
	"fmt"
	"time"

	"github.com/daisyglade/daisyglade/internal/backend/daisypool"
	"github.com/daisyglade/daisyglade/internal/holder/daisyqueue"
	"github.com/daisyglade/daisyglade/internal/session/daisystatement"
)

// rollbackTimeout is how long a server may take to roll back before its
// connection is closed instead.
const rollbackTimeout = 500 * time.Millisecond

// localLane is a lane over a connection of this host.
type localLane struct {
	gateway *Gateway
	desk    *desk
	conn    *daisypool.Conn // Nil once the lane has ended.
	class   string
	ran     time.Duration // What the lane's statements took of the server.
}

// Do implements Lane.
func (l *localLane) Do(e StatementRequest) (a daisystatement.Answer, err error) {
	if l.conn == nil {
		return a, ErrPinnedConnClosed
	}
	ctx, cancel := context.WithDeadline(context.Background(), e.Deadline)
	defer cancel()
	slot, err := l.desk.queue.AcquireSlot(ctx, daisyqueue.SlotRequest{Workspace: e.Workspace, Weight: e.Weight, Urgent: true})
	if err != nil {
		return a, fmt.Errorf("%w: no slot of the server was free: %w", ErrNotSent, err)
	}
	defer slot.Release()
	e.Pin = true
	began := time.Now()
	a, err = run(l.desk, l.conn, e)
	l.ran += time.Since(began)
	if err != nil {
		l.conn.MarkBroken()
		l.end()
		return a, err
	}
	if a.State == daisystatement.StateIdle {
		l.end()
	}
	return a, nil
}

func (l *localLane) end() {
	l.desk.observeClass(l.class, l.ran)
	l.conn.Release()
	l.conn = nil
}

// Close implements Lane.
func (l *localLane) Close() {
	c := l.conn
	if c == nil {
		return
	}
	l.conn = nil
	l.desk.observeClass(l.class, l.ran)
	l.gateway.wait.Go(func() {
		defer c.Release()
		if err := c.Send([]daisystatement.Statement{system(daisystatement.KindRollback)}); err != nil {
			return
		}
		a, err := c.Receive(time.Now().Add(rollbackTimeout))
		if err != nil || a.State != daisystatement.StateIdle {
			c.MarkBroken()
		}
	})
}
