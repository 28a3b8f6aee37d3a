package daisyholder

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/daisyglade/daisyglade/internal/backend/daisymember"
	"github.com/daisyglade/daisyglade/internal/holder/daisyqueue"
)

// resetTimeout bounds the clearing of a connection after a transaction.
const resetTimeout = 2 * time.Second

// pool keeps the connections to one member. Every open connection has a slot
// of the queue or lies idle, so that the member's number is never exceeded.
type pool struct {
	group *group
	addr  netip.AddrPort
	queue *daisyqueue.Queue

	mu      sync.Mutex
	idle    []*daisymember.Conn
	leaving bool
	closed  bool
	open    map[*daisymember.Conn]bool
}

func newPool(g *group, addr netip.AddrPort) *pool {
	return &pool{
		group: g,
		addr:  addr,
		queue: daisyqueue.New(g.config.Connections - reservedConns),
		open:  make(map[*daisymember.Conn]bool),
	}
}

func (p *pool) setLeaving(leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = leaving
}

func (p *pool) isLeaving() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaving
}

// use is a connection with the slot that allows it.
type use struct {
	pool *pool
	slot *daisyqueue.Slot
	conn *daisymember.Conn
}

// take waits for a slot and returns it with a connection.
func (p *pool) take(ctx context.Context, workspace string) (*use, error) {
	slot, err := p.queue.Acquire(ctx, workspace)
	if err != nil {
		return nil, err
	}
	conn, err := p.conn(ctx)
	if err != nil {
		slot.Release()
		return nil, err
	}
	return &use{pool: p, slot: slot, conn: conn}, nil
}

func (p *pool) conn(ctx context.Context) (*daisymember.Conn, error) {
	if c := p.pop(); c != nil {
		return c, nil
	}
	c, err := p.group.backend().Open(ctx, p.addr, p.group.term)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return nil, daisyqueue.ErrClosed
	}
	p.open[c] = true
	return c, nil
}

// pop returns an idle connection that is still open, or nil.
func (p *pool) pop() *daisymember.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = p.idle[:last]
		if c.Alive() {
			return c
		}
		c.Close()
		delete(p.open, c)
	}
	return nil
}

// recycle clears the connection and makes it idle. It runs off the caller's path.
func (u *use) recycle() {
	if err := u.conn.Reset(resetTimeout); err != nil {
		u.discard()
		return
	}
	u.pool.mu.Lock()
	if u.pool.closed {
		u.conn.Close()
	} else {
		u.pool.idle = append(u.pool.idle, u.conn)
	}
	u.pool.mu.Unlock()
	u.slot.Release()
}

// discard closes the connection, which ends its transaction.
func (u *use) discard() {
	u.conn.Close()
	u.pool.mu.Lock()
	delete(u.pool.open, u.conn)
	u.pool.mu.Unlock()
	u.slot.Release()
}

func (p *pool) close() {
	p.queue.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for c := range p.open {
		c.Close()
	}
}
