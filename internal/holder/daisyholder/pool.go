package daisyholder

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/daisyglade/daisyglade/internal/holder/daisymember"
	"github.com/daisyglade/daisyglade/internal/holder/daisyqueue"
)

// resetTimeout bounds the reset of a connection after a transaction.
const resetTimeout = 2 * time.Second

// pool keeps the connections to one member. Every open connection holds a queue
// slot or is idle, so that the member's connection limit is never exceeded.
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

// pooledConn is a connection in use and the queue slot that it holds.
type pooledConn struct {
	pool *pool
	slot *daisyqueue.Slot
	conn *daisymember.Conn
}

// acquire waits for a slot and returns a connection that holds it.
func (p *pool) acquire(ctx context.Context, workspace string) (*pooledConn, error) {
	slot, err := p.queue.Acquire(ctx, workspace)
	if err != nil {
		return nil, err
	}
	conn, err := p.openConn(ctx)
	if err != nil {
		slot.Release()
		return nil, err
	}
	return &pooledConn{pool: p, slot: slot, conn: conn}, nil
}

func (p *pool) openConn(ctx context.Context) (*daisymember.Conn, error) {
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

// recycle resets the connection and returns it to the pool. It runs in a
// goroutine of its own, so that no client waits for it.
func (c *pooledConn) recycle() {
	if err := c.conn.Reset(resetTimeout); err != nil {
		c.discard()
		return
	}
	c.pool.mu.Lock()
	if c.pool.closed {
		c.conn.Close()
	} else {
		c.pool.idle = append(c.pool.idle, c.conn)
	}
	c.pool.mu.Unlock()
	c.slot.Release()
}

// discard closes the connection, which rolls back its transaction.
func (c *pooledConn) discard() {
	c.conn.Close()
	c.pool.mu.Lock()
	delete(c.pool.open, c.conn)
	c.pool.mu.Unlock()
	c.slot.Release()
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
